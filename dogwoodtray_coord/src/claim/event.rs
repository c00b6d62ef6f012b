//! Events, actions and states of a claim.

use std::sync::Arc;

use crate::CallId;
use crate::Epoch;
use crate::ObjectKey;
use crate::StoreOp;
use crate::StoreReply;
use crate::Version;

use super::Holder;

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimState {
    /// Reading the object, watching its holder or writing the claim.
    Claiming,
    /// The claim is stored.
    Held {
        /// Fencing token of the claim.
        epoch: Epoch,
        /// Version of the object after the last write under the claim.
        version: Version,
    },
    /// The claim was lost or could not be written.
    Lost,
}

/// Reason why a claim is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Another writer changed the object.
    Fenced,
    /// The codec cannot write a claim into the object.
    NotClaimable,
    /// The object with the claim exceeds the size limit of the store.
    TooLarge,
}

/// Input event of a [`Claim`](crate::Claim).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// Time has passed.
    Tick,
    /// Reply to a [`ClaimAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// Reply to a [`ClaimAction::Probe`].
    ProbeReply {
        /// Epoch in the probe.
        epoch: Epoch,
        /// Whether the probed process holds the claim.
        holds: bool,
    },
    /// The object was written under the claim.
    Written {
        /// Version after the write.
        version: Version,
    },
    /// A write under the claim was fenced.
    Fenced,
    /// Try to claim again after a loss.
    Restart,
}

/// Action requested by a [`Claim`](crate::Claim).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Run a store call and pass back its reply.
    Call {
        /// Id to pass back with the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// Probe the holder: does it still hold the claim?
    Probe {
        /// Process to probe.
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
        /// Reason for the loss.
        reason: LossReason,
    },
}
