//! State machine of the agent, free of I/O.

mod admission;
mod attempt;
mod credit;
mod endpoint;
mod events;
mod fence;
mod message;
mod reply;
mod state;

pub use self::message::AgentAction;
pub use self::message::AgentEvent;
pub use self::message::AgentMessage;
pub use self::message::AttemptOutcome;
pub use self::message::Backlog;
pub use self::message::EndpointEvent;
pub use self::message::EntryLinkId;
pub use self::message::NotRun;
pub use self::message::Work;
pub use self::state::AgentConfig;
pub use self::state::AgentCore;
