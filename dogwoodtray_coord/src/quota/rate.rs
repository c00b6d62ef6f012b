//! Estimate of when refused work has room.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Shortest interval over which the rate is measured.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Time constant of the moving average of the rate.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Minimum delay before refused work may be requested again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Maximum delay before refused work may be requested again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rate at which work releases units, and the refused work that is expected to return.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReleaseRate {
    observed_at: Timestamp,
    held: u64,
    units_per_sec: u64,
    /// Time at which refused work was asked to return, and its units.
    returning: VecDeque<(Timestamp, u64)>,
}

impl ReleaseRate {
    /// Records the units that are held now.
    pub(super) fn observe(&mut self, now: Timestamp, held: u64) {
        let elapsed = now - self.observed_at;
        if elapsed < MIN_INTERVAL {
            return;
        }
        let released = self.held.saturating_sub(held) as f64 / elapsed.as_secs_f64();
        let weight = (elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).min(1.0);
        let rate = self.units_per_sec as f64;
        self.units_per_sec = (rate + weight * (released - rate)) as u64;
        self.observed_at = now;
        self.held = held;
    }

    /// Records that work was admitted, so that its units do not hide those that were released.
    pub(super) const fn record_admitted(&mut self, units: u64) {
        self.held = self.held.saturating_add(units);
    }

    /// Returns the time after which work fits that lacks `excess` units now. Work that was refused
    /// before and has not returned yet goes first.
    pub(super) fn retry_after(&mut self, now: Timestamp, excess: u64, units: u64) -> Duration {
        self.returning.retain(|(at, _)| *at > now);
        let ahead = self.returning.iter().map(|(_, units)| *units).fold(0, u64::saturating_add);
        let delay = if self.units_per_sec == 0 {
            MAX_RETRY_AFTER
        } else {
            let seconds = excess.saturating_add(ahead) as f64 / self.units_per_sec as f64;
            Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
        };
        let delay = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.returning.push_back((now + delay, units));
        delay
    }
}
