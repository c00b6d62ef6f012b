//! HTTP servers for callers, readiness checks and metrics.

mod answer;
mod attempt;
mod body;
mod jobs;
mod online;
mod server;
mod stream;
mod trace;

pub(crate) use self::server::Front;
pub(crate) use self::server::serve_admin;
