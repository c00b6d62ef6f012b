//! Submissions: limits, resubmissions, conflicts and rejections.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::JobState;
use dogwoodtray_entry::jobs::Refusal;
use dogwoodtray_entry::jobs::Submission;

use crate::jobs_support::Faults;
use crate::jobs_support::Simulation;
use crate::jobs_support::oracle;
use crate::jobs_support::submission;

const KINDS: [&str; 4] = ["jobs", "job-items", "open-jobs", "job-outcomes"];

fn sim(seed: u64, processes: usize) -> Simulation {
    let cfg = JobConfig {
        max_items: 50,
        max_item_bytes: 1_000,
        orphan_age: Duration::from_secs(20),
        ..JobConfig::default()
    };
    Simulation::new(seed, processes, cfg)
}

fn send(sim: &mut Simulation, index: usize, submission: Submission) -> JobReply {
    let token = sim.submit(index, submission);
    sim.run_until(Duration::from_secs(40), "reply", |sim| sim.reply(token).is_some());
    sim.reply(token).unwrap().1.clone()
}

/// Runs until the index entry is stored and the header is not yet written.
fn run_to_index(sim: &mut Simulation) {
    for _ in 0..1_000 {
        if !sim.names("open-jobs").is_empty() {
            return;
        }
        sim.run(Duration::from_micros(100));
    }
    panic!("no index entry");
}

/// Guards against a rejected submission that leaves objects in the store.
#[test]
fn rejected_submission_stores_nothing() {
    let mut sim = sim(1, 1);
    let name = Name::from;
    let mut duplicate = submission("a", 3, true, 600);
    duplicate.items[2].0 = name("id-0");
    let mut large = submission("a", 3, true, 600);
    large.items[1].1 = Bytes::from(vec![b'x'; 2_000]);
    let mut overdue = submission("a", 3, true, 600);
    overdue.due_unix_ms = Some(1);
    let cases = [
        (submission("a", 0, true, 600), Refusal::Empty),
        (submission("a", 51, true, 600), Refusal::TooManyItems { limit: 50 }),
        (duplicate, Refusal::DuplicateId { custom_id: name("id-0") }),
        (large, Refusal::ItemTooLarge { custom_id: name("id-1"), limit: 1_000 }),
        (overdue, Refusal::Overdue),
    ];
    for (submission, refusal) in cases {
        assert_eq!(send(&mut sim, 0, submission), JobReply::NotRun(refusal));
    }
    for kind in KINDS {
        assert!(sim.names(kind).is_empty(), "{kind} is not empty");
    }
}

/// Guards against two jobs created by one submission that is sent to two entries at the same time,
/// and against a key being reused for different content.
#[test]
fn resubmission_returns_first_job() {
    for seed in 0..50 {
        let mut sim = sim(seed, 2);
        let first = sim.submit(0, submission("a", 20, false, 600));
        let second = sim.submit(1, submission("a", 20, false, 600));
        let other = sim.submit(1, submission("a", 21, false, 600));
        sim.run(Duration::from_secs(2));
        let replies = [first, second, other].map(|token| sim.reply(token).unwrap().1.clone());
        let [job] = &sim.names("jobs")[..] else {
            panic!("expected exactly one job: {replies:?}");
        };
        let items = sim.header(job).unwrap().counts.items;
        for (reply, count) in replies.into_iter().zip([20, 20, 21]) {
            if count == items {
                assert!(matches!(reply, JobReply::Accepted { .. }), "seed {seed}: {reply:?}");
            } else {
                assert_eq!(reply, JobReply::Conflict { job: Name::clone(job) });
            }
        }
        let job = Name::clone(job);
        oracle::assert_clean(&mut sim, 0, &job, items, false);
    }
}

/// Guards against a submission that runs although it was reported to its caller as not run.
#[test]
fn submission_rejected_during_outage_never_runs() {
    let mut sim = sim(1, 2);
    let token = sim.submit(0, submission("a", 20, false, 600));
    run_to_index(&mut sim);
    sim.set_down(true);
    sim.run(Duration::from_secs(40));
    assert_eq!(sim.reply(token).unwrap().1, JobReply::NotRun(Refusal::StoreUnavailable));
    sim.set_down(false);
    sim.run(Duration::from_secs(120));
    assert!(sim.agents.runs.is_empty(), "a rejected submission ran");
    for kind in ["job-items", "open-jobs"] {
        assert!(sim.names(kind).is_empty(), "{kind} of the rejected submission was not removed");
    }
    let job = sim.accept(1, submission("a", 20, false, 600));
    oracle::assert_clean(&mut sim, 0, &job, 20, false);
}

/// Guards against reporting `not_run` when the header write may have succeeded.
#[test]
fn ambiguous_header_write_is_reported_as_unknown() {
    for stored in [true, false] {
        let mut sim = sim(1, 2);
        let token = sim.submit(0, submission("a", 20, false, 600));
        run_to_index(&mut sim);
        let lose = if stored { (1_000, 0) } else { (0, 1_000) };
        sim.faults = Faults { lose_reply: lose.0, lose_request: lose.1, ..Faults::default() };
        let puts =
            |sim: &Simulation| sim.calls.get(&("jobs".to_owned(), "put")).copied().unwrap_or(0);
        while puts(&sim) == 0 {
            sim.run(Duration::from_micros(100));
        }
        sim.faults = Faults::default();
        sim.set_down(true);
        sim.run(Duration::from_secs(40));
        let JobReply::Unknown { job } = sim.reply(token).unwrap().1.clone() else {
            panic!("not unknown: {:?}", sim.reply(token));
        };
        sim.set_down(false);
        assert_eq!(sim.header(&job).is_some(), stored);
        let resent = sim.accept(1, submission("a", 20, false, 600));
        assert_eq!(resent, job);
        oracle::assert_clean(&mut sim, 0, &job, 20, false);
    }
}

/// Guards against accepting a submission after it was removed as an orphan, because a job without
/// an index entry is never driven. This can occur if the entry is paused before the header write.
#[test]
fn paused_submission_removed_as_orphan_is_rejected() {
    // A longer timeout lets the resumed entry continue with its header write.
    let cfg = JobConfig {
        intake_timeout: Duration::from_secs(300),
        orphan_age: Duration::from_secs(20),
        ..JobConfig::default()
    };
    let mut sim = Simulation::new(1, 2, cfg);
    let token = sim.submit(0, submission("a", 20, false, 600));
    run_to_index(&mut sim);
    sim.pause(0, true);
    sim.run(Duration::from_secs(120));
    let orphan = Name::clone(&sim.names("jobs")[0]);
    assert_eq!(sim.header(&orphan).unwrap().state, JobState::Abandoned);
    sim.pause(0, false);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.reply(token).unwrap().1, JobReply::NotRun(Refusal::Abandoned));
    let job = sim.accept(1, submission("a", 20, false, 600));
    assert_eq!(job, orphan);
    oracle::assert_clean(&mut sim, 0, &job, 20, false);
}
