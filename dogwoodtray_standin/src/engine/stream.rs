//! Serialization of answers.

use std::fmt::Write;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use super::batch::SequenceEvent;
use super::chat::ChatRequest;
use crate::http::ConnectionDropped;
use crate::http::Failure;
use crate::http::Reply;
use crate::http::ReplyStream;
use crate::http::error;
use crate::http::json;

/// Timestamp of all answers. It is constant, so that a resumed stream has the same bytes.
const CREATED: u64 = 1_700_000_000;

/// Stream of the server-sent events of one answer.
pub(crate) struct EventStream {
    rx: UnboundedReceiver<SequenceEvent>,
    chat: ChatRequest,
    ended: bool,
}

impl EventStream {
    /// Creates the event stream of an answer from the receiver of its sequence.
    pub(crate) const fn new(chat: ChatRequest, rx: UnboundedReceiver<SequenceEvent>) -> Self {
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
        let id = completion_id(&self.chat);
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

impl ReplyStream for EventStream {
    fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ConnectionDropped>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = match ready!(self.rx.poll_recv(cx)) {
            Some(SequenceEvent::Token(index)) => self.token_event(index),
            Some(SequenceEvent::Finished) => {
                self.ended = true;
                self.end_event("length") + "data: [DONE]\n\n"
            }
            Some(SequenceEvent::Cancelled) => {
                self.ended = true;
                self.end_event("cancelled")
            }
            // The engine crashed. An orderly end of the body would hide the crash.
            None => return Poll::Ready(Some(Err(ConnectionDropped))),
        };
        Poll::Ready(Some(Ok(Bytes::from(event))))
    }
}

/// Waits until the answer is complete and returns it as one JSON object.
///
/// # Errors
///
/// Returns a failure if the attempt was cancelled or the engine crashed.
pub(crate) async fn whole_answer(
    chat: ChatRequest,
    mut rx: UnboundedReceiver<SequenceEvent>,
) -> Result<Reply, Failure> {
    let mut content = String::new();
    let mut tokens: u64 = 0;
    loop {
        match rx.recv().await.ok_or(ConnectionDropped)? {
            SequenceEvent::Token(index) => {
                chat.prompt.write_token(index, &mut content);
                tokens += 1;
            }
            SequenceEvent::Finished => break,
            SequenceEvent::Cancelled => {
                return Err(error(StatusCode::CONFLICT, "cancelled", "the attempt was cancelled"));
            }
        }
    }
    let answer = json!({
        "id": completion_id(&chat),
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

fn completion_id(chat: &ChatRequest) -> String {
    format!("chatcmpl-{:016x}", chat.prompt.0)
}
