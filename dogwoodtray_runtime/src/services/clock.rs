//! Monotonic clock and wall clock of a process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dogwoodtray_coord::Timestamp;

const MICROS_PER_MILLI: u64 = 1_000;

/// Monotonic clock with access to the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    first: Timestamp,
}

impl Clock {
    /// Creates a clock that starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Timestamp::ZERO)
    }

    /// Creates a clock that starts at `first`, so that events of other processes before the start of
    /// this one have a time.
    #[must_use]
    pub fn start_at(first: Timestamp) -> Self {
        Self { start: Instant::now(), first }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.first + self.start.elapsed()
    }

    /// Returns the wall time in microseconds since the Unix epoch.
    #[must_use]
    pub fn wall_us() -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the wall time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms() -> u64 {
        Self::wall_us() / MICROS_PER_MILLI
    }
}
