//! Answers on the wire.

use std::fmt::Write;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use super::batch::Part;
use super::chat::Chat;
use crate::http::Dropped;
use crate::http::Failure;
use crate::http::Frames;
use crate::http::Reply;
use crate::http::error;
use crate::http::json;

/// Time stamp of all answers. It is constant, so that a resumed stream has the same bytes.
const CREATED: u64 = 1_700_000_000;

/// Server-sent events of one answer.
pub(crate) struct EventStream {
    rx: UnboundedReceiver<Part>,
    chat: Chat,
    ended: bool,
}

impl EventStream {
    /// Creates the events of an answer from its parts.
    pub(crate) const fn new(chat: Chat, rx: UnboundedReceiver<Part>) -> Self {
        Self { rx, chat, ended: false }
    }

    fn token_event(&self, index: u64) -> String {
        let mut content = String::new();
        self.chat.prompt.write_token(index, &mut content);
        let role = if index == 0 { r#""role":"assistant","# } else { "" };
        let delta = format!(r#"{{{role}"content":"{content}"}}"#);
        self.event(&delta, "null")
    }

    fn end_event(&self, reason: &str) -> String {
        self.event("{}", &format!(r#""{reason}""#))
    }

    fn event(&self, delta: &str, reason: &str) -> String {
        let id = chat_id(&self.chat);
        let model = serde_json::Value::from(self.chat.model.as_str());
        let mut event = String::with_capacity(256);
        // Writing to a string can't fail.
        let _ = write!(
            event,
            "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\
             \"created\":{CREATED},\"model\":{model},\"choices\":[{{\"index\":0,\
             \"delta\":{delta},\"finish_reason\":{reason}}}]}}\n\n"
        );
        event
    }
}

impl Frames for EventStream {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Dropped>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = match ready!(self.rx.poll_recv(cx)) {
            Some(Part::Token(index)) => self.token_event(index),
            Some(Part::Finished) => {
                self.ended = true;
                self.end_event("length") + "data: [DONE]\n\n"
            }
            Some(Part::Cancelled) => {
                self.ended = true;
                self.end_event("cancelled")
            }
            // The engine died. An orderly end of the body would hide that.
            None => return Poll::Ready(Some(Err(Dropped))),
        };
        Poll::Ready(Some(Ok(Bytes::from(event))))
    }
}

/// Waits for the whole answer and returns it as one JSON object.
///
/// # Errors
///
/// Returns a failure when the attempt was cancelled or the engine died.
pub(crate) async fn whole_answer(
    chat: Chat,
    mut rx: UnboundedReceiver<Part>,
) -> Result<Reply, Failure> {
    let mut content = String::new();
    let mut tokens: u64 = 0;
    loop {
        match rx.recv().await.ok_or(Dropped)? {
            Part::Token(index) => {
                chat.prompt.write_token(index, &mut content);
                tokens += 1;
            }
            Part::Finished => break,
            Part::Cancelled => {
                return Err(error(StatusCode::CONFLICT, "cancelled", "the attempt was cancelled"));
            }
        }
    }
    let answer = json!({
        "id": chat_id(&chat),
        "object": "chat.completion",
        "created": CREATED,
        "model": chat.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "length",
        }],
        "usage": {
            "prompt_tokens": chat.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": chat.prompt_tokens + tokens,
        },
    });
    Ok(json(StatusCode::OK, &answer))
}

fn chat_id(chat: &Chat) -> String {
    format!("chatcmpl-{:016x}", chat.prompt.0)
}
