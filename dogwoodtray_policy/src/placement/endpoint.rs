//! One endpoint as the dispatcher sees it.

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::DispatcherConfig;
use super::PlaceEnd;

/// Doublings of the suspect time, which bounds the shift.
const MAX_DOUBLINGS: u32 = 6;

/// Requests at an endpoint that is tried again after failures.
const TRIAL_PLACES: u32 = 1;

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) name: Name,
    pub(super) slots: u32,
    pub(super) in_use: u32,
    failures: u32,
    avoid_until: Timestamp,
}

impl Endpoint {
    pub(super) fn new(name: Name, slots: u32) -> Self {
        Self { name, slots, in_use: 0, failures: 0, avoid_until: Timestamp::ZERO }
    }

    /// Returns the places that a request can take now.
    pub(super) fn free(&self, now: Timestamp) -> u32 {
        if now < self.avoid_until {
            return 0;
        }
        let slots = if self.failures > 0 { TRIAL_PLACES.min(self.slots) } else { self.slots };
        slots.saturating_sub(self.in_use)
    }

    /// Gives the endpoint no request until this time.
    pub(super) fn avoid(&mut self, until: Timestamp) {
        self.avoid_until = self.avoid_until.max(until);
    }

    pub(super) fn is_sound(&self) -> bool {
        self.failures == 0
    }

    pub(super) fn ended(&mut self, now: Timestamp, end: PlaceEnd, cfg: &DispatcherConfig) {
        match end {
            PlaceEnd::Answered => {
                if self.failures > 0 {
                    self.failures = 0;
                    self.avoid_until = Timestamp::ZERO;
                }
            }
            PlaceEnd::Withdrawn => {}
            PlaceEnd::Full => self.avoid(now + cfg.full_time),
            PlaceEnd::Failed => {
                // Requests that were inside when the endpoint failed report the same failure.
                if now >= self.avoid_until {
                    let doubled = cfg.suspect_time * (1 << self.failures.min(MAX_DOUBLINGS));
                    self.avoid_until = now + doubled.min(cfg.max_suspect_time);
                    self.failures += 1;
                }
            }
        }
    }
}
