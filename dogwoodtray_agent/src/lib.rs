//! Agent role: a sidecar through which all requests to its endpoint pass.
//!
//! [`AgentCore`] is the state machine of the agent and performs no I/O. [`Agent`] runs it in a
//! process: it accepts links from entries, calls the endpoint and serves the operator port.

mod core;
mod shell;

pub use crate::core::AgentAction;
pub use crate::core::AgentConfig;
pub use crate::core::AgentCore;
pub use crate::core::AgentEvent;
pub use crate::core::AgentMessage;
pub use crate::core::AttemptOutcome;
pub use crate::core::Backlog;
pub use crate::core::EndpointEvent;
pub use crate::core::EntryLinkId;
pub use crate::core::NotRun;
pub use crate::core::Work;
pub use crate::shell::Agent;
pub use crate::shell::AgentError;
pub use crate::shell::AgentSettings;
pub use crate::shell::EndpointKind;
