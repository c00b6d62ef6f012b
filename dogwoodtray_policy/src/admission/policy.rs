//! Interface between an admission policy and the agent that runs it.

use std::fmt::Debug;

use dogwoodtray_coord::Timestamp;

use crate::Class;
use crate::Cost;
use crate::WorkId;

/// Reason for refusing work. Refused work has never entered the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The queue is full, or the endpoint is down.
    Busy,
    /// The endpoint is shutting down and accepts no new work.
    Leaving,
    /// The deadline elapsed before the work could start.
    Deadline,
}

/// An event at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// Work arrived.
    Arrive {
        /// Identifies the work in later events and actions.
        id: WorkId,
        /// Class of service.
        class: Class,
        /// Expected size.
        cost: Cost,
        /// Time from which the work must not be started.
        deadline: Option<Timestamp>,
    },
    /// The engine produced the first token.
    FirstToken {
        /// Identifies the work.
        id: WorkId,
    },
    /// The engine produced more tokens.
    Progress {
        /// Identifies the work.
        id: WorkId,
        /// Tokens produced so far.
        tokens: u32,
    },
    /// The work left the engine, for any reason.
    Finished {
        /// Identifies the work.
        id: WorkId,
    },
    /// The caller cancelled the work, queued or running. `Finished` follows if it was running.
    Withdrawn {
        /// Identifies the work.
        id: WorkId,
    },
    /// The agent stops accepting new work.
    Leaving,
    /// The endpoint stopped responding. `Finished` follows for each piece of work inside it.
    EndpointDown,
    /// The endpoint responds again.
    EndpointUp,
    /// Periodic event, sent a few times per second.
    Tick,
}

/// An action that the agent carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the work to the engine.
    Forward {
        /// Identifies the work.
        id: WorkId,
    },
    /// Cancel the stream inside the engine and keep its output so far. The agent still sends
    /// `Finished` when the stream has left the engine.
    Preempt {
        /// Identifies the work.
        id: WorkId,
    },
    /// Report to the sender that the work was not run.
    Refuse {
        /// Identifies the work.
        id: WorkId,
        /// Reason for the refusal.
        reason: RefuseReason,
    },
}

/// Decides which work enters an engine and when.
///
/// Every `Arrive` leads to exactly one `Forward` or `Refuse`, unless `Withdrawn` comes first.
pub trait AdmissionPolicy: Debug + Send {
    /// Handles an event and appends the resulting actions to `out` in order of execution.
    fn handle(&mut self, now: Timestamp, event: AdmissionEvent, out: &mut Vec<AdmissionAction>);

    /// Returns how many more online requests could enter the engine immediately.
    fn free_online(&self) -> u32;

    /// Returns how many more batch items have places. They may be admitted gradually.
    fn free_batch(&self) -> u32;

    /// Returns the number of queued online requests.
    fn queued_online(&self) -> u32;

    /// Sets the balance between the classes: 0.0 favors online tail latency, 1.0 batch throughput.
    /// The default implementation ignores it.
    fn set_batch_weight(&mut self, _weight: f64) {}
}
