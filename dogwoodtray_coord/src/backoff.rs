//! Exponential backoff between attempts.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Exponential backoff with full jitter and a cap.
///
/// A delay is drawn uniformly between zero and a ceiling that doubles with each attempt. It depends
/// only on the seed and the number of the attempt, so processes with different seeds spread out and
/// a replay of the same events produces the same delays.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dogwoodtray_coord::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 7);
/// assert!(backoff.next_delay() <= Duration::from_millis(50));
/// assert!(backoff.next_delay() <= Duration::from_millis(100));
/// backoff.reset();
/// assert!(backoff.next_delay() <= Duration::from_millis(50));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    seed: u64,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose first ceiling is `base` and whose ceiling never exceeds `cap`.
    #[must_use]
    pub const fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self { base, cap, seed, attempts: 0 }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling();
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(u64::from(self.attempts)));
        self.attempts = self.attempts.saturating_add(1);
        let ceiling_us = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=ceiling_us))
    }

    /// Returns the maximum of the next delay.
    #[must_use]
    pub fn ceiling(&self) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.cap)
    }

    /// Resets the ceiling to its initial value after a success.
    pub const fn reset(&mut self) {
        self.attempts = 0;
    }
}
