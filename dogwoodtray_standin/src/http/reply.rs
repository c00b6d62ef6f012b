//! HTTP replies and failures.

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

/// Reply to a call.
pub(crate) type Reply = Response<ReplyBody>;

/// Error that closes a connection before the reply is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection dropped by the stand-in")
    }
}

impl Error for ConnectionDropped {}

impl From<Infallible> for ConnectionDropped {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Source of the chunks of a streamed reply. An error closes the connection.
pub(crate) trait ReplyStream: Send {
    /// Polls for the next chunk, or `None` at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>)
    -> Poll<Option<Result<Bytes, ConnectionDropped>>>;
}

/// Body of a reply.
pub(crate) enum ReplyBody {
    /// Body that is sent in one frame; `None` if it is empty or was already sent.
    Whole(Option<Bytes>),
    /// Body that is generated while it is sent.
    Stream(Box<dyn ReplyStream>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionDropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionDropped>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => {
                stream.poll_next(cx).map(|next| next.map(|chunk| chunk.map(Frame::data)))
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

/// Creates a reply with a binary body.
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

/// Reason for which a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The call gets an error reply with this content.
    Error { status: StatusCode, code: &'static str, message: Box<str> },
    /// The connection is closed without a reply.
    ConnectionDropped,
}

impl From<ConnectionDropped> for Failure {
    fn from(ConnectionDropped: ConnectionDropped) -> Self {
        Self::ConnectionDropped
    }
}

impl Failure {
    /// Converts the failure to an error reply.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionDropped`] if the connection is closed without a reply.
    pub(crate) fn into_reply(self) -> Result<Reply, ConnectionDropped> {
        match self {
            Self::Error { status, code, message } => {
                Ok(json(status, &json!({ "error": { "code": code, "message": message } })))
            }
            Self::ConnectionDropped => Err(ConnectionDropped),
        }
    }
}

/// Creates a failure with an error reply.
pub(crate) fn error(status: StatusCode, code: &'static str, message: impl fmt::Display) -> Failure {
    Failure::Error { status, code, message: message.to_string().into() }
}

/// Creates a failure with status 400 for an invalid request.
pub(crate) fn bad_request(message: impl fmt::Display) -> Failure {
    error(StatusCode::BAD_REQUEST, "bad_request", message)
}

/// Creates a failure with status 404 for an unknown path or method.
pub(crate) fn route_not_found() -> Failure {
    error(StatusCode::NOT_FOUND, "no_route", "no such path or method")
}

/// Creates a reply that streams server-sent events.
pub(crate) fn streamed(stream: impl ReplyStream + 'static) -> Reply {
    reply(StatusCode::OK, ReplyBody::Stream(Box::new(stream)), Some("text/event-stream"))
}

fn reply(status: StatusCode, body: ReplyBody, content_type: Option<&'static str>) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    if let Some(content_type) = content_type {
        reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    reply
}
