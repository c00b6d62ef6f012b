//! What the end of an answer proves.

use hyper::header;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use quick_error::quick_error;

use crate::event_splitter::ends_event;

const EVENT_STREAM: &str = "text/event-stream";

const CHUNKED: &str = "chunked";

/// Lines that announce the end of a stream of chat completions.
const FINAL_LINES: [&[u8]; 2] = [b"data: [DONE]", b"data:[DONE]"];

/// Number of bytes at the end of an answer that decide whether its last event is complete and final:
/// the end of the line before, the longest final line, and two ends of lines.
const TAIL_BYTES: usize = 1 + 12 + 4;

/// How the head of an answer delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body is sent in chunks, the last of which is marked.
    Chunks,
    /// The body ends with the connection.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a body. `length` is the length that the head states.
    #[must_use]
    pub fn new(headers: &HeaderMap, length: Option<u64>) -> Self {
        if let Some(length) = length {
            return Self::Length(length);
        }
        let encodings = headers.get_all(header::TRANSFER_ENCODING);
        let last = encodings.iter().next_back().and_then(|value| value.to_str().ok());
        let coding = last.and_then(|value| value.rsplit(',').next()).unwrap_or_default();
        if coding.trim().eq_ignore_ascii_case(CHUNKED) { Self::Chunks } else { Self::Connection }
    }

    /// Returns the name of the framing in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Kind of answer that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// An answer that consists of events only if its content type says so.
    Plain,
    /// A stream of events, if the request succeeds.
    Stream,
    /// An answer of an engine. A stream of events announces its end.
    Chat,
}

/// Structure of the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// Bytes without a structure that shows their end.
    Opaque,
    /// Server-sent events.
    Events,
    /// Server-sent events, the last of which announces the end of the stream.
    AnnouncedEvents,
}

impl BodyKind {
    /// Returns the structure of the body of an answer with this head.
    #[must_use]
    pub fn new(expected: AnswerKind, parts: &Parts) -> Self {
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let is_event_stream =
            content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
        match expected {
            AnswerKind::Stream if parts.status.is_success() => Self::Events,
            AnswerKind::Chat if is_event_stream && parts.status.is_success() => {
                Self::AnnouncedEvents
            }
            _ if is_event_stream => Self::Events,
            _ => Self::Opaque,
        }
    }
}

quick_error! {
    /// Reason why the end of an answer does not prove that the answer is complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Truncation {
        /// Bytes of the stated length are missing.
        MissingBytes {
            display("missing bytes")
        }
        /// The stream ends within an event.
        PartialEvent {
            display("partial event")
        }
        /// The stream has no events, and only the end of its connection says that it is complete.
        NoEvents {
            display("no events")
        }
        /// Only the end of the connection says that the answer is complete, and the endpoint is gone.
        EndpointGone {
            display("endpoint gone")
        }
        /// Only the end of the connection says that the answer is complete, and the endpoint ended it
        /// before it had received the request.
        UnreadRequest {
            display("unread request")
        }
        /// The stream ends without the event that announces its end.
        NoFinalEvent {
            display("no final event")
        }
    }
}

impl Truncation {
    /// Returns the label of the reason in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::MissingBytes => "missing bytes",
            Self::PartialEvent => "partial event",
            Self::NoEvents => "no events",
            Self::EndpointGone => "endpoint gone",
            Self::UnreadRequest => "unread request",
            Self::NoFinalEvent => "no final event",
        }
    }
}

/// Decides whether an answer is complete once its connection or its framing says that it has ended.
///
/// An answer without length and chunks whose connection is closed without an error between two events,
/// or anywhere in an opaque body, counts as complete: nothing in it tells such a break from its end. Its
/// reader may know more, such as that the endpoint is gone or has not received the request.
///
/// # Examples
///
/// ```
/// use dogwoodtray_http::BodyFraming;
/// use dogwoodtray_http::BodyKind;
/// use dogwoodtray_http::EndCheck;
/// use dogwoodtray_http::Truncation;
///
/// let mut check = EndCheck::new(BodyFraming::Connection, BodyKind::Events);
/// check.push(b"data: a\n\ndata");
/// assert_eq!(check.verify(), Err(Truncation::PartialEvent));
/// check.push(b": b\n\n");
/// assert_eq!(check.verify(), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct EndCheck {
    framing: BodyFraming,
    kind: BodyKind,
    received: u64,
    tail: Vec<u8>,
}

impl EndCheck {
    /// Creates the check of an answer of which nothing has been received.
    #[must_use]
    pub const fn new(framing: BodyFraming, kind: BodyKind) -> Self {
        Self { framing, kind, received: 0, tail: Vec::new() }
    }

    /// Returns how the body is delimited.
    #[must_use]
    pub const fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the structure of the body.
    #[must_use]
    pub const fn kind(&self) -> BodyKind {
        self.kind
    }

    /// Records a received part of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.received += data.len() as u64;
        if self.kind == BodyKind::Opaque {
            return;
        }
        self.tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// Decides whether the answer is complete if it ends here.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not.
    pub fn verify(&self) -> Result<(), Truncation> {
        if matches!(self.framing, BodyFraming::Length(length) if self.received < length) {
            return Err(Truncation::MissingBytes);
        }
        if self.kind == BodyKind::Opaque {
            return Ok(());
        }
        if self.received == 0 && self.framing == BodyFraming::Connection {
            return Err(Truncation::NoEvents);
        }
        if self.received > 0 && !ends_event(&self.tail) {
            return Err(Truncation::PartialEvent);
        }
        if self.kind == BodyKind::AnnouncedEvents && !self.is_end_announced() {
            return Err(Truncation::NoFinalEvent);
        }
        Ok(())
    }

    fn is_end_announced(&self) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let end = self.tail.iter().rposition(|byte| !is_line_end(byte)).map_or(0, |last| last + 1);
        let text = &self.tail[..end];
        FINAL_LINES.iter().any(|line| {
            text.strip_suffix(*line).is_some_and(|before| before.last().is_none_or(is_line_end))
        })
    }
}
