//! Interface between an admission policy and the agent that drives it.

use std::fmt::Debug;

use dogwoodtray_coord::Timestamp;

use crate::Class;
use crate::Cost;
use crate::WorkId;

/// Why work was refused. Refused work never entered the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The queue is full, or the endpoint is down.
    Busy,
    /// The endpoint takes no new work because it is about to stop.
    Leaving,
    /// The deadline passed before the work could start.
    Deadline,
}

/// What happened at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// Work arrived.
    Arrive {
        /// Names the work from here on.
        id: WorkId,
        /// Its class.
        class: Class,
        /// Its expected size.
        cost: Cost,
        /// When it is no longer worth starting.
        deadline: Option<Timestamp>,
    },
    /// The engine produced the first token.
    FirstToken {
        /// The work.
        id: WorkId,
    },
    /// The engine produced more tokens.
    Progress {
        /// The work.
        id: WorkId,
        /// Tokens produced so far.
        tokens: u32,
    },
    /// The work left the engine, for any reason.
    Finished {
        /// The work.
        id: WorkId,
    },
    /// The caller cancelled the work, queued or running. `Finished` follows if it was running.
    Withdrawn {
        /// The work.
        id: WorkId,
    },
    /// No new work is accepted from here on.
    Leaving,
    /// The endpoint stopped answering. `Finished` follows for each piece of work inside it.
    EndpointDown,
    /// The endpoint answers again.
    EndpointUp,
    /// Time passed. Sent a few times a second.
    Tick,
}

/// What the agent does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the work to the engine now.
    Forward {
        /// The work.
        id: WorkId,
    },
    /// Cancel the stream inside the engine and keep what it generated. The agent still sends
    /// `Finished` when the stream has left the engine.
    Preempt {
        /// The work.
        id: WorkId,
    },
    /// Tell the sender that the work was not run.
    Refuse {
        /// The work.
        id: WorkId,
        /// Why.
        reason: RefuseReason,
    },
}

/// Decides which work enters an engine, and when.
///
/// Every `Arrive` leads to exactly one `Forward` or `Refuse`, unless `Withdrawn` comes first.
pub trait AdmissionPolicy: Debug + Send {
    /// Takes an event and appends the resulting actions to `out`, in the order to carry them out.
    fn handle(&mut self, now: Timestamp, event: AdmissionEvent, out: &mut Vec<AdmissionAction>);

    /// Returns how many more online requests would enter the engine at once.
    fn free_online(&self) -> u32;

    /// Returns how many more batch items there are places for; they may enter one after another.
    fn free_batch(&self) -> u32;

    /// Returns how many online requests wait.
    fn queued_online(&self) -> u32;

    /// Sets the balance between the classes: 0.0 puts the online tail first, 1.0 batch throughput.
    /// Policies without such a balance ignore it.
    fn set_batch_weight(&mut self, _weight: f64) {}
}
