//! HTTP exchanges with endpoints, each on its own connection.
//!
//! The connection is polled by the task that reads the response, so that an event wakes only one
//! task. A connection serves one request: excess bytes after the end of a response can then never
//! be mistaken for the response to another request.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::end::AnswerKind;
use crate::end::BodyFraming;
use crate::end::BodyKind;
use crate::end::EndCheck;
use crate::end::Truncation;
use crate::request_stream::RequestProgress;
use crate::request_stream::RequestStream;

/// Time after which the kernel closes a connection whose peer does not acknowledge data.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that the kernel takes for a connection beyond those that the endpoint has room for. A larger
/// buffer would take a whole upload of which the endpoint reads nothing, so that its end could not be
/// told from that of a request that was received.
const UNSENT_BYTES: u32 = 64 * 1024;

/// Statuses that the final answer to a request may have.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

type Connection = http1::Connection<TokioIo<RequestStream>, Full<Bytes>>;

quick_error! {
    /// Error of an exchange without a response.
    #[derive(Debug)]
    pub enum SendError {
        /// The endpoint could not be reached; the request was not sent.
        NotSent(err: io::Error) {
            display("not sent: {err}")
            source(err)
        }
        /// The connection failed after it was established; the request may have run.
        Lost(err: hyper::Error) {
            display("lost: {err}")
            source(err)
        }
        /// The response has a status that no final answer may have; the request may have run.
        BadStatus(status: StatusCode) {
            display("answered with status {}", status.as_str())
        }
    }
}

quick_error! {
    /// Error that ends the body of an answer before the answer is complete.
    #[derive(Debug)]
    pub enum AnswerError {
        /// The connection failed, or its framing broke off.
        Connection(err: hyper::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The end of the body does not prove that the answer is complete.
        Truncated(err: Truncation) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendConfig {
    /// Kind of answer that the request asks for.
    pub kind: AnswerKind,
    /// Time in which the connection has to be established.
    pub connect_timeout: Duration,
    /// Maximum size of the head of the response, including informational ones before it.
    pub max_head_bytes: usize,
}

/// Response of an endpoint.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response.
    pub parts: Parts,
    /// Body of the response; dropping it closes the connection.
    pub body: AnswerBody,
}

/// Body of a response. It ends without an error only if the response is complete.
#[derive(Debug)]
pub struct AnswerBody {
    /// Connection on which the body is received, if it is polled by the reader of the body.
    connection: Option<Pin<Box<Connection>>>,
    incoming: Incoming,
    check: EndCheck,
    request: RequestProgress,
}

/// Sends a request on a new connection and waits for the head of the response.
///
/// # Errors
///
/// Returns an error if no connection can be established, if it fails before the head of the response, or
/// if no final answer may have the status of the response.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    cfg: SendConfig,
) -> Result<Exchange, SendError> {
    let stream = connect(addr, cfg.connect_timeout).await.map_err(SendError::NotSent)?;
    let (stream, request) = RequestStream::new(stream, req.body().size_hint().lower());
    let handshake =
        http1::Builder::new().max_buf_size(cfg.max_head_bytes).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(SendError::Lost)?;
    let mut connection = Box::pin(connection);
    let mut is_open = true;
    let response_future = sender.send_request(req);
    tokio::pin!(response_future);
    let response = loop {
        tokio::select! {
            biased;
            response = &mut response_future => break response.map_err(SendError::Lost)?,
            // A connection error is also returned by the response future.
            _ = &mut connection, if is_open => is_open = false,
        }
    };
    let (parts, incoming) = response.into_parts();
    if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
        metrics::counter!("dogwoodtray_endpoint_violations_total").increment(1);
        return Err(SendError::BadStatus(parts.status));
    }
    let framing = BodyFraming::new(&parts.headers, incoming.size_hint().exact());
    let check = EndCheck::new(framing, BodyKind::new(cfg.kind, &parts));
    let connection = is_open.then_some(connection);
    Ok(Exchange { parts, body: AnswerBody { connection, incoming, check, request } })
}

/// Returns `true` if nothing listens at the address any more. An endpoint that only reset a connection
/// or cannot be reached does not count.
pub async fn is_refused(addr: SocketAddr, connect_timeout: Duration) -> bool {
    let connected = connect(addr, connect_timeout).await;
    connected.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect(addr: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    // Without the option, the kernel may take a whole upload that the endpoint does not read.
    let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
    Ok(stream)
}

impl AnswerBody {
    /// Returns the upper bound of the body length, if the head of the response specifies one.
    #[must_use]
    pub fn size_hint_upper(&self) -> Option<u64> {
        self.incoming.size_hint().upper()
    }

    /// Returns how the head of the response delimits the body.
    #[must_use]
    pub const fn framing(&self) -> BodyFraming {
        self.check.framing()
    }

    /// Returns the structure of the body.
    #[must_use]
    pub const fn kind(&self) -> BodyKind {
        self.check.kind()
    }

    /// Decides whether the answer is complete if it ends here.
    fn verify(&self) -> Result<(), Truncation> {
        self.check.verify()?;
        let is_end_shown =
            self.framing() != BodyFraming::Connection || self.kind() == BodyKind::AnnouncedEvents;
        if is_end_shown || self.request.is_written() {
            return Ok(());
        }
        Err(Truncation::UnreadRequest)
    }

    /// Checks a frame of the body, or its end.
    fn check(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Result<Frame<Bytes>, AnswerError>> {
        let Some(frame) = frame else {
            let truncation = self.verify().err()?;
            let reason = truncation.label();
            metrics::counter!("dogwoodtray_truncated_answers_total", "reason" => reason)
                .increment(1);
            return Some(Err(truncation.into()));
        };
        if let Ok(frame) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.check.push(data);
            self.request.on_data();
        }
        Some(frame.map_err(AnswerError::from))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let this = &mut *self;
        if let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(cx) {
            return Poll::Ready(this.check(frame));
        }
        if let Some(connection) = &mut this.connection
            && connection.as_mut().poll(cx).is_ready()
        {
            this.connection = None;
        }
        Pin::new(&mut this.incoming).poll_frame(cx).map(|frame| this.check(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream() && self.verify().is_ok()
    }

    /// Returns no length for a stream: one that has its stated length may still end within an event.
    fn size_hint(&self) -> SizeHint {
        match self.kind() {
            BodyKind::Opaque => self.incoming.size_hint(),
            BodyKind::Events | BodyKind::AnnouncedEvents => SizeHint::default(),
        }
    }
}
