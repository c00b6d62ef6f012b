//! When proofs are obtained.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Timestamp;

/// Maximum interval at which the driver that lists the endpoints reads the configuration.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum interval at which a process asks for a proof. With the interval of the reads it keeps the
/// age below about 1.5 s.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum interval at which a process reads the store because it receives no recent proof.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Lower limit of all intervals, so that a very small bound does not make a process busy.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Factor on the time after which a process reads the store itself, at most. It depends on the
/// process, so that the first ones that read can answer the others.
const MAX_OWN_READ_DELAY: f64 = 1.3;

/// Number of times that the interval between failed reads doubles while the last proof still holds.
const DOUBLINGS_WHILE_PROVEN: u32 = 1;

/// Number of times that the interval doubles after that. An outage of the store then costs a call
/// about every 2.8 s from each process, and relayed proofs end it sooner than that.
const DOUBLINGS_WHILE_UNPROVEN: u32 = 2;

/// Intervals and ages, all of which follow from the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgeTiming {
    /// Age up to which a proof counts.
    pub max_age: Duration,
    /// Interval between the reads of the process that reads for all.
    pub read_interval: Duration,
    /// Interval between the checks sent to peers.
    pub check_interval: Duration,
    /// Age at which a process asks several peers.
    pub late_age: Duration,
    /// Age at which a process reads the store itself.
    pub own_read_age: Duration,
    /// First interval between own reads.
    pub retry_interval: Duration,
}

impl AgeTiming {
    /// Derives the timing from the bound. `seed` differs between processes.
    #[must_use]
    pub fn new(bound: Duration, seed: u64) -> Self {
        // Clocks of two machines may run at slightly different speeds. A margin of 0.2% is far above
        // the 0.05% to which time synchronization adjusts a clock.
        let margin = bound / 500 + Duration::from_millis(1);
        let interval = |part: u32, max: Duration| (bound / part).clamp(MIN_INTERVAL, max);
        let delay = StdRng::seed_from_u64(seed).random_range(1.0..=MAX_OWN_READ_DELAY);
        Self {
            max_age: bound.saturating_sub(margin),
            read_interval: interval(5, MAX_READ_INTERVAL),
            check_interval: interval(12, MAX_CHECK_INTERVAL),
            late_age: bound * 3 / 10,
            own_read_age: (bound / 3).mul_f64(delay),
            retry_interval: interval(7, MAX_RETRY_INTERVAL),
        }
    }
}

/// How a process can obtain proofs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proofs {
    /// Whether this process reads the configuration for all others.
    pub reads_for_all: bool,
    /// Number of peers that can be asked.
    pub peers: usize,
}

/// Times of the reads of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReadPacing {
    seed: u64,
    started: u64,
    failures: u32,
    last_started_at: Option<Timestamp>,
}

impl ReadPacing {
    pub(super) const fn new(seed: u64) -> Self {
        Self { seed, started: 0, failures: 0, last_started_at: None }
    }

    pub(super) fn on_start(&mut self, now: Timestamp) {
        self.started += 1;
        self.last_started_at = Some(now);
    }

    pub(super) const fn on_end(&mut self, proved: bool) {
        self.failures = if proved { 0 } else { self.failures.saturating_add(1) };
    }

    /// Returns the time of the next read, or `None` if it is due at once.
    pub(super) fn next_at(
        &self,
        timing: &AgeTiming,
        is_proven: bool,
        reads_for_all: bool,
    ) -> Option<Timestamp> {
        let last = self.last_started_at?;
        if reads_for_all && self.failures == 0 {
            return Some(last + timing.read_interval);
        }
        let doublings = if is_proven { DOUBLINGS_WHILE_PROVEN } else { DOUBLINGS_WHILE_UNPROVEN };
        let interval = timing.retry_interval * (1 << self.failures.min(doublings));
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(self.started));
        let interval = interval.mul_f64(rng.random_range(0.75..=1.25));
        // The end of an outage is noticed by the process that reads for all.
        let max = if reads_for_all { timing.read_interval } else { Duration::MAX };
        Some(last + interval.min(max))
    }
}
