//! Input, output and state of a claim.

use std::sync::Arc;

use crate::CallId;
use crate::Epoch;
use crate::ObjectKey;
use crate::StoreOp;
use crate::StoreReply;
use crate::Version;

use super::Holder;

/// Where a claim stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimState {
    /// Reading the object, watching its holder or writing the claim.
    Claiming,
    /// The claim is written.
    Held {
        /// Fencing token of the claim.
        epoch: Epoch,
        /// Version of the object after the last write under the claim.
        version: Version,
    },
    /// The claim was lost, or could not be made.
    Lost,
}

/// Why a claim is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Another writer changed the object.
    Fenced,
    /// The codec cannot put a claim into the object.
    NotClaimable,
    /// The object has no room for the claim.
    TooLarge,
}

/// Input of a [`Claim`](crate::Claim).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// Time has passed.
    Tick,
    /// Reply to a [`ClaimAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// What the store replied.
        reply: StoreReply,
    },
    /// Reply to a [`ClaimAction::Probe`].
    ProbeReply {
        /// Epoch that the probe asked about.
        epoch: Epoch,
        /// Whether the probed process holds the claim.
        holds: bool,
    },
    /// The owner of the claim wrote the object.
    Advanced {
        /// Version after the write.
        version: Version,
    },
    /// A write of the owner was fenced.
    Fenced,
    /// Try to claim again after a loss.
    Restart,
}

/// Output of a [`Claim`](crate::Claim).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Run a store call and hand back its reply.
    Call {
        /// Id for the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// Ask the holder whether it still holds the claim.
    Probe {
        /// Process to ask.
        holder: Holder,
        /// Claimed object.
        object: ObjectKey,
        /// Epoch of the claim.
        epoch: Epoch,
    },
    /// The claim is held.
    Claimed {
        /// Fencing token of the claim.
        epoch: Epoch,
        /// Version of the object.
        version: Version,
        /// Value of the object at that version.
        value: Arc<[u8]>,
    },
    /// The claim is lost.
    Lost {
        /// Why.
        reason: LossReason,
    },
}
