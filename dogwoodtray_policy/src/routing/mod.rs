//! Selection of the endpoint for a request.

mod affinity;
mod config;
mod endpoint;
mod hedge;
mod policy;
mod router;

pub use self::config::RouterConfig;
pub use self::hedge::HedgeConfig;
pub use self::hedge::HedgePolicy;
pub use self::policy::EndpointKey;
pub use self::policy::PROBE_TOKENS;
pub use self::policy::RoutePolicy;
pub use self::policy::RouteRequest;
pub use self::router::Router;
