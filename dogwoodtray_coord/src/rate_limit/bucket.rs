//! Token bucket.

use std::time::Duration;

/// Tokens that refill at a constant rate up to a maximum.
///
/// The owner tells the time that has passed, because the time that counts differs between owners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    rate_per_s: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Creates a bucket with a number of tokens.
    #[must_use]
    pub const fn new(rate_per_s: f64, capacity: f64, level: f64) -> Self {
        Self { level: level.min(capacity), rate_per_s, capacity }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the number of tokens at which the bucket is full.
    #[must_use]
    pub const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns `true` if the bucket holds no fewer tokens than it can.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.level >= self.capacity
    }

    /// Changes the rate and the capacity. Tokens beyond the new capacity are lost.
    pub const fn set_limit(&mut self, rate_per_s: f64, capacity: f64) {
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds the tokens of a period.
    pub fn refill(&mut self, elapsed: Duration) {
        let refill = elapsed.as_secs_f64() * self.rate_per_s;
        self.level = (self.level + refill).min(self.capacity);
    }

    /// Takes a token. Returns `false` if there is none.
    pub const fn try_take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Adds a token that was taken.
    pub const fn put_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity);
    }

    /// Returns the time until the bucket has received this number of tokens, counted from those that
    /// it holds, or `None` if it does not refill.
    #[must_use]
    pub fn time_to(&self, level: f64) -> Option<Duration> {
        let missing = level - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).ok()
    }
}
