//! HTTP interface for callers.

mod batches;
mod chat;
mod error;
mod limits;
mod models;
mod once;
mod port;
mod request;
mod resolve;
mod stream;

pub(crate) use self::chat::chat_cost;
pub use self::limits::OrganizationLimits;
pub(crate) use self::limits::RateLimiter;
pub(crate) use self::port::CallerPort;
pub(crate) use self::request::next_request;
