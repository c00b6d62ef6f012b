//! HTTP client for endpoints, and parser of their event streams.

mod events;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
pub(crate) use dogwoodtray_http::AnswerBody;
pub(crate) use dogwoodtray_http::AnswerError;
pub(crate) use dogwoodtray_http::AnswerKind;
pub(crate) use dogwoodtray_http::BodyKind;
pub(crate) use dogwoodtray_http::Exchange;
use dogwoodtray_http::SendConfig;
pub(crate) use dogwoodtray_http::SendError;
use http_body_util::Full;
use hyper::Request;

pub use self::events::EventParser;
pub use self::events::StreamEvent;

/// Timeout of connecting to an endpoint. A round trip takes 2 ms and the endpoint 1 ms more; a
/// packet that is dropped because the accept queue is full is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends a request on a new connection and waits for the head of the response.
pub(crate) async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    kind: AnswerKind,
) -> Result<Exchange, SendError> {
    dogwoodtray_http::send(addr, req, SendConfig { kind, connect_timeout: CONNECT_TIMEOUT }).await
}

/// Returns `true` if nothing listens at the address any more.
pub(crate) async fn is_refused(addr: SocketAddr) -> bool {
    dogwoodtray_http::is_refused(addr, CONNECT_TIMEOUT).await
}
