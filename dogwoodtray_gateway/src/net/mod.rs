//! HTTP client for endpoints, and parser of their event streams.

mod endpoint_body;
mod events;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
pub(crate) use dogwoodtray_http::AnswerError;
pub(crate) use dogwoodtray_http::AnswerKind;
pub(crate) use dogwoodtray_http::BodyKind;
use dogwoodtray_http::SendConfig;
pub(crate) use dogwoodtray_http::SendError;
use http_body_util::Full;
use hyper::Request;
use hyper::http::response::Parts;

pub(crate) use self::endpoint_body::EndpointBody;
pub use self::events::EventParser;
pub use self::events::StreamEvent;
use crate::model::Endpoint;
use crate::node::Node;

/// Timeout of connecting to an endpoint. A round trip takes 2 ms and the endpoint 1 ms more; a
/// packet that is dropped because the accept queue is full is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of the head of a response, including informational ones before it.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Response of an endpoint.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Head of the response.
    pub(crate) parts: Parts,
    /// Body of the response; dropping it closes the connection.
    pub(crate) body: EndpointBody,
}

/// Sends a request on a new connection to an endpoint and waits for the head of the response.
pub(crate) async fn send(
    node: &Rc<Node>,
    endpoint: &Rc<Endpoint>,
    req: Request<Full<Bytes>>,
    kind: AnswerKind,
) -> Result<Exchange, SendError> {
    let cfg = SendConfig { kind, connect_timeout: CONNECT_TIMEOUT, max_head_bytes: MAX_HEAD_BYTES };
    let exchange = dogwoodtray_http::send(endpoint.addr, req, cfg).await?;
    let body = EndpointBody::new(exchange.body, Rc::clone(node), Rc::clone(endpoint));
    Ok(Exchange { parts: exchange.parts, body })
}

/// Returns `true` if nothing listens at the address any more.
pub(crate) async fn is_refused(addr: SocketAddr) -> bool {
    dogwoodtray_http::is_refused(addr, CONNECT_TIMEOUT).await
}
