//! Seeded schedules of failures, judged by the oracle.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use crate::jobs_support::chaos;
use crate::jobs_support::chaos::Mix;
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

/// Guards against lost, doubled and late outcomes when failures combine.
#[test]
fn survives_combined_failures() {
    let mut totals = Totals::default();
    for seed in seeds() {
        let faults = chaos::run(seed, Mix::all(), &mut totals);
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
    println!("{totals:?}");
}
