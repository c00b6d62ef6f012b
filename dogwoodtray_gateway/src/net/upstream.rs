//! HTTP exchanges with endpoints, each on its own connection.
//!
//! The connection is polled by the task that reads the response, so that an event wakes only one
//! task. A connection serves one request: excess bytes after the end of a response can then never
//! be mistaken for the response to another request.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
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

/// Timeout of connecting to an endpoint. A round trip takes 2 ms and the endpoint 1 ms more; a
/// packet that is dropped because the accept queue is full is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the kernel closes a connection whose peer does not acknowledge data.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the head of a response, including informational ones before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

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
    }
}

/// Response of an endpoint.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Head of the response.
    pub(crate) parts: Parts,
    /// Body of the response; dropping it closes the connection.
    pub(crate) body: UpstreamBody,
}

/// Body of a response, with the connection on which it is received.
#[derive(Debug)]
pub(crate) struct UpstreamBody {
    connection: Option<Pin<Box<Connection>>>,
    incoming: Incoming,
}

/// Sends a request on a new connection and waits for the head of the response.
pub(crate) async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    let stream = connect(addr).await.map_err(SendError::NotSent)?;
    let handshake =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
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
    let connection = is_open.then_some(connection);
    Ok(Exchange { parts, body: UpstreamBody { connection, incoming } })
}

/// Returns `true` if nothing listens at the address any more. An endpoint that only reset a connection
/// or cannot be reached does not count.
pub(crate) async fn is_refused(addr: SocketAddr) -> bool {
    connect(addr).await.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

impl UpstreamBody {
    /// Returns the upper bound of the body length, if the head of the response specifies one.
    pub(crate) fn size_hint_upper(&self) -> Option<u64> {
        self.incoming.size_hint().upper()
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = &mut *self;
        if let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(cx) {
            return Poll::Ready(frame);
        }
        if let Some(connection) = &mut this.connection
            && connection.as_mut().poll(cx).is_ready()
        {
            this.connection = None;
        }
        Pin::new(&mut this.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
