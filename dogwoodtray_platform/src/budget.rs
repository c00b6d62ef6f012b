//! Budget of calls to the platform.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Rates that one process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Reads per second, watches included.
    pub reads_per_second: f64,
    /// Writes per second.
    pub writes_per_second: f64,
    /// Seconds of unused budget that may be saved up.
    pub burst_seconds: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self { reads_per_second: 100.0, writes_per_second: 50.0, burst_seconds: 2.0 }
    }
}

/// Limits the calls of one process to its share of the platform's rates.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_platform::{BudgetConfig, CallBudget};
///
/// let cfg = BudgetConfig { reads_per_second: 1.0, writes_per_second: 1.0, burst_seconds: 1.0 };
/// let mut budget = CallBudget::new(cfg);
/// assert!(budget.reserve(Timestamp::ZERO, true).is_zero());
/// assert!(!budget.reserve(Timestamp::ZERO, true).is_zero());
/// ```
#[derive(Clone, Debug)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
}

impl CallBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            reads: Bucket::new(cfg.reads_per_second, cfg.burst_seconds),
            writes: Bucket::new(cfg.writes_per_second, cfg.burst_seconds),
        }
    }

    /// Reserves one call and returns how long the caller has to wait before it sends it.
    pub fn reserve(&mut self, now: Timestamp, write: bool) -> Duration {
        let bucket = if write { &mut self.writes } else { &mut self.reads };
        bucket.reserve(now)
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Timestamp,
}

impl Bucket {
    fn new(rate: f64, burst_seconds: f64) -> Self {
        debug_assert!(rate > 0.0, "a rate of zero would wait forever");
        let burst = (rate * burst_seconds).max(1.0);
        Self { rate, burst, tokens: burst, at: Timestamp::ZERO }
    }

    fn reserve(&mut self, now: Timestamp) -> Duration {
        let gained = (now - self.at).as_secs_f64() * self.rate;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + gained).min(self.burst) - 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_micros((-self.tokens / self.rate * MICROS_PER_SECOND) as u64)
    }
}
