//! Shows that the oracle catches an environment or a setting that breaks an invariant.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;

use crate::jobs_support::World;
use crate::jobs_support::chaos;
use crate::jobs_support::chaos::Mix;
use crate::jobs_support::chaos::Totals;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

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
    // Outcomes are committed rarely, so that no commit tells the driver either.
    let cfg = JobConfig {
        max_header_age: Duration::from_secs(3_600),
        commit_delay: Duration::from_secs(100),
        commit_items: 100_000,
        ..JobConfig::default()
    };
    let mut world = World::new(1, 1, cfg);
    world.faults.lose_note = 1_000;
    let job = world.accept(0, submission("a", 9_000, true, 900));
    world.run(Duration::from_secs(2));
    world.start_proc();
    let token = world.ask(1, |token| JobEvent::Cancel { token, job: Name::clone(&job) });
    world.run(Duration::from_secs(20));
    let Some((at, JobReply::Cancelled { counts })) = world.reply(token).cloned() else {
        panic!("not cancelled: {:?}", world.reply(token));
    };
    let cancelled = Some((at, counts));
    let expected = Expected { job, items: 9_000, idempotent: true, cancelled };
    assert_caught(&oracle::check(&mut world, 1, &expected), "after a cancel at");
}
