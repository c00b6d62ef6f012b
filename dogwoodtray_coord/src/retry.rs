//! Retry budget.

use crate::Timestamp;

/// Micro-tokens in one token, which pays for one retry.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Micro-tokens that one success adds for each permille of the ratio.
const MICRO_TOKENS_PER_PERMILLE: u64 = MICRO_TOKENS_PER_TOKEN / 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudgetConfig {
    /// Number of retries that one success pays for, in permille.
    pub ratio_permille: u32,
    /// Number of retries allowed each second without any success.
    pub min_per_sec: u32,
    /// Maximum number of retries that the budget accumulates.
    pub max_saved: u32,
}

/// Token bucket that limits retries; successes and time refill it.
///
/// Without a budget, retries multiply the load when the endpoints are already overloaded.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{RetryBudget, RetryBudgetConfig, Timestamp};
///
/// let config = RetryBudgetConfig { ratio_permille: 500, min_per_sec: 0, max_saved: 10 };
/// let mut budget = RetryBudget::new(Timestamp::ZERO, config);
/// budget.record_success(Timestamp::ZERO);
/// assert!(!budget.try_retry(Timestamp::ZERO));
/// budget.record_success(Timestamp::ZERO);
/// assert!(budget.try_retry(Timestamp::ZERO));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    balance: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub const fn new(now: Timestamp, config: RetryBudgetConfig) -> Self {
        Self { config, balance: 0, refilled_at: now }
    }

    /// Records a success.
    pub fn record_success(&mut self, now: Timestamp) {
        self.refill(now);
        self.add_tokens(u64::from(self.config.ratio_permille) * MICRO_TOKENS_PER_PERMILLE);
    }

    /// Consumes one retry from the budget and returns `true`, or returns `false` if none is left.
    #[must_use]
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let Some(remaining) = self.balance.checked_sub(MICRO_TOKENS_PER_TOKEN) else {
            return false;
        };
        self.balance = remaining;
        true
    }

    /// Returns a retry to the budget that was consumed and not sent.
    pub fn give_back(&mut self) {
        self.add_tokens(MICRO_TOKENS_PER_TOKEN);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_us = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(elapsed_us.saturating_mul(u64::from(self.config.min_per_sec)));
    }

    fn add_tokens(&mut self, micro_tokens: u64) {
        let cap = u64::from(self.config.max_saved) * MICRO_TOKENS_PER_TOKEN;
        self.balance = self.balance.saturating_add(micro_tokens).min(cap);
    }
}
