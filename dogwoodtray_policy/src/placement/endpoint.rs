//! State that the dispatcher keeps for one endpoint.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::DispatcherConfig;
use super::PlaceOutcome;
use super::speed::EndpointSpeed;

/// Maximum number of doublings of the failure backoff; bounds the shift.
const MAX_DOUBLINGS: u32 = 6;

/// Concurrent requests at an endpoint that is on trial after failures or errors.
const TRIAL_PLACES: u32 = 1;

/// Weight of a new answer in the moving average of the share of errors of an endpoint. Two errors in
/// a row exceed one half.
const ERROR_WEIGHT: f64 = 0.3;

/// Share of errors below which an ejected endpoint is used like all others again; three answers in a
/// row after two errors.
const READMIT_ERROR_SHARE: f64 = 0.2;

/// Slots, usage and failure backoff of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) name: Name,
    pub(super) slots: u32,
    pub(super) in_use: u32,
    consecutive_failures: u32,
    backoff_until: Timestamp,
    /// Moving average of the share of errors among the answers.
    error_share: f64,
    pub(super) speed: EndpointSpeed,
    /// Number of runs whose end is predicted, and the sum of these ends in seconds.
    pub(super) predicted_runs: u32,
    pub(super) predicted_ends: f64,
}

impl Endpoint {
    pub(super) fn new(name: Name, slots: u32) -> Self {
        Self {
            name,
            slots,
            in_use: 0,
            consecutive_failures: 0,
            backoff_until: Timestamp::ZERO,
            error_share: 0.0,
            speed: EndpointSpeed::default(),
            predicted_runs: 0,
            predicted_ends: 0.0,
        }
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

    /// Returns `true` if the endpoint is not on trial after failures or errors.
    pub(super) fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Returns `true` if the endpoint failed and may be tried with a request now.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        !self.is_healthy() && self.in_use == 0 && self.free_places(now) > 0
    }

    /// Returns the share of errors among the recent answers.
    pub(super) const fn error_share(&self) -> f64 {
        self.error_share
    }

    fn record_error(&mut self) {
        self.error_share += ERROR_WEIGHT * (1.0 - self.error_share);
    }

    /// Stops requests to the endpoint after errors, for longer after each trial that fails.
    pub(super) fn eject(&mut self, now: Timestamp, cfg: &DispatcherConfig) {
        self.back_off(now, cfg.failure_backoff, cfg.max_ejection);
    }

    fn back_off(&mut self, now: Timestamp, first: Duration, max: Duration) {
        // Requests that ran during a failure all report it; count it once.
        if now >= self.backoff_until {
            let backoff = first * (1 << self.consecutive_failures.min(MAX_DOUBLINGS));
            self.backoff_until = now + backoff.min(max);
            self.consecutive_failures += 1;
        }
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
                self.error_share *= 1.0 - ERROR_WEIGHT;
                if self.consecutive_failures > 0 {
                    self.backoff_until = Timestamp::ZERO;
                    // After errors, one answer is no proof: the endpoint may fail in part.
                    if self.error_share < READMIT_ERROR_SHARE {
                        self.consecutive_failures = 0;
                    }
                }
            }
            PlaceOutcome::Withdrawn => {}
            PlaceOutcome::Errored => self.record_error(),
            PlaceOutcome::Full => self.back_off_until(now + cfg.full_backoff),
            PlaceOutcome::Failed => {
                self.speed.doubt();
                self.back_off(now, cfg.failure_backoff, cfg.max_failure_backoff);
            }
        }
    }
}
