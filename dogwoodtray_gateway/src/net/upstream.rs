//! One exchange with an endpoint on a connection of its own.
//!
//! The connection is driven by the task that reads the answer, so that an event passes through one
//! task and wakes nothing else. A connection serves one request: what an endpoint sends beyond the
//! end of its answer can then never be taken for the answer to another request.

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

/// Time in which an endpoint accepts a connection. A round trip takes 2 ms and the endpoint 1 ms
/// more; a packet that is dropped because its queue is full comes again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the kernel gives up on a peer that does not acknowledge.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

quick_error! {
    /// Reason why there is no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// The endpoint was not reached; the request was not sent.
        NotSent(err: io::Error) {
            display("not sent: {err}")
            source(err)
        }
        /// The exchange broke after the request was sent; it may have run.
        Lost(err: hyper::Error) {
            display("lost: {err}")
            source(err)
        }
    }
}

/// Answer of an endpoint.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Head of the answer.
    pub(crate) parts: Parts,
    /// Body of the answer; dropping it closes the connection.
    pub(crate) body: UpstreamBody,
}

/// Body of an answer, with the connection that it arrives on.
#[derive(Debug)]
pub(crate) struct UpstreamBody {
    connection: Option<Pin<Box<Connection>>>,
    incoming: Incoming,
}

/// Sends a request on a new connection and waits for the head of the answer.
pub(crate) async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    let stream = connect(addr).await.map_err(SendError::NotSent)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(SendError::Lost)?;
    let mut connection = Box::pin(connection);
    let mut open = true;
    let answer = sender.send_request(req);
    tokio::pin!(answer);
    let response = loop {
        tokio::select! {
            biased;
            response = &mut answer => break response.map_err(SendError::Lost)?,
            // The outcome of the connection reaches the answer.
            _ = &mut connection, if open => open = false,
        }
    };
    let (parts, incoming) = response.into_parts();
    let connection = open.then_some(connection);
    Ok(Exchange { parts, body: UpstreamBody { connection, incoming } })
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
    /// Returns the length that the head of the answer announces.
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
