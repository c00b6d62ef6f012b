//! Replies.

use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde_json::json;

/// Reply to one call.
pub(crate) type Reply = Response<ReplyBody>;

/// Ends a connection without an answer, or an answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection dropped by the stand-in")
    }
}

impl Error for Dropped {}

impl From<Infallible> for Dropped {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Source of the parts of a streamed reply. An error breaks the connection off.
pub(crate) trait Frames: Send {
    /// Returns the next part, or `None` at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Dropped>>>;
}

/// Body of a reply.
pub(crate) enum ReplyBody {
    /// The whole body; `None` once it was handed out.
    Whole(Option<Bytes>),
    /// A body that is made while it is sent.
    Stream(Box<dyn Frames>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(frames) => {
                frames.poll_next(cx).map(|next| next.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a reply without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    reply(status, ReplyBody::Whole(None), None)
}

/// Creates a reply with raw bytes.
pub(crate) fn raw(status: StatusCode, bytes: Bytes) -> Reply {
    let body = ReplyBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()));
    reply(status, body, Some("application/octet-stream"))
}

/// Creates a reply with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            reply(status, ReplyBody::Whole(Some(Bytes::from(bytes))), Some("application/json"))
        }
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Why a call was not answered as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The reply says what was wrong.
    Error { status: StatusCode, code: &'static str, message: Box<str> },
    /// The connection ends without an answer.
    Dropped,
}

impl From<Dropped> for Failure {
    fn from(Dropped: Dropped) -> Self {
        Self::Dropped
    }
}

impl Failure {
    /// Returns the reply, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`Dropped`] when the connection ends without an answer.
    pub(crate) fn into_reply(self) -> Result<Reply, Dropped> {
        match self {
            Self::Error { status, code, message } => {
                Ok(json(status, &json!({ "error": { "code": code, "message": message } })))
            }
            Self::Dropped => Err(Dropped),
        }
    }
}

/// Creates a failure that says what was wrong.
pub(crate) fn error(status: StatusCode, code: &'static str, message: impl fmt::Display) -> Failure {
    Failure::Error { status, code, message: message.to_string().into() }
}

/// Creates a failure for a request that is not valid.
pub(crate) fn bad_request(message: impl fmt::Display) -> Failure {
    error(StatusCode::BAD_REQUEST, "bad_request", message)
}

/// Creates a failure for a path or method that is not served.
pub(crate) fn no_route() -> Failure {
    error(StatusCode::NOT_FOUND, "no_route", "no such path or method")
}

/// Creates a reply of server-sent events.
pub(crate) fn streamed(frames: impl Frames + 'static) -> Reply {
    reply(StatusCode::OK, ReplyBody::Stream(Box::new(frames)), Some("text/event-stream"))
}

fn reply(status: StatusCode, body: ReplyBody, content_type: Option<&'static str>) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    if let Some(content_type) = content_type {
        reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    reply
}
