//! Server-sent events of chat completions.

use serde::Deserialize;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChatEvent {
    /// Text of the answer.
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

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    line: Vec<u8>,
}

impl EventReader {
    /// Takes the next bytes and hands out the events that are complete.
    pub(crate) fn push(&mut self, bytes: &[u8], mut on_event: impl FnMut(ChatEvent)) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if let Some(data) = self.line.strip_prefix(b"data:") {
                on_event(parse(data.trim_ascii()));
            }
            self.line.clear();
        }
        self.line.extend_from_slice(rest);
    }
}

fn parse(data: &[u8]) -> ChatEvent {
    if data == b"[DONE]" {
        return ChatEvent::Done;
    }
    let chunk = serde_json::from_slice::<Chunk>(data).ok();
    let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
    choice.and_then(|choice| choice.delta.content).map_or(ChatEvent::Other, ChatEvent::Content)
}
