//! HTTP interface for callers.

mod batches;
mod chat;
mod error;
mod limits;
mod models;
mod once;
mod request;
mod resolve;
mod server;
mod stream;

pub(crate) use self::chat::chat_cost_and_prefix;
pub use self::limits::OrganizationLimits;
pub(crate) use self::limits::RateLimiter;
pub(crate) use self::request::next_request_no;
pub(crate) use self::server::CallerServer;
