//! Judgement whether the holder of a claim is gone.

use std::time::Duration;

use crate::Epoch;
use crate::Timestamp;

use super::Holder;

/// Time between two probes of a holder.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer, on the clock of the observer, after which a holder is judged dead.
pub const TAKEOVER_SILENCE: Duration = Duration::from_secs(3);

/// Probes that must be unanswered before a holder is judged dead: those that fit into the silence.
///
/// A pause of the observer then counts as one probe, however long it lasted, because a paused
/// observer receives no answers either.
pub const MIN_UNANSWERED_PROBES: u32 = 6;

/// Judgement about the holder of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// No reason to take over.
    Present,
    /// The holder has not answered for too long.
    Silent,
    /// The holder says that it does not hold the claim.
    Denied,
}

/// Watches the holder of a claim by probing it.
///
/// The judgement may be wrong. That costs work and never correctness, because the fence is the
/// conditional update of the object.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderWatch {
    holder: Holder,
    epoch: Epoch,
    next_probe: Timestamp,
    silent_since: Option<Timestamp>,
    unanswered: u32,
    is_denied: bool,
}

impl HolderWatch {
    /// Starts to watch. The first probe is due at once.
    #[must_use]
    pub const fn new(now: Timestamp, holder: Holder, epoch: Epoch) -> Self {
        let (silent_since, unanswered, is_denied) = (None, 0, false);
        Self { holder, epoch, next_probe: now, silent_since, unanswered, is_denied }
    }

    /// Returns the watched holder.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the epoch of the watched claim.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Counts a probe and tells whether it is due now.
    pub fn try_probe(&mut self, now: Timestamp) -> bool {
        if now < self.next_probe {
            return false;
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.silent_since.get_or_insert(now);
        self.unanswered = self.unanswered.saturating_add(1);
        true
    }

    /// Takes the reply to a probe.
    pub fn on_reply(&mut self, epoch: Epoch, holds: bool) {
        if epoch != self.epoch {
            return;
        }
        self.is_denied |= !holds;
        self.silent_since = None;
        self.unanswered = 0;
    }

    /// Returns the judgement.
    #[must_use]
    pub fn presence(&self, now: Timestamp) -> Presence {
        if self.is_denied {
            return Presence::Denied;
        }
        let is_silent = self.silent_since.is_some_and(|since| now - since >= TAKEOVER_SILENCE);
        if is_silent && self.unanswered >= MIN_UNANSWERED_PROBES {
            return Presence::Silent;
        }
        Presence::Present
    }
}
