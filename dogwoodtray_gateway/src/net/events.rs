//! Events of a stream.

use bytes::Bytes;
use bytes::BytesMut;

const SEPARATOR: &[u8] = b"\n\n";

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event with the empty line that ends it.
    pub raw: Bytes,
}

impl StreamEvent {
    /// Returns the id of the event.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        self.lines().find_map(|(field, value)| (field == b"id").then(|| number(value)).flatten())
    }

    /// Returns the data of the event; several lines of data are separated by line feeds.
    #[must_use]
    pub fn data(&self) -> Option<String> {
        let mut data: Option<Vec<u8>> = None;
        for (_, value) in self.lines().filter(|(field, _)| field == b"data") {
            let data = match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data
                }
                None => data.insert(Vec::new()),
            };
            data.extend_from_slice(value);
        }
        data.and_then(|data| String::from_utf8(data).ok())
    }

    fn lines(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.raw.split(|byte| *byte == b'\n').filter_map(|line| {
            let colon = line.iter().position(|byte| *byte == b':')?;
            let value = &line[colon + 1..];
            Some((&line[..colon], value.strip_prefix(b" ").unwrap_or(value)))
        })
    }
}

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Splits a stream into events. Part of an event is kept until its end arrives.
///
/// # Examples
///
/// ```
/// use dogwoodtray_gateway::EventReader;
///
/// let mut reader = EventReader::default();
/// reader.push(b"id: 4\ndata: ab\n\nid: 5\nda");
/// let event = reader.next_event().unwrap();
/// assert_eq!((event.id(), event.data().as_deref()), (Some(4), Some("ab")));
/// assert!(reader.next_event().is_none());
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buf.windows(SEPARATOR.len()).position(|window| window == SEPARATOR)?;
        let raw = self.buf.split_to(end + SEPARATOR.len()).freeze();
        Some(StreamEvent { raw })
    }

    /// Tells whether part of an event is left.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }
}
