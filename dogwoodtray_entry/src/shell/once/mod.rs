//! Service that keeps at-most-once records of non-idempotent requests.

mod forward;
mod message;
mod pending;
mod run;
mod service;

pub(crate) use self::message::OnceInput;
pub(crate) use self::message::OnceReply;
pub(super) use self::service::OnceService;

/// Prefix of the object names of key ranges in probes.
pub(super) const ONCE_OBJECT: &str = "once/";
