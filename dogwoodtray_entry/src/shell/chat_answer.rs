//! Assembles a chat answer from its stream of server-sent events.

use serde_json::Value;
use serde_json::json;

const DATA_FIELD: &str = "data:";
const DONE_EVENT: &str = "[DONE]";

/// Chat answer assembled from a stream of events.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChatAnswer {
    pub(crate) text: String,
    pub(crate) tokens: u64,
    pub(crate) model: String,
    pub(crate) finish_reason: Option<String>,
    pub(crate) complete: bool,
}

impl ChatAnswer {
    /// Appends complete server-sent events.
    pub(crate) fn push(&mut self, events: &[u8]) {
        for line in String::from_utf8_lossy(events).split(['\n', '\r']) {
            if let Some(data) = line.strip_prefix(DATA_FIELD) {
                self.push_event(data.trim());
            }
        }
    }

    fn push_event(&mut self, data: &str) {
        if data == DONE_EVENT {
            self.complete = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else { return };
        if let Some(model) = event["model"].as_str() {
            model.clone_into(&mut self.model);
        }
        let choice = &event["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.tokens += 1;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
    }

    /// Renders the answer as a chat completion object.
    pub(crate) fn render(&self, id: &str, model: &str) -> Value {
        json!({
            "id": id,
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason.as_deref().unwrap_or("stop"),
            }],
            "usage": { "completion_tokens": self.tokens },
        })
    }
}
