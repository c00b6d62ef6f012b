//! Driving: impossible items, stragglers, deadlines, takeover, planned stops and large jobs.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::Bitmap;
use dogwoodtray_entry::jobs::ItemOutcome;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::Reason;
use dogwoodtray_entry::jobs::SegmentRun;

use crate::jobs_support::World;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

const ONE_MB: usize = 1_000_000;

fn count_failed(world: &mut World, job: &Name, reason: Reason) -> usize {
    let (_, results) = oracle::results(world, 0, job);
    let is_it = |outcome: &ItemOutcome| matches!(outcome, ItemOutcome::Failed { reason: r, .. } if *r == reason);
    results.iter().filter(|result| is_it(&result.outcome)).count()
}

/// Guards against a job that is acknowledged but not run to its end.
#[test]
fn runs_a_job_to_its_end() {
    for idempotent in [true, false] {
        let mut world = World::new(1, 2, JobConfig::default());
        let job = world.accept(0, submission("a", 100, idempotent, 600));
        oracle::assert_clean(&mut world, 1, &job, 100, idempotent);
        world.run(Duration::from_secs(3));
        assert!(world.names("open-jobs").is_empty(), "the index entry is left");
        let token = world.ask(1, |token| JobEvent::Status { token, job: Name::clone(&job) });
        world.run(Duration::from_secs(1));
        let Some((_, JobReply::Status { counts, .. })) = world.reply(token) else {
            panic!("no status");
        };
        assert_eq!((counts.items, counts.done), (100, 100));
    }
}

/// Guards against items that never succeed: more than three attempts, or a wait for the rest.
#[test]
fn impossible_items_fail_after_three_attempts_and_hold_up_nothing() {
    let mut world = World::new(1, 2, JobConfig::default());
    world.agents.poison = "poison";
    let mut job = submission("a", 200, true, 600);
    for item in 0..5 {
        job.items[item].1 = Bytes::from(format!("poison {item}"));
    }
    let job = world.accept(0, job);
    oracle::assert_clean(&mut world, 0, &job, 200, true);
    assert_eq!(count_failed(&mut world, &job, Reason::AttemptsExhausted), 5);
    let is_poison = |item: u32| item < 5;
    let runs = &world.agents.runs;
    assert_eq!(runs.iter().filter(|run| is_poison(run.item)).count(), 15);
    let last_good = runs.iter().filter(|run| !is_poison(run.item)).map(|run| run.at).max();
    let last_poison = runs.iter().filter(|run| is_poison(run.item)).map(|run| run.at).max();
    assert!(last_good < last_poison, "retries went before fresh items");
}

/// Guards against a straggler that makes a nearly done job miss its due time.
#[test]
fn a_straggler_gets_one_second_attempt() {
    let mut world = World::new(1, 1, JobConfig::default());
    world.agents.slow = Some(("\"item\":7}", Duration::from_secs(500)));
    let job = world.accept(0, submission("a", 50, true, 100));
    let start = world.now;
    oracle::assert_clean(&mut world, 0, &job, 50, true);
    let took = world.now - start;
    println!("measured: finished after {took:?} with a first attempt of 500 s and 100 s to go");
    assert_eq!(world.header(&job).unwrap().counts.done, 50);
    assert_eq!(world.agents.runs.len(), 51);
}

/// Guards against items that are left without an end when the job is due or its service closes.
#[test]
fn the_rest_fails_at_the_deadline_and_at_the_end_of_the_service() {
    for reason in [Reason::Deadline, Reason::ServiceClosed] {
        for idempotent in [true, false] {
            let mut world = World::new(1, 1, JobConfig::default());
            world.agents.run_ms = 4_000..6_000;
            let due_s = if reason == Reason::Deadline { 20 } else { 600 };
            let job = world.accept(0, submission("a", 500, idempotent, due_s));
            world.run(Duration::from_secs(15));
            if reason == Reason::ServiceClosed {
                let models = vec![Name::from("m")];
                world.deliver(0, JobEvent::ClosedServices { models });
            }
            oracle::assert_clean(&mut world, 0, &job, 500, idempotent);
            assert!(count_failed(&mut world, &job, reason) > 300);
            let token = world.submit(0, submission("b", 1, true, 600));
            world.run(Duration::from_secs(1));
            let refused = matches!(world.reply(token), Some((_, JobReply::NotRun(_))));
            assert_eq!(refused, reason == Reason::ServiceClosed);
        }
    }
}

/// Guards against a model that stays closed in a process after its plan was withdrawn.
#[test]
fn a_withdrawn_plan_opens_its_model_again() {
    let mut world = World::new(1, 1, JobConfig::default());
    for (models, refused) in [(vec![Name::from("m")], true), (Vec::new(), false)] {
        world.deliver(0, JobEvent::ClosedServices { models });
        let token = world.submit(0, submission("a", 1, true, 600));
        world.run(Duration::from_secs(1));
        let reply = world.reply(token);
        assert_eq!(matches!(reply, Some((_, JobReply::NotRun(_)))), refused, "{reply:?}");
    }
}

/// Guards against a takeover by all entries at once, and against jobs that stay without a driver.
#[test]
fn the_jobs_of_a_lost_driver_spread_over_the_others() {
    let mut world = World::new(3, 1, JobConfig::default());
    world.agents.run_ms = 20_000..40_000;
    let submissions = (0..40).map(|n| submission(&format!("k{n}"), 20, true, 900));
    let jobs: Vec<Name> = submissions.map(|job| world.accept(0, job)).collect();
    for _ in 0..4 {
        world.start_proc();
    }
    world.run(Duration::from_secs(10));
    let writes = |w: &World| w.calls[&("jobs".to_owned(), "put")];
    let (before, died) = (writes(&world), world.now);
    world.kill(0);
    let taken = |w: &World| jobs.iter().all(|job| w.header(job).unwrap().epoch.0 == 2);
    world.run_until(Duration::from_secs(30), "takeover", taken);
    println!("measured: 40 jobs taken over in {:?}", world.now - died);
    println!("measured: {} header writes for 40 takeovers", writes(&world) - before);
    assert!(writes(&world) - before < 60, "entries raced for the claims");
    for proc in &world.procs[1..] {
        let name = &proc.me.name;
        let drives =
            |job: &&Name| world.header(job).unwrap().driver.is_some_and(|d| d.name == *name);
        let count = jobs.iter().filter(drives).count();
        assert!((3..=20).contains(&count), "{name} drives {count} of 40");
    }
}

/// Guards against a planned stop that loses outcomes or leaves its jobs waiting for a takeover.
#[test]
fn a_planned_stop_releases_its_jobs() {
    for idempotent in [true, false] {
        let mut world = World::new(1, 1, JobConfig::default());
        world.agents.run_ms = 500..1_500;
        let job = world.accept(0, submission("a", 300, idempotent, 600));
        world.run(Duration::from_secs(3));
        world.start_proc();
        world.run(Duration::from_secs(5));
        world.drain(0);
        let start = world.now;
        world.run_until(Duration::from_secs(10), "drained", |w| w.procs[0].core.drained());
        println!("measured: drained in {:?}", world.now - start);
        let released = world.now;
        let taken = |w: &World| w.header(&job).unwrap().epoch.0 == 2;
        // A takeover by silence would need at least 3 s.
        world.run_until(Duration::from_millis(2_500), "takeover", taken);
        println!("measured: taken over {:?} after the release", world.now - released);
        world.kill(0);
        oracle::assert_clean(&mut world, 1, &job, 300, idempotent);
        assert_eq!(world.header(&job).unwrap().counts.done, 300, "a planned stop lost items");
    }
}

/// Guards against items that go on after a cancellation when every note is lost.
#[test]
fn a_cancelled_job_stops_within_the_bound_without_a_note() {
    for (lose_note, bound) in [(0, Duration::from_millis(10)), (1_000, Duration::from_secs(5))] {
        let mut last = Duration::ZERO;
        for seed in 0..20 {
            // Outcomes are committed rarely, so that only the confirmation stops the driver.
            let commit_delay = Duration::from_secs(100);
            let cfg = JobConfig { commit_delay, commit_items: 100_000, ..JobConfig::default() };
            let mut world = World::new(seed, 2, cfg);
            world.faults.lose_note = lose_note;
            let job = world.accept(0, submission("a", 5_000, true, 900));
            world.run(Duration::from_millis(6_000 + seed * 137));
            let first_drives = !world.procs[0].core.backlog().is_empty();
            let other = usize::from(first_drives);
            let token =
                world.ask(other, |token| JobEvent::Cancel { token, job: Name::clone(&job) });
            world.run(Duration::from_secs(20));
            let Some((at, JobReply::Cancelled { counts })) = world.reply(token).cloned() else {
                panic!("not cancelled: {:?}", world.reply(token));
            };
            last = last.max(world.agents.runs.iter().map(|run| run.at - at).max().unwrap());
            let cancelled = Some((at, counts));
            let expected = Expected { job, items: 5_000, idempotent: true, cancelled };
            assert_eq!(oracle::check(&mut world, 1, &expected), Vec::<String>::new());
        }
        println!("measured: {lose_note} of 1000 notes lost, last start {last:?} after the cancel");
        assert!(last <= bound, "{last:?}");
    }
}

/// Guards against outcomes that pile up without bound while the store is down, and against a
/// bound below the size of a commit that slows a job down while the store is up.
#[test]
fn an_outage_pauses_a_job_at_the_bound_on_held_outcomes() {
    for bound in [100, 1_000] {
        let cfg = JobConfig { max_unstored_outcomes: bound, ..JobConfig::default() };
        let mut world = World::new(1, 1, cfg);
        let job = world.accept(0, submission("a", 5_000, true, 900));
        world.run(Duration::from_secs(5));
        let before = world.agents.runs.len();
        assert!(before > 1_000, "{before} items started in 5 s");
        world.set_down(true);
        world.run(Duration::from_secs(60));
        let during = world.agents.runs.len() - before;
        println!("measured: {during} items started in an outage of 60 s, bound {bound}");
        assert!(during <= bound + 32 && (bound == 100 || during > 500));
        world.set_down(false);
        oracle::assert_clean(&mut world, 0, &job, 5_000, true);
    }
}

/// Guards against a header or chunk that outgrows the store, and against calls that grow with the
/// items instead of the groups.
#[test]
fn a_job_of_ninety_thousand_items_fits_the_store() {
    let mut world = World::new(1, 2, JobConfig::default());
    world.agents.endpoints = 64;
    world.agents.places = 64;
    let job = world.accept(0, submission("large", 90_000, true, 3_000));
    oracle::assert_clean(&mut world, 0, &job, 90_000, true);
    println!("measured: largest object by kind {:?}", world.largest);
    println!("measured: store calls {:?}", world.calls);
    assert!(world.largest.values().all(|size| *size < ONE_MB));
    let writes: u64 = world.calls.iter().filter(|(key, _)| key.1 == "put").map(|(_, n)| n).sum();
    assert!(writes < 1_000, "{writes} writes");
}

/// Guards against a header of the largest job that outgrows the store in the worst case: every
/// item lost in takeovers, the most chunks, attempt counts and intents, and many short claims.
#[test]
fn the_largest_header_fits_the_store() {
    let cfg = JobConfig::default();
    let mut world = World::new(1, 1, cfg.clone());
    let job = world.accept(0, submission("a", 1, true, 600));
    let mut header = world.header(&job).unwrap();
    header.counts.items = cfg.max_items;
    header.ended = Bitmap::new(cfg.max_items);
    header.lost = (0..cfg.max_items).collect();
    header.intents = (0..cfg.max_items).rev().take(cfg.max_intents).collect();
    header.tries = (0..2_000).map(|item| (cfg.max_items - item, 2)).collect();
    // Two neighbouring chunks hold more than the limit of one chunk.
    header.chunks = vec![1_000; cfg.max_job_bytes / cfg.chunk_bytes * 2 + 1];
    let run = |epoch| SegmentRun { epoch: Epoch(epoch), first: 1_000, count: 1_000 };
    header.segments = (1_000..4_000).map(run).collect();
    let size = serde_json::to_vec(&header).unwrap().len();
    println!("measured: the largest header has {size} bytes");
    assert!(size < ONE_MB);
}
