//! Parser for the server-sent events of chat completions.

use serde::Deserialize;

/// Event of a chat completion stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChatEvent {
    /// Next part of the answer text.
    Content(String),
    /// End of the stream.
    Done,
    /// Any other event.
    Other,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Incremental parser that splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    /// Start of a line whose end has not been received yet.
    line: Vec<u8>,
}

impl EventParser {
    /// Parses the next bytes and calls `on_event` for each complete event.
    pub(crate) fn push(&mut self, bytes: &[u8], mut on_event: impl FnMut(ChatEvent)) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if let Some(data) = self.line.strip_prefix(b"data:") {
                on_event(parse_event(data.trim_ascii()));
            }
            self.line.clear();
        }
        self.line.extend_from_slice(rest);
    }
}

fn parse_event(data: &[u8]) -> ChatEvent {
    if data == b"[DONE]" {
        return ChatEvent::Done;
    }
    let chunk = serde_json::from_slice::<Chunk>(data).ok();
    let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
    choice.and_then(|choice| choice.delta.content).map_or(ChatEvent::Other, ChatEvent::Content)
}
