//! Events, actions and the view of existing work of a shared quota.

use std::time::Duration;

use crate::CallId;
use crate::Name;
use crate::StoreOp;
use crate::StoreReply;

/// What a process knows about a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkStatus {
    /// The process does not know of the work. It may exist nevertheless.
    Unknown,
    /// The work exists and holds units.
    Open {
        /// Units that the work holds at most.
        units: u64,
    },
    /// The work exists, or existed, and holds no units.
    Ended,
}

/// Work that a process knows of. The view may lag behind the store.
pub trait WorkView {
    /// Returns what is known about a piece of work.
    fn status(&self, work: &Name) -> WorkStatus;

    /// Calls `f` with the name and the units of all open work.
    fn for_each_open(&self, f: &mut dyn FnMut(&Name, u64));
}

/// Request to admit work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaRequest {
    /// Id under which the decision is returned.
    pub id: u64,
    /// Name of the work, the same for all requests of the same work.
    pub work: Name,
    /// Units that the work holds until it ends.
    pub units: u64,
    /// Maximum number of units that all work may hold; 0 for no limit.
    pub limit: u64,
}

/// Reason and advice of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuotaRefusal {
    /// Time after which room for the work is expected.
    pub retry_after: Duration,
    /// Units held by other work.
    pub held: u64,
    /// Time since the stored record was last read or written.
    pub age: Duration,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaDecision {
    /// The work may be created. Its units are reserved.
    Admitted,
    /// The work does not fit.
    Refused(QuotaRefusal),
    /// The store is unavailable to this process; another process may decide.
    Unavailable,
}

/// Input event of a [`SharedQuota`](crate::SharedQuota).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum QuotaEvent {
    /// Decide whether work is admitted.
    Request(QuotaRequest),
    /// Reply to a [`QuotaAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// Reply to a [`QuotaAction::Verify`]: the work does not exist and will not be created.
    Missing {
        /// Name of the work.
        work: Name,
    },
    /// Time has passed.
    Tick,
}

/// Action requested by a [`SharedQuota`](crate::SharedQuota).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum QuotaAction {
    /// Run a store call and pass back its reply.
    Call {
        /// Id to pass back with the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// Return the decision about a request.
    Decide {
        /// Id of the request.
        id: u64,
        /// Decision.
        decision: QuotaDecision,
    },
    /// Find out whether work exists whose reservation is old. If so, add it to the view, otherwise
    /// pass back [`QuotaEvent::Missing`].
    Verify {
        /// Name of the work.
        work: Name,
    },
}
