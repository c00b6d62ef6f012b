//! Verifies that the oracle detects invariant violations caused by a defective store or settings.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;

use crate::jobs_support::Simulation;
use crate::jobs_support::chaos;
use crate::jobs_support::chaos::ScheduleOptions;
use crate::jobs_support::chaos::Totals;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

const SEEDS: u64 = 30;

/// Returns the violations found by the oracle over all seeds.
fn violations(options: ScheduleOptions) -> Vec<String> {
    let mut totals = Totals::default();
    (0..SEEDS).flat_map(|seed| chaos::run(seed, options, &mut totals)).collect()
}

fn assert_detected(found: &[String], text: &str) {
    let count = found.iter().filter(|violation| violation.contains(text)).count();
    println!("measured: {count} of {} violations are '{text}'", found.len());
    assert!(count > 0, "no violation contains '{text}': {found:#?}");
}

/// Guards against an oracle that misses outcomes recorded by a stale driver. The store ignores
/// expected versions, so the writes of a stale driver succeed.
#[test]
fn oracle_detects_store_that_ignores_versions() {
    let mut options = ScheduleOptions::all();
    options.faults.ignore_version = true;
    let found = violations(options);
    assert_detected(&found, "an outcome was recorded after the cancellation");
    assert_detected(&found, "counts are");
}

/// Guards against an oracle that misses a second run of a non-idempotent item. The store drops
/// intents, so a new driver runs items again that the previous one had started.
#[test]
fn oracle_detects_store_that_drops_intents() {
    let mut options = ScheduleOptions::all();
    options.faults.strip_intents = true;
    let found = violations(options);
    assert_detected(&found, "ran 2 times");
}

/// Guards against an oracle that misses items started after a cancellation. The driver receives no
/// notification and never confirms its header.
#[test]
fn oracle_detects_driver_that_never_confirms_header() {
    // Outcomes are committed rarely, so that no commit reveals the cancellation to the driver.
    let cfg = JobConfig {
        max_header_age: Duration::from_secs(3_600),
        commit_delay: Duration::from_secs(100),
        commit_items: 100_000,
        ..JobConfig::default()
    };
    let mut sim = Simulation::new(1, 1, cfg);
    sim.faults.lose_notification = 1_000;
    let job = sim.accept(0, submission("a", 9_000, true, 900));
    sim.run(Duration::from_secs(2));
    sim.start_process();
    let token = sim.request(1, |token| JobEvent::Cancel { token, job: Name::clone(&job) });
    sim.run(Duration::from_secs(20));
    let Some((at, JobReply::Cancelled { counts })) = sim.reply(token).cloned() else {
        panic!("not cancelled: {:?}", sim.reply(token));
    };
    let cancelled = Some((at, counts));
    let expected = Expected { job, items: 9_000, idempotent: true, cancelled };
    assert_detected(&oracle::check(&mut sim, 1, &expected), "after a cancel at");
}
