//! Events and actions of a key range.

use crate::CallId;
use crate::ContentHash;
use crate::Epoch;
use crate::Holder;
use crate::LossReason;
use crate::ObjectKey;
use crate::StoreOp;
use crate::StoreReply;

use super::Answer;
use super::KeyHash;
use super::Outcome;
use super::RequestId;

/// Input event of an [`OnceRange`](crate::OnceRange).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceEvent {
    /// Time has passed. The first tick starts the claim.
    Tick,
    /// Claim the range again after a loss.
    Restart,
    /// Reply to an [`OnceAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// Reply to an [`OnceAction::Probe`].
    ProbeReply {
        /// Epoch in the probe.
        epoch: Epoch,
        /// Whether the probed process holds the range.
        holds: bool,
    },
    /// A request arrived.
    Begin {
        /// Waiting request.
        request: RequestId,
        /// Key of the request.
        key: KeyHash,
        /// Hash of the content of the request.
        content: ContentHash,
    },
    /// The run of a key ended.
    Finish {
        /// Key of the run.
        key: KeyHash,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// The run of a key is known not to have reached an endpoint.
    NotRun {
        /// Key of the run.
        key: KeyHash,
    },
}

/// Reason why a request was refused. The request has not run, and this call will not cause a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnceRefusal {
    /// This process does not own the range.
    NotOwner,
    /// Too many keys are active.
    Busy,
    /// The range has reached its size limit.
    Full,
    /// The store did not reply in time.
    Unavailable,
    /// The run did not reach an endpoint.
    NotRun,
    /// A sealed segment cannot be decoded, so it is unknown whether the key has run.
    Unreadable,
}

/// Action requested by an [`OnceRange`](crate::OnceRange).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceAction {
    /// Run a store call and pass back its reply.
    Call {
        /// Id to pass back with the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// Probe the holder: does it still hold the range?
    Probe {
        /// Process to probe.
        holder: Holder,
        /// Object of the range.
        object: ObjectKey,
        /// Epoch of the claim of the holder.
        epoch: Epoch,
    },
    /// This process owns the range.
    Acquired {
        /// Fencing token of the claim.
        epoch: Epoch,
    },
    /// This process no longer owns the range. Each waiting request has received its result.
    Lost {
        /// Reason for the loss.
        reason: LossReason,
    },
    /// The intent is stored: run the request once.
    Run {
        /// Waiting request.
        request: RequestId,
        /// Key for reporting the end of the run.
        key: KeyHash,
        /// Fencing token for the run.
        epoch: Epoch,
    },
    /// Another request with this key is running; its answer will be returned to this one too.
    Attach {
        /// Waiting request.
        request: RequestId,
    },
    /// The run ended with this answer.
    Answer {
        /// Waiting request.
        request: RequestId,
        /// Answer of the run.
        answer: Answer,
        /// Whether the answer is stored. During an outage it may not be; a resend to the next owner
        /// of the range then gets [`OnceAction::Unknown`].
        is_durable: bool,
    },
    /// The key has run before and returned this answer.
    Replay {
        /// Waiting request.
        request: RequestId,
        /// Answer of the run.
        answer: Answer,
    },
    /// The key has run or may have run, and its answer is unknown. It is not run again.
    Unknown {
        /// Waiting request.
        request: RequestId,
    },
    /// The key was used before with different content. This request is not run.
    KeyReused {
        /// Waiting request.
        request: RequestId,
    },
    /// The request is not run.
    Refused {
        /// Waiting request.
        request: RequestId,
        /// Reason for the refusal.
        reason: OnceRefusal,
    },
}
