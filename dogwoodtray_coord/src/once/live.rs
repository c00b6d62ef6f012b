//! Keys that are being begun, run or finished.

use crate::ContentHash;
use crate::Timestamp;
use crate::calls::CallSlot;

use super::Outcome;
use super::RequestId;

/// A caller that waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    pub(super) request: RequestId,
    pub(super) content: ContentHash,
    /// When it is refused if its key has not begun to run.
    pub(super) deadline: Timestamp,
}

/// Search for a key in the sealed segments.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lookup {
    /// Segments that are still to be read; the last one is next.
    pub(super) segments: Vec<u32>,
    pub(super) slot: CallSlot,
}

/// Where a key stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LivePhase {
    /// The sealed segments are searched for an earlier run.
    Looking(Lookup),
    /// The intent is not stored yet.
    Intending,
    /// The intent is stored, and the request was handed out to be run.
    Running,
    /// The run ended, and its outcome is not stored yet.
    Finishing { outcome: Outcome, is_answered: bool },
    /// The request did not run, and the removal of its intent is not stored yet. Those that wait
    /// have sent the request again.
    Removing,
}

impl LivePhase {
    /// Tells whether a request with this key has certainly not run yet.
    pub(super) const fn is_before_run(&self) -> bool {
        matches!(self, Self::Looking(_) | Self::Intending | Self::Removing)
    }
}

/// A key that is being begun, run or finished.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Live {
    pub(super) content: ContentHash,
    pub(super) waiters: Vec<Waiter>,
    pub(super) phase: LivePhase,
}
