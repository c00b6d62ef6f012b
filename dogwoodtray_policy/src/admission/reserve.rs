//! Places that batch leaves free for online requests.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::AdmissionConfig;

/// Window in which arrivals count as one burst.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Half-life of the size of the largest recent burst.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Share of the largest recent burst that is reserved at a batch weight of 0.0.
const MAX_SHARE: f64 = 0.75;
/// Share of the largest recent burst that is reserved at a batch weight of 1.0. It is not zero,
/// because a repeated prefill of preempted streams costs more throughput than a small reserve.
const MIN_SHARE: f64 = 0.25;

/// Number of places to reserve, derived from recent bursts.
#[derive(Clone, Debug)]
pub(super) struct OnlineReserve {
    min: f64,
    max: f64,
    share: f64,
    window_start: Timestamp,
    arrivals: u32,
    peak_burst: f64,
}

impl OnlineReserve {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            min: f64::from(cfg.online_reserve_min),
            max: f64::from(cfg.online_reserve_max.max(cfg.online_reserve_min)),
            share: MAX_SHARE + (MIN_SHARE - MAX_SHARE) * cfg.batch_weight.clamp(0.0, 1.0),
            window_start: Timestamp::ZERO,
            arrivals: 0,
            peak_burst: 0.0,
        }
    }

    /// Records the arrival of an online request.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.decay(now);
        self.arrivals += 1;
        self.peak_burst = self.peak_burst.max(f64::from(self.arrivals));
    }

    /// Decays the burst size and starts a new window if the current one has ended.
    pub(super) fn decay(&mut self, now: Timestamp) {
        let elapsed = now - self.window_start;
        if elapsed < BURST_WINDOW {
            return;
        }
        self.peak_burst *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.window_start = now;
        self.arrivals = 0;
    }

    /// Returns the number of places to leave free.
    pub(super) fn places(&self) -> u32 {
        (self.peak_burst * self.share).clamp(self.min, self.max).round() as u32
    }
}
