//! Token counting in streams of server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Key of the events that count as tokens. The event with the finish reason does not have it.
const CONTENT_KEY: &[u8] = b"\"content\":";

/// Splits a stream into complete events, so that a broken stream never ends in a partial token.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends data and returns the completed events with the number of tokens in them.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<(Bytes, u32)> {
        self.pending.extend_from_slice(data);
        let mut end = 0;
        let mut tokens = 0;
        while let Some(length) = find(&self.pending[end..], EVENT_DELIMITER) {
            let event = &self.pending[end..end + length];
            if event.starts_with(b"data:") && find(event, CONTENT_KEY).is_some() {
                tokens += 1;
            }
            end += length + EVENT_DELIMITER.len();
        }
        (end > 0).then(|| (self.pending.split_to(end).freeze(), tokens))
    }

    /// Returns the remaining data at the end of the stream.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        (!self.pending.is_empty()).then(|| self.pending.split().freeze())
    }
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|window| window == pattern)
}
