//! Process that runs the state machine of the agent.

mod agent;
mod batch_weight;
mod convert;
mod endpoint;
mod service;
mod settings;
mod sse;

pub use self::agent::Agent;
pub use self::agent::AgentError;
pub use self::settings::AgentSettings;
pub use self::settings::EndpointKind;
