//! HTTP servers for callers, readiness checks and metrics.

mod attempt;
mod body;
mod job_calls;
mod jobs;
mod online;
mod request_body;
mod response;
mod run;
mod server;
mod stream;
mod trace;

pub(crate) use self::server::CallerServer;
pub(crate) use self::server::serve_admin;
