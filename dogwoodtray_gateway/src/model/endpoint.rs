//! Endpoints and their states.

use dogwoodtray_coord::Name;
use hyper::header::HeaderValue;

use super::name_header::name_header;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint; a different id at the same address is a different endpoint.
    pub id: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// IP address and port.
    pub addr: std::net::SocketAddr,
    /// Data centre in which the endpoint is located.
    pub data_centre: Name,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Time at which the endpoint started, in Unix milliseconds; 0 if unknown. An endpoint may start
    /// again under the same id and address.
    pub started_unix_ms: u64,
}

impl Endpoint {
    /// Returns the header value that names the endpoint with this id to the receiver of a request.
    /// Returns `None` if the id cannot be sent, or would arrive changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodtray_gateway::Endpoint;
    ///
    /// assert!(Endpoint::id_header("i-7f3a91c2").is_some());
    /// assert!(Endpoint::id_header("i-7f3a91c2\n").is_none());
    /// ```
    #[must_use]
    pub fn id_header(id: &str) -> Option<HeaderValue> {
        name_header(id)
    }
}
