//! Endpoints as they announce themselves.

use dogwoodtray_coord::Name;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Ends what it runs and takes nothing new.
    Draining,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint; another id at the same address is another endpoint.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// IP address and port.
    pub addr: std::net::SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
}
