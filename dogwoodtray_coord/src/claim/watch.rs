//! Failure detection for the holder of a claim.

use std::time::Duration;

use crate::Epoch;
use crate::Timestamp;

use super::Holder;

/// Interval between probes of a holder.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a reply, on the clock of the observer, after which a holder is considered failed.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum number of unanswered probes before a holder is considered failed: those that fit into
/// [`TAKEOVER_TIMEOUT`].
///
/// A paused observer receives no replies either, so a pause of any length counts as one probe.
pub const MIN_UNANSWERED_PROBES: u32 = 6;

/// Status of the holder of a claim, as far as the observer can detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderStatus {
    /// The holder replies, or the timeout has not passed yet.
    Alive,
    /// The holder has not replied within [`TAKEOVER_TIMEOUT`].
    Unresponsive,
    /// The holder replied that it does not hold the claim.
    Disclaimed,
}

/// Failure detector that probes the holder of a claim.
///
/// The detected status may be wrong. An unneeded takeover costs work but never correctness, because
/// the conditional update of the object is the fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderWatch {
    holder: Holder,
    epoch: Epoch,
    next_probe_at: Timestamp,
    unanswered_since: Option<Timestamp>,
    unanswered_probes: u32,
    is_disclaimed: bool,
}

impl HolderWatch {
    /// Creates a watch whose first probe is due immediately.
    #[must_use]
    pub const fn new(now: Timestamp, holder: Holder, epoch: Epoch) -> Self {
        let (unanswered_since, unanswered_probes, is_disclaimed) = (None, 0, false);
        Self {
            holder,
            epoch,
            next_probe_at: now,
            unanswered_since,
            unanswered_probes,
            is_disclaimed,
        }
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

    /// Returns `true` if a probe is due now, and counts it as sent.
    pub fn try_probe(&mut self, now: Timestamp) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        self.unanswered_since.get_or_insert(now);
        self.unanswered_probes = self.unanswered_probes.saturating_add(1);
        true
    }

    /// Processes the reply to a probe. Ignores a reply about another epoch.
    pub fn on_reply(&mut self, epoch: Epoch, holds: bool) {
        if epoch != self.epoch {
            return;
        }
        self.is_disclaimed |= !holds;
        self.unanswered_since = None;
        self.unanswered_probes = 0;
    }

    /// Returns the status of the holder.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> HolderStatus {
        if self.is_disclaimed {
            return HolderStatus::Disclaimed;
        }
        let is_timed_out =
            self.unanswered_since.is_some_and(|since| now - since >= TAKEOVER_TIMEOUT);
        if is_timed_out && self.unanswered_probes >= MIN_UNANSWERED_PROBES {
            return HolderStatus::Unresponsive;
        }
        HolderStatus::Alive
    }
}
