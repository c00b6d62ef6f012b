//! Splitting of server-sent event streams into events.

use bytes::Bytes;
use bytes::BytesMut;
use quick_error::quick_error;

/// Ends of an event: an empty line, whether lines end with LF, CR or both.
const EVENT_SEPARATORS: [&[u8]; 3] = [b"\n\n", b"\r\r", b"\n\r\n"];

/// Maximum size of an event in bytes. Events of engines hold a few tokens; a peer that sends bytes
/// without the end of an event must not fill the memory.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

quick_error! {
    /// Error of a stream that contains an event above [`MAX_EVENT_BYTES`].
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EventTooLarge {
        /// The event has no end within the limit.
        NoEnd {
            display("an event exceeds {MAX_EVENT_BYTES} bytes")
        }
    }
}

/// Returns `true` if the last byte ends an event.
pub(crate) fn ends_event(bytes: &[u8]) -> bool {
    matches!(bytes.last(), Some(b'\n' | b'\r'))
        && EVENT_SEPARATORS.iter().any(|separator| bytes.ends_with(separator))
}

/// Splits a stream of server-sent events into complete events. An incomplete event is buffered until
/// its end arrives, and each byte is searched once.
///
/// # Examples
///
/// ```
/// use dogwoodtray_http::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"data: a\n\ndata");
/// assert_eq!(splitter.next_event().unwrap().unwrap(), "data: a\n\n");
/// assert_eq!(splitter.next_event(), Ok(None));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns the next complete event with its separator, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event exceeds [`MAX_EVENT_BYTES`]. The stream is unusable
    /// then.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        let mut unsearched = self.searched..self.buf.len();
        if let Some(last) = unsearched.find(|last| ends_event(&self.buf[..=*last])) {
            self.searched = 0;
            return Ok(Some(self.buf.split_to(last + 1).freeze()));
        }
        self.searched = self.buf.len();
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLarge::NoEnd) } else { Ok(None) }
    }
}
