//! Rate limit of calls to the platform.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Settings of a [`CallBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Reads per second, including watches.
    pub reads_per_second: f64,
    /// Writes per second.
    pub writes_per_second: f64,
    /// Number of seconds for which unused calls accumulate.
    pub burst_seconds: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self { reads_per_second: 100.0, writes_per_second: 50.0, burst_seconds: 2.0 }
    }
}

/// Rate limiter that keeps the calls of one process within its share of the platform's limits.
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
    reads: TokenBucket,
    writes: TokenBucket,
}

impl CallBudget {
    /// Creates a budget that starts with its full burst.
    #[must_use]
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            reads: TokenBucket::new(cfg.reads_per_second, cfg.burst_seconds),
            writes: TokenBucket::new(cfg.writes_per_second, cfg.burst_seconds),
        }
    }

    /// Reserves one call and returns the time that the caller must wait before sending it.
    pub fn reserve(&mut self, now: Timestamp, write: bool) -> Duration {
        let bucket = if write { &mut self.writes } else { &mut self.reads };
        bucket.reserve(now)
    }
}

#[derive(Clone, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    fn new(rate: f64, burst_seconds: f64) -> Self {
        debug_assert!(rate > 0.0, "a rate of zero would delay calls forever");
        let burst = (rate * burst_seconds).max(1.0);
        Self { rate, burst, tokens: burst, refilled_at: Timestamp::ZERO }
    }

    fn reserve(&mut self, now: Timestamp) -> Duration {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + gained).min(self.burst) - 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_micros((-self.tokens / self.rate * MICROS_PER_SECOND) as u64)
    }
}
