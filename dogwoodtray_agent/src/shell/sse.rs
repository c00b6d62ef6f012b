//! Token counting in streams of server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_http::EventSplitter;
use dogwoodtray_http::EventTooLarge;

/// Key of the events that count as tokens. The event with the finish reason does not have it.
const CONTENT_KEY: &[u8] = b"\"content\":";

/// Counts the tokens of the complete events of a stream, so that a broken stream never ends in a
/// partial token.
#[derive(Debug, Default)]
pub(super) struct TokenCounter {
    splitter: EventSplitter,
}

impl TokenCounter {
    /// Appends data and returns the completed events with the number of tokens in them.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<Option<(Bytes, u32)>, EventTooLarge> {
        self.splitter.push(data);
        let mut events = BytesMut::new();
        let mut tokens = 0;
        while let Some(event) = self.splitter.next_event()? {
            tokens += u32::from(is_token(&event));
            events.extend_from_slice(&event);
        }
        Ok((!events.is_empty()).then(|| (events.freeze(), tokens)))
    }
}

fn is_token(event: &[u8]) -> bool {
    event.starts_with(b"data:")
        && event.windows(CONTENT_KEY.len()).any(|window| window == CONTENT_KEY)
}
