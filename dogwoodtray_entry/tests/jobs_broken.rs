//! Shows that the oracle catches an environment or a setting that breaks an invariant.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use crate::jobs_support::Faults;
use crate::jobs_support::chaos;
use crate::jobs_support::chaos::Mix;
use crate::jobs_support::chaos::Totals;

const SEEDS: u64 = 30;

/// Returns all violations of some seeds.
fn violations(mix: Mix) -> Vec<String> {
    let mut totals = Totals::default();
    (0..SEEDS).flat_map(|seed| chaos::run(seed, mix, &mut totals)).collect()
}

fn assert_caught(found: &[String], text: &str) {
    let count = found.iter().filter(|fault| fault.contains(text)).count();
    println!("measured: {count} of {} violations are '{text}'", found.len());
    assert!(count > 0, "nothing with '{text}' in {found:#?}");
}

/// Guards against an oracle that is blind to outcomes recorded by a stale driver.
#[test]
fn a_store_that_ignores_versions_is_caught() {
    let mut mix = Mix::all();
    mix.faults.ignore_version = true;
    let found = violations(mix);
    assert_caught(&found, "an outcome was recorded after the cancellation");
    assert_caught(&found, "counts are");
}

/// Guards against an oracle that is blind to a second run of a non-idempotent item.
#[test]
fn a_store_that_loses_intents_is_caught() {
    let mut mix = Mix::all();
    mix.faults.strip_intents = true;
    let found = violations(mix);
    assert_caught(&found, "ran 2 times");
}

/// Guards against an oracle that is blind to items that start after a cancellation.
#[test]
fn a_driver_that_never_confirms_its_header_is_caught() {
    let mut mix = Mix::all();
    mix.faults = Faults { lose_note: 1_000, ..Faults::default() };
    mix.outages = true;
    mix.confirm_within = Duration::from_secs(3_600);
    let found = violations(mix);
    assert_caught(&found, "after a cancel at");
}
