//! Entry role: accepts requests and jobs from callers and routes them to agents.
//!
//! [`online::OnlineCore`] and [`jobs::JobCore`] are state machines without clock, socket or thread.
//! [`Entry`] is the process that runs them.

mod http;
pub mod jobs;
pub mod online;
mod shell;

pub use crate::http::OrganizationLimits;
pub use crate::shell::Entry;
pub use crate::shell::EntryError;
pub use crate::shell::EntrySettings;
