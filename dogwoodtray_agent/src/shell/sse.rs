//! Counts tokens in a stream of server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

const END_OF_EVENT: &[u8] = b"\n\n";

/// Only events with content are tokens; the event with the finish reason has none.
const CONTENT: &[u8] = b"\"content\":";

/// Cuts a stream into whole events, so that a stream that breaks never leaves half a token.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and returns the whole events so far with the number of tokens in them.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<(Bytes, u32)> {
        self.pending.extend_from_slice(data);
        let mut end = 0;
        let mut tokens = 0;
        while let Some(length) = find(&self.pending[end..], END_OF_EVENT) {
            let event = &self.pending[end..end + length];
            if event.starts_with(b"data:") && find(event, CONTENT).is_some() {
                tokens += 1;
            }
            end += length + END_OF_EVENT.len();
        }
        (end > 0).then(|| (self.pending.split_to(end).freeze(), tokens))
    }

    /// Returns what is left at the end of the stream.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        (!self.pending.is_empty()).then(|| self.pending.split().freeze())
    }
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|window| window == pattern)
}
