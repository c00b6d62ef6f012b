//! Seeded random failure schedules, checked by the oracle.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use crate::jobs_support::chaos;
use crate::jobs_support::chaos::ScheduleOptions;
use crate::jobs_support::chaos::Totals;

const SEEDS: u64 = 100;

/// Returns the seeds to run; `JOBS_SEED` selects one and `JOBS_SEEDS` sets the count.
fn seeds() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("JOBS_SEED") {
        return seed..seed + 1;
    }
    0..number("JOBS_SEEDS").unwrap_or(SEEDS)
}

/// Guards against lost, duplicated and late outcomes when several kinds of failures are combined.
#[test]
fn survives_combined_failures() {
    let mut totals = Totals::default();
    for seed in seeds() {
        let violations = chaos::run(seed, ScheduleOptions::all(), &mut totals);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
    println!("{totals:?}");
}
