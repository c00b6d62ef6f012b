//! Active keys: those whose request is starting, running or finishing.

use crate::ContentHash;
use crate::Timestamp;
use crate::calls::CallSlot;

use super::Outcome;
use super::RequestId;

/// Request that waits for the result of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    pub(super) request: RequestId,
    pub(super) content: ContentHash,
    /// Time at which the request is refused if its key is not running by then.
    pub(super) deadline: Timestamp,
}

/// Lookup of a key in the sealed segments.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lookup {
    /// Segments to read; the last one is next.
    pub(super) segments: Vec<u32>,
    pub(super) slot: CallSlot,
}

/// Phase of an active key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum KeyPhase {
    /// Searching the sealed segments for an earlier run.
    LookingUp(Lookup),
    /// The intent is not stored yet.
    WritingIntent,
    /// The intent is stored, and the request was passed on to be run.
    Running,
    /// The run ended, and its outcome is not stored yet.
    WritingOutcome { outcome: Outcome, is_answered: bool },
    /// The request did not run, and the removal of its intent is not stored yet. The waiters are
    /// resends that arrived in the meantime.
    RemovingIntent,
}

impl KeyPhase {
    /// Returns `true` if a request with this key is known not to have run yet.
    pub(super) const fn is_before_run(&self) -> bool {
        matches!(self, Self::LookingUp(_) | Self::WritingIntent | Self::RemovingIntent)
    }
}

/// Key whose request is starting, running or finishing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ActiveKey {
    pub(super) content: ContentHash,
    pub(super) waiters: Vec<Waiter>,
    pub(super) phase: KeyPhase,
}
