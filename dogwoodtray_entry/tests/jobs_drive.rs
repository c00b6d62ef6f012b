//! Execution of jobs: failing items, stragglers, deadlines, takeover, shutdown and large jobs.
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

use crate::jobs_support::Simulation;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

const ONE_MB: usize = 1_000_000;

fn count_failed(sim: &mut Simulation, job: &Name, reason: Reason) -> usize {
    let (_, results) = oracle::results(sim, 0, job);
    let has_reason = |outcome: &ItemOutcome| matches!(outcome, ItemOutcome::Failed { reason: r, .. } if *r == reason);
    results.iter().filter(|result| has_reason(&result.outcome)).count()
}

/// Guards against an accepted job that does not run to completion.
#[test]
fn accepted_job_runs_to_completion() {
    for idempotent in [true, false] {
        let mut sim = Simulation::new(1, 2, JobConfig::default());
        let job = sim.accept(0, submission("a", 100, idempotent, 600));
        oracle::assert_clean(&mut sim, 1, &job, 100, idempotent);
        sim.run(Duration::from_secs(3));
        assert!(sim.names("open-jobs").is_empty(), "the index entry was not removed");
        let token = sim.request(1, |token| JobEvent::Status { token, job: Name::clone(&job) });
        sim.run(Duration::from_secs(1));
        let Some((_, JobReply::Status { counts, .. })) = sim.reply(token) else {
            panic!("no status");
        };
        assert_eq!((counts.items, counts.done), (100, 100));
    }
}

/// Guards against items that always fail being attempted more than three times or delaying the
/// other items of the job.
#[test]
fn failing_items_stop_after_three_attempts_without_delaying_others() {
    let mut sim = Simulation::new(1, 2, JobConfig::default());
    sim.agents.failing = "failing";
    let mut job = submission("a", 200, true, 600);
    for item in 0..5 {
        job.items[item].1 = Bytes::from(format!("failing {item}"));
    }
    let job = sim.accept(0, job);
    oracle::assert_clean(&mut sim, 0, &job, 200, true);
    assert_eq!(count_failed(&mut sim, &job, Reason::AttemptsExhausted), 5);
    let is_failing = |item: u32| item < 5;
    let runs = &sim.agents.runs;
    assert_eq!(runs.iter().filter(|run| is_failing(run.item)).count(), 15);
    let last_good = runs.iter().filter(|run| !is_failing(run.item)).map(|run| run.at).max();
    let last_failing = runs.iter().filter(|run| is_failing(run.item)).map(|run| run.at).max();
    assert!(last_good < last_failing, "retries were dispatched before new items");
}

/// Guards against an item that is given up because endpoints crashed while they ran it, and against
/// its attempts delaying the other items of the job. Only an answer is a failure of the item.
#[test]
fn items_under_which_endpoints_crashed_are_still_done() {
    let mut sim = Simulation::new(1, 2, JobConfig::default());
    sim.agents.unlucky = ("unlucky", 8);
    let mut job = submission("a", 200, true, 600);
    for item in 0..5 {
        job.items[item].1 = Bytes::from(format!("unlucky {item}"));
    }
    let start = sim.now;
    let job = sim.accept(0, job);
    oracle::assert_clean(&mut sim, 0, &job, 200, true);
    assert_eq!(sim.header(&job).unwrap().counts.done, 200);
    let is_unlucky = |item: u32| item < 5;
    let runs = &sim.agents.runs;
    assert_eq!(runs.iter().filter(|run| is_unlucky(run.item)).count(), 5 * 9);
    let last = runs.iter().map(|run| run.at).max().unwrap();
    assert!(last - start < Duration::from_secs(60), "the last attempt started after {last}");
}

/// Guards against a nearly done job missing its deadline because of a straggler.
#[test]
fn straggler_gets_one_second_attempt() {
    let mut sim = Simulation::new(1, 1, JobConfig::default());
    sim.agents.slow = Some(("\"item\":7}", Duration::from_secs(500)));
    let job = sim.accept(0, submission("a", 50, true, 100));
    let start = sim.now;
    oracle::assert_clean(&mut sim, 0, &job, 50, true);
    let took = sim.now - start;
    println!(
        "measured: finished after {took:?} with a first attempt of 500 s and a deadline of 100 s"
    );
    assert_eq!(sim.header(&job).unwrap().counts.done, 50);
    assert_eq!(sim.agents.runs.len(), 51);
}

/// Guards against items without an outcome when the deadline of their job passes or their service
/// is closed.
#[test]
fn remaining_items_fail_at_deadline_and_service_closure() {
    for reason in [Reason::Deadline, Reason::ServiceClosed] {
        for idempotent in [true, false] {
            let mut sim = Simulation::new(1, 1, JobConfig::default());
            sim.agents.run_ms = 4_000..6_000;
            let due_s = if reason == Reason::Deadline { 20 } else { 600 };
            let job = sim.accept(0, submission("a", 500, idempotent, due_s));
            sim.run(Duration::from_secs(15));
            if reason == Reason::ServiceClosed {
                let models = vec![Name::from("m")];
                sim.deliver(0, JobEvent::ClosedServices { models });
            }
            oracle::assert_clean(&mut sim, 0, &job, 500, idempotent);
            assert!(count_failed(&mut sim, &job, reason) > 300);
            let token = sim.submit(0, submission("b", 1, true, 600));
            sim.run(Duration::from_secs(1));
            let rejected = matches!(sim.reply(token), Some((_, JobReply::NotRun(_))));
            assert_eq!(rejected, reason == Reason::ServiceClosed);
        }
    }
}

/// Guards against a model that stays closed after its retirement plan was withdrawn.
#[test]
fn withdrawn_retirement_plan_reopens_model() {
    let mut sim = Simulation::new(1, 1, JobConfig::default());
    for (models, rejected) in [(vec![Name::from("m")], true), (Vec::new(), false)] {
        sim.deliver(0, JobEvent::ClosedServices { models });
        let token = sim.submit(0, submission("a", 1, true, 600));
        sim.run(Duration::from_secs(1));
        let reply = sim.reply(token);
        assert_eq!(matches!(reply, Some((_, JobReply::NotRun(_)))), rejected, "{reply:?}");
    }
}

/// Guards against all entries claiming the jobs of a lost driver at the same time, and against jobs
/// left without a driver.
#[test]
fn jobs_of_lost_driver_are_spread_over_other_entries() {
    let mut sim = Simulation::new(3, 1, JobConfig::default());
    sim.agents.run_ms = 20_000..40_000;
    let submissions = (0..40).map(|n| submission(&format!("k{n}"), 20, true, 900));
    let jobs: Vec<Name> = submissions.map(|job| sim.accept(0, job)).collect();
    for _ in 0..4 {
        sim.start_process();
    }
    sim.run(Duration::from_secs(10));
    let writes = |sim: &Simulation| sim.calls[&("jobs".to_owned(), "put")];
    let (before, died) = (writes(&sim), sim.now);
    sim.kill(0);
    let taken = |sim: &Simulation| jobs.iter().all(|job| sim.header(job).unwrap().epoch.0 == 2);
    sim.run_until(Duration::from_secs(30), "takeover", taken);
    println!("measured: 40 jobs taken over in {:?}", sim.now - died);
    println!("measured: {} header writes for 40 takeovers", writes(&sim) - before);
    assert!(writes(&sim) - before < 60, "entries raced for the claims");
    for process in &sim.processes[1..] {
        let name = &process.identity.name;
        let drives = |job: &&Name| sim.header(job).unwrap().driver.is_some_and(|d| d.name == *name);
        let count = jobs.iter().filter(drives).count();
        assert!((3..=20).contains(&count), "{name} drives {count} of 40");
    }
}

/// Guards against a graceful shutdown that loses outcomes or keeps its claims until other entries
/// detect that the process has stopped.
#[test]
fn graceful_shutdown_releases_jobs() {
    for idempotent in [true, false] {
        let mut sim = Simulation::new(1, 1, JobConfig::default());
        sim.agents.run_ms = 500..1_500;
        let job = sim.accept(0, submission("a", 300, idempotent, 600));
        sim.run(Duration::from_secs(3));
        sim.start_process();
        sim.run(Duration::from_secs(5));
        sim.drain(0);
        let start = sim.now;
        sim.run_until(Duration::from_secs(10), "drained", |sim| sim.processes[0].core.drained());
        println!("measured: drained in {:?}", sim.now - start);
        let released = sim.now;
        let taken = |sim: &Simulation| sim.header(&job).unwrap().epoch.0 == 2;
        // A takeover without a release needs at least 3 s, the default `takeover_silence`.
        sim.run_until(Duration::from_millis(2_500), "takeover", taken);
        println!("measured: taken over {:?} after the release", sim.now - released);
        sim.kill(0);
        oracle::assert_clean(&mut sim, 1, &job, 300, idempotent);
        assert_eq!(sim.header(&job).unwrap().counts.done, 300, "the shutdown lost items");
    }
}

/// Guards against items that start long after a cancellation when all notifications are lost.
#[test]
fn cancelled_job_stops_within_bound_without_notification() {
    for (lose_notification, bound) in
        [(0, Duration::from_millis(10)), (1_000, Duration::from_secs(5))]
    {
        let mut last = Duration::ZERO;
        for seed in 0..20 {
            // Outcomes are committed rarely, so that only the header confirmation stops the driver.
            let commit_delay = Duration::from_secs(100);
            let cfg = JobConfig { commit_delay, commit_items: 100_000, ..JobConfig::default() };
            let mut sim = Simulation::new(seed, 2, cfg);
            sim.faults.lose_notification = lose_notification;
            let job = sim.accept(0, submission("a", 5_000, true, 900));
            sim.run(Duration::from_millis(6_000 + seed * 137));
            let first_drives = !sim.processes[0].core.backlog().is_empty();
            let other = usize::from(first_drives);
            let token =
                sim.request(other, |token| JobEvent::Cancel { token, job: Name::clone(&job) });
            sim.run(Duration::from_secs(20));
            let Some((at, JobReply::Cancelled { counts })) = sim.reply(token).cloned() else {
                panic!("not cancelled: {:?}", sim.reply(token));
            };
            last = last.max(sim.agents.runs.iter().map(|run| run.at - at).max().unwrap());
            let cancelled = Some((at, counts));
            let expected = Expected { job, items: 5_000, idempotent: true, cancelled };
            assert_eq!(oracle::check(&mut sim, 1, &expected), Vec::<String>::new());
        }
        println!(
            "measured: {lose_notification}/1000 notifications lost, last start {last:?} after cancel"
        );
        assert!(last <= bound, "{last:?}");
    }
}

/// Guards against unlimited growth of unstored outcomes while the store is down, and against a
/// limit below the commit size slowing a job down while the store is up.
#[test]
fn store_outage_pauses_job_at_unstored_outcome_limit() {
    for bound in [100, 1_000] {
        let cfg = JobConfig { max_unstored_outcomes: bound, ..JobConfig::default() };
        let mut sim = Simulation::new(1, 1, cfg);
        let job = sim.accept(0, submission("a", 5_000, true, 900));
        sim.run(Duration::from_secs(5));
        let before = sim.agents.runs.len();
        assert!(before > 1_000, "{before} items started in 5 s");
        sim.set_down(true);
        sim.run(Duration::from_secs(60));
        let during = sim.agents.runs.len() - before;
        println!("measured: {during} items started in an outage of 60 s, bound {bound}");
        assert!(during <= bound + 32 && (bound == 100 || during > 500));
        sim.set_down(false);
        oracle::assert_clean(&mut sim, 0, &job, 5_000, true);
    }
}

/// Guards against a header or chunk that exceeds the store's size limit, and against a number of
/// writes that grows with the number of items instead of the number of commits.
#[test]
fn job_with_90_000_items_fits_store_limits() {
    let mut sim = Simulation::new(1, 2, JobConfig::default());
    sim.agents.endpoints = 64;
    sim.agents.places = 64;
    let job = sim.accept(0, submission("large", 90_000, true, 3_000));
    oracle::assert_clean(&mut sim, 0, &job, 90_000, true);
    println!("measured: largest object by kind {:?}", sim.largest);
    println!("measured: store calls {:?}", sim.calls);
    assert!(sim.largest.values().all(|size| *size < ONE_MB));
    let writes: u64 = sim.calls.iter().filter(|(key, _)| key.1 == "put").map(|(_, n)| n).sum();
    assert!(writes < 1_000, "{writes} writes");
}

/// Guards against a worst-case header that exceeds the store's size limit: all items lost in
/// takeovers, the maximum number of chunks, attempt counts and intents, and many short claims.
#[test]
fn largest_header_fits_store_limit() {
    let cfg = JobConfig::default();
    let mut sim = Simulation::new(1, 1, cfg.clone());
    let job = sim.accept(0, submission("a", 1, true, 600));
    let mut header = sim.header(&job).unwrap();
    header.counts.items = cfg.max_items;
    header.ended = Bitmap::new(cfg.max_items);
    header.lost = (0..cfg.max_items).collect();
    header.intents = (0..cfg.max_items).rev().take(cfg.max_intents).collect();
    header.tries = (0..2_000).map(|item| (cfg.max_items - item, 2)).collect();
    // Two neighboring chunks together always exceed the target size of one chunk.
    header.chunks = vec![1_000; cfg.max_job_bytes / cfg.chunk_bytes * 2 + 1];
    let run = |epoch| SegmentRun { epoch: Epoch(epoch), first: 1_000, count: 1_000 };
    header.segments = (1_000..4_000).map(run).collect();
    let size = serde_json::to_vec(&header).unwrap().len();
    println!("measured: the largest header has {size} bytes");
    assert!(size < ONE_MB);
}
