//! Tracking of the single open store call of a state machine.

use std::time::Duration;

use crate::Backoff;
use crate::CallId;
use crate::StoreReply;
use crate::Timestamp;

/// State of a [`CallSlot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SlotState {
    Idle,
    Open(CallId),
    RetryAt(Timestamp),
}

/// Slot for at most one open store call, with the time of the next attempt after a failure.
///
/// Replies to any other call are stale and are ignored.
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

    /// Creates a slot whose first call is due immediately.
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

    /// Closes the call and returns `true` if it is the open one.
    pub(crate) fn accept(&mut self, id: CallId) -> bool {
        if self.state != SlotState::Open(id) {
            return false;
        }
        self.state = SlotState::Idle;
        true
    }

    /// Schedules the next attempt after an inconclusive reply.
    pub(crate) fn retry_after(&mut self, now: Timestamp, reply: &StoreReply) {
        let min_delay = match reply {
            StoreReply::Unavailable { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let delay = self.backoff.next_delay();
        self.state = SlotState::RetryAt(now + delay.saturating_add(min_delay));
    }

    /// Returns `true` if a scheduled attempt is due.
    pub(crate) fn is_retry_due(&self, now: Timestamp) -> bool {
        matches!(self.state, SlotState::RetryAt(at) if at <= now)
    }

    /// Discards the open call and resets the backoff.
    pub(crate) const fn reset(&mut self) {
        self.state = SlotState::Idle;
        self.backoff.reset();
    }
}
