//! HTTP client for endpoints, and parser of their event streams.

mod events;
mod upstream;

pub use self::events::EventParser;
pub use self::events::StreamEvent;
pub(crate) use self::upstream::Exchange;
pub(crate) use self::upstream::SendError;
pub(crate) use self::upstream::UpstreamBody;
pub(crate) use self::upstream::is_refused;
pub(crate) use self::upstream::send;
