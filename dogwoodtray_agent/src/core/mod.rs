//! State machine of the agent, free of I/O.

mod attempt;
mod credit;
mod decide;
mod endpoint;
mod events;
mod fence;
mod message;
mod place;
mod reply;

pub use self::decide::AgentConfig;
pub use self::decide::AgentCore;
pub use self::message::AgentAction;
pub use self::message::AgentEvent;
pub use self::message::AgentMessage;
pub use self::message::AttemptEnd;
pub use self::message::Backlog;
pub use self::message::EndpointEvent;
pub use self::message::NotRun;
pub use self::message::PeerId;
pub use self::message::Work;
