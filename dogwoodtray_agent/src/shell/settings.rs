//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_coord::Name;

/// Kind of the endpoint beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the process.
    pub node: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Address for links from entries.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Models or services that the endpoint serves.
    pub models: Vec<Name>,
    /// Whether the endpoint refuses orders with an old fencing token.
    pub checks_fence: bool,
    /// Name of the admission policy.
    pub admission: Name,
    /// Most requests inside the endpoint.
    pub max_places: u32,
    /// Time without any byte from the endpoint after which an exchange is given up.
    pub stall_timeout: Duration,
    /// Longest time that a drain waits for running work.
    pub drain_timeout: Duration,
}
