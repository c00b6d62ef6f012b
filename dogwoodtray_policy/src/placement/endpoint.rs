//! State that the dispatcher keeps for one endpoint.

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::DispatcherConfig;
use super::PlaceOutcome;

/// Maximum number of doublings of the failure backoff; bounds the shift.
const MAX_DOUBLINGS: u32 = 6;

/// Concurrent requests at an endpoint that has not answered since its last failure.
const TRIAL_PLACES: u32 = 1;

/// Slots, usage and failure backoff of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) name: Name,
    pub(super) slots: u32,
    pub(super) in_use: u32,
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl Endpoint {
    pub(super) fn new(name: Name, slots: u32) -> Self {
        Self { name, slots, in_use: 0, consecutive_failures: 0, backoff_until: Timestamp::ZERO }
    }

    /// Returns the number of places that can be granted now.
    pub(super) fn free_places(&self, now: Timestamp) -> u32 {
        if now < self.backoff_until {
            return 0;
        }
        let slots =
            if self.consecutive_failures > 0 { TRIAL_PLACES.min(self.slots) } else { self.slots };
        slots.saturating_sub(self.in_use)
    }

    /// Delays the next grant at the endpoint until `until` at the earliest.
    pub(super) fn back_off_until(&mut self, until: Timestamp) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Returns `true` if the endpoint has not failed since its last answer.
    pub(super) fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Records how a request released its place.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        outcome: PlaceOutcome,
        cfg: &DispatcherConfig,
    ) {
        match outcome {
            PlaceOutcome::Answered => {
                if self.consecutive_failures > 0 {
                    self.consecutive_failures = 0;
                    self.backoff_until = Timestamp::ZERO;
                }
            }
            PlaceOutcome::Withdrawn => {}
            PlaceOutcome::Full => self.back_off_until(now + cfg.full_backoff),
            PlaceOutcome::Failed => {
                // Requests that ran during a failure all report it; count it once.
                if now >= self.backoff_until {
                    let backoff =
                        cfg.failure_backoff * (1 << self.consecutive_failures.min(MAX_DOUBLINGS));
                    self.backoff_until = now + backoff.min(cfg.max_failure_backoff);
                    self.consecutive_failures += 1;
                }
            }
        }
    }
}
