//! Settings of an agent process.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_coord::Name;

/// Kind of the endpoint that an agent serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain HTTP service without token streaming.
    Service,
}

/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Node name of the process.
    pub node: Name,
    /// Data centre in which the process runs.
    pub data_centre: Name,
    /// Address on which links from entries are accepted.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Models or services that the endpoint serves.
    pub models: Vec<Name>,
    /// Whether the endpoint rejects requests with an outdated fencing token.
    pub checks_fence: bool,
    /// Name of the admission policy.
    pub admission: Name,
    /// Maximum number of concurrent requests at the endpoint.
    pub max_places: u32,
    /// Time without data from the endpoint after which an exchange is aborted.
    pub stall_timeout: Duration,
    /// Maximum time for which a drain waits for running work.
    pub drain_timeout: Duration,
}
