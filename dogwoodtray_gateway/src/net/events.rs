//! Parsing of server-sent event streams.

use bytes::Bytes;
use dogwoodtray_http::EventSplitter;
use dogwoodtray_http::EventTooLarge;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the empty line that ends it.
    pub raw: Bytes,
}

impl StreamEvent {
    /// Returns the id of the event, if it has one that is a number.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        self.lines()
            .find_map(|(field, value)| (field == b"id").then(|| parse_number(value)).flatten())
    }

    /// Returns `true` if the event has data. Empty lines and comments have none.
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.lines().any(|(field, _)| field == b"data")
    }

    /// Returns the data of the event, if any. Multiple `data` lines are joined with line feeds.
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
        self.raw.split(|byte| matches!(byte, b'\n' | b'\r')).filter_map(|line| {
            let colon = line.iter().position(|byte| *byte == b':')?;
            let value = &line[colon + 1..];
            Some((&line[..colon], value.strip_prefix(b" ").unwrap_or(value)))
        })
    }
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Parser that splits a stream into events. An incomplete event is buffered until its end arrives.
///
/// # Examples
///
/// ```
/// use dogwoodtray_gateway::EventParser;
///
/// let mut parser = EventParser::default();
/// parser.push(b"id: 4\ndata: ab\n\nid: 5\nda");
/// let event = parser.next_event().unwrap().unwrap();
/// assert_eq!((event.id(), event.data().as_deref()), (Some(4), Some("ab")));
/// assert!(parser.next_event().unwrap().is_none());
/// ```
#[derive(Debug, Default)]
pub struct EventParser {
    splitter: EventSplitter,
}

impl EventParser {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.splitter.buffered()
    }

    /// Returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error if an event has no end within the limit of [`EventSplitter`].
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        Ok(self.splitter.next_event()?.map(|raw| StreamEvent { raw }))
    }
}
