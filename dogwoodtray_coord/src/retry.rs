//! Budget for retries.

use crate::Timestamp;

/// One token, in the unit in which the budget counts.
const MICRO_TOKENS: u64 = 1_000_000;

/// Micro-tokens that one success adds for each thousandth of the ratio.
const MICRO_TOKENS_PER_PERMILLE: u64 = MICRO_TOKENS / 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudgetConfig {
    /// Retries that one success pays for, in thousandths.
    pub ratio_permille: u32,
    /// Retries allowed each second without any success.
    pub min_per_sec: u32,
    /// Most retries that the budget saves up.
    pub max_saved: u32,
}

/// Token bucket that successes fill and retries empty.
///
/// Without a budget, retries multiply the load exactly when the endpoints are overloaded.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{RetryBudget, RetryBudgetConfig, Timestamp};
///
/// let config = RetryBudgetConfig { ratio_permille: 500, min_per_sec: 0, max_saved: 10 };
/// let mut budget = RetryBudget::new(Timestamp::ZERO, config);
/// budget.succeeded(Timestamp::ZERO);
/// assert!(!budget.try_retry(Timestamp::ZERO));
/// budget.succeeded(Timestamp::ZERO);
/// assert!(budget.try_retry(Timestamp::ZERO));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    saved: u64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub const fn new(now: Timestamp, config: RetryBudgetConfig) -> Self {
        Self { config, saved: 0, filled_at: now }
    }

    /// Counts a success.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.fill(now);
        self.add(u64::from(self.config.ratio_permille) * MICRO_TOKENS_PER_PERMILLE);
    }

    /// Takes one retry out of the budget, and tells whether there was one.
    #[must_use]
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        let Some(rest) = self.saved.checked_sub(MICRO_TOKENS) else {
            return false;
        };
        self.saved = rest;
        true
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed_us = now.as_micros().saturating_sub(self.filled_at.as_micros());
        self.filled_at = self.filled_at.max(now);
        self.add(elapsed_us.saturating_mul(u64::from(self.config.min_per_sec)));
    }

    fn add(&mut self, micro_tokens: u64) {
        let cap = u64::from(self.config.max_saved) * MICRO_TOKENS;
        self.saved = self.saved.saturating_add(micro_tokens).min(cap);
    }
}
