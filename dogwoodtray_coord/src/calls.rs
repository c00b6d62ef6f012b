//! Bookkeeping for the one open store call of a module.

use std::time::Duration;

use crate::Backoff;
use crate::CallId;
use crate::StoreReply;
use crate::Timestamp;

/// Where the call of a module stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SlotState {
    Idle,
    Open(CallId),
    RetryAt(Timestamp),
}

/// Holds at most one open store call, and the time of the next try after a failure.
///
/// Replies to any other call are stale and are not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallSlot {
    next_id: u64,
    state: SlotState,
    backoff: Backoff,
}

impl CallSlot {
    /// Creates a slot without a call.
    pub(crate) const fn idle(backoff: Backoff) -> Self {
        Self { next_id: 0, state: SlotState::Idle, backoff }
    }

    /// Creates a slot whose first try is due at once.
    pub(crate) const fn due(backoff: Backoff) -> Self {
        Self { next_id: 0, state: SlotState::RetryAt(Timestamp::ZERO), backoff }
    }

    /// Opens a call and returns its id.
    pub(crate) const fn open(&mut self) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.state = SlotState::Open(id);
        id
    }

    /// Closes the call if it is the open one, and tells whether it was.
    pub(crate) fn accept(&mut self, id: CallId) -> bool {
        if self.state != SlotState::Open(id) {
            return false;
        }
        self.state = SlotState::Idle;
        true
    }

    /// Schedules the next try after a reply that decided nothing.
    pub(crate) fn retry_after(&mut self, now: Timestamp, reply: &StoreReply) {
        let at_least = match reply {
            StoreReply::Unavailable { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let delay = self.backoff.next_delay();
        self.state = SlotState::RetryAt(now + delay.saturating_add(at_least));
    }

    /// Tells whether a scheduled try is due.
    pub(crate) fn is_retry_due(&self, now: Timestamp) -> bool {
        matches!(self.state, SlotState::RetryAt(at) if at <= now)
    }

    /// Forgets the open call and starts the backoff again.
    pub(crate) const fn settle(&mut self) {
        self.state = SlotState::Idle;
        self.backoff.reset();
    }
}
