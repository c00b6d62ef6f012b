//! Stand-ins for the model engine, a plain service and the platform.
//!
//! Each stand-in is an HTTP/1.1 server that runs on the caller's tokio runtime and implements
//! the protocol in section 8 of the design. Faults are set through the handle or over HTTP. Random
//! choices come from a seeded generator. Dropping the handle stops the server.

mod answer;
mod engine;
mod faults;
mod http;
mod lagged;
mod platform;
mod runs;
mod service;

pub use crate::answer::AnswerFault;
pub use crate::answer::PromptError;
pub use crate::answer::PromptHash;
pub use crate::answer::check_answer;
pub use crate::engine::EngineConfig;
pub use crate::engine::EngineFaults;
pub use crate::engine::EngineStandin;
pub use crate::platform::PlatformConfig;
pub use crate::platform::PlatformFaults;
pub use crate::platform::PlatformStandin;
pub use crate::platform::Vm;
pub use crate::platform::VmRole;
pub use crate::platform::VmState;
pub use crate::runs::RunCounts;
pub use crate::service::ServiceConfig;
pub use crate::service::ServiceFaults;
pub use crate::service::ServiceStandin;
