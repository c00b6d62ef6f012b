//! Places that batch leaves free for online requests.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::AdmissionConfig;

/// Arrivals within this time count as one burst.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Time after which the memory of a burst has halved.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Share of the largest recent burst that is reserved when the online tail comes first.
const MAX_SHARE: f64 = 0.75;
/// The same when batch throughput comes first. It is not zero, because preempted streams process
/// their prompts again, which costs more throughput than a small reserve.
const MIN_SHARE: f64 = 0.25;

/// Sizes the reserve from recent bursts.
#[derive(Clone, Debug)]
pub(super) struct OnlineReserve {
    min: f64,
    max: f64,
    share: f64,
    window_start: Timestamp,
    arrivals: u32,
    burst: f64,
}

impl OnlineReserve {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            min: f64::from(cfg.online_reserve_min),
            max: f64::from(cfg.online_reserve_max.max(cfg.online_reserve_min)),
            share: MAX_SHARE + (MIN_SHARE - MAX_SHARE) * cfg.batch_weight.clamp(0.0, 1.0),
            window_start: Timestamp::ZERO,
            arrivals: 0,
            burst: 0.0,
        }
    }

    pub(super) fn arrived(&mut self, now: Timestamp) {
        self.advance(now);
        self.arrivals += 1;
        self.burst = self.burst.max(f64::from(self.arrivals));
    }

    pub(super) fn advance(&mut self, now: Timestamp) {
        let passed = now - self.window_start;
        if passed < BURST_WINDOW {
            return;
        }
        self.burst *= 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.window_start = now;
        self.arrivals = 0;
    }

    /// Returns the number of places to leave free.
    pub(super) fn places(&self) -> u32 {
        (self.burst * self.share).clamp(self.min, self.max).round() as u32
    }
}
