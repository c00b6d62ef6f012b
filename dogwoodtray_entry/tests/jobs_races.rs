//! Race conditions that random schedules trigger too rarely.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;

use crate::jobs_support::Faults;
use crate::jobs_support::Simulation;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

const STEP: Duration = Duration::from_micros(100);

/// Runs until another store call of this type is made for this kind of object.
fn run_to_call(sim: &mut Simulation, kind: &str, call: &'static str) {
    let count = |sim: &Simulation| sim.calls.get(&(kind.to_owned(), call)).copied().unwrap_or(0);
    let (before, limit) = (count(sim), sim.now + Duration::from_secs(30));
    while count(sim) == before {
        assert!(sim.now < limit, "no {call} of {kind}");
        sim.run(STEP);
    }
}

/// Starts a job on process 0 and then a second process.
fn sim_with_job(seed: u64) -> (Simulation, Name) {
    let mut sim = Simulation::new(seed, 1, JobConfig::default());
    let job = sim.accept(0, submission("a", 2_000, true, 900));
    sim.run(Duration::from_secs(2));
    sim.start_process();
    sim.run(Duration::from_secs(1));
    (sim, job)
}

fn cancel(sim: &mut Simulation, index: usize, job: &Name) -> Expected {
    let token = sim.request(index, |token| JobEvent::Cancel { token, job: Name::clone(job) });
    sim.run(Duration::from_millis(100));
    let Some((at, JobReply::Cancelled { counts })) = sim.reply(token).cloned() else {
        panic!("not cancelled: {:?}", sim.reply(token));
    };
    let cancelled = Some((at, counts));
    Expected { job: Name::clone(job), items: 2_000, idempotent: true, cancelled }
}

/// Guards against a driver that deletes the segment of a successful commit. The reply to the commit
/// is lost and a cancellation replaces the header, so the commit appears to be fenced.
#[test]
fn commit_before_cancellation_keeps_its_segment() {
    let (mut sim, job) = sim_with_job(1);
    run_to_call(&mut sim, "job-outcomes", "put");
    sim.faults = Faults { lose_reply: 1_000, ..Faults::default() };
    run_to_call(&mut sim, "jobs", "put");
    sim.faults = Faults::default();
    sim.pause(0, true);
    let expected = cancel(&mut sim, 1, &job);
    sim.pause(0, false);
    sim.run(Duration::from_secs(5));
    assert_eq!(oracle::check(&mut sim, 1, &expected), Vec::<String>::new());
}

/// Guards against a driver that starts items of a cancelled job after a pause. The cancellation is
/// stored during the pause, and a store outage then prevents the driver from confirming its header.
#[test]
fn driver_resumed_during_outage_starts_no_items() {
    let (mut sim, job) = sim_with_job(1);
    sim.faults.lose_notification = 1_000;
    sim.pause(0, true);
    let expected = cancel(&mut sim, 1, &job);
    sim.run(Duration::from_secs(10));
    sim.set_down(true);
    sim.pause(0, false);
    sim.run(Duration::from_secs(30));
    sim.set_down(false);
    sim.run(Duration::from_secs(5));
    assert_eq!(oracle::check(&mut sim, 1, &expected), Vec::<String>::new());
}

/// Guards against an orphan removal that deletes the objects of a concurrent resubmission which is
/// accepted.
#[test]
fn resubmission_during_orphan_removal_keeps_all_objects() {
    let (mut accepted, mut rejected) = (0, 0);
    for offset in 0..75 {
        let orphan_age = Duration::from_secs(5);
        let cfg = JobConfig { orphan_age, ..JobConfig::default() };
        let mut sim = Simulation::new(offset, 2, cfg);
        sim.submit(0, submission("a", 10, false, 600));
        run_to_call(&mut sim, "open-jobs", "put");
        sim.kill(0);
        sim.run(Duration::from_secs(7));
        run_to_call(&mut sim, "job-items", "list");
        sim.run(STEP * 2 * offset as u32);
        let token = sim.submit(1, submission("a", 10, false, 600));
        sim.run(Duration::from_secs(1));
        match sim.reply(token).unwrap().1.clone() {
            JobReply::Accepted { job, .. } => {
                accepted += 1;
                oracle::assert_clean(&mut sim, 1, &job, 10, false);
            }
            JobReply::NotRun(_) => {
                rejected += 1;
                sim.run(Duration::from_secs(60));
                assert!(sim.agents.runs.is_empty(), "a rejected submission ran");
            }
            other => panic!("{other:?}"),
        }
    }
    println!("measured: {accepted} resubmissions accepted, {rejected} rejected as not run");
    assert!(accepted > 0 && rejected > 0);
}

/// Guards against an orphan removal that is paused and, when it continues, deletes the objects of a
/// resubmission that was accepted in the meantime.
#[test]
fn resumed_orphan_removal_keeps_accepted_resubmission() {
    let cfg = JobConfig { orphan_age: Duration::from_secs(5), ..JobConfig::default() };
    let mut sim = Simulation::new(1, 2, cfg);
    sim.submit(0, submission("a", 10, false, 600));
    run_to_call(&mut sim, "open-jobs", "put");
    sim.kill(0);
    run_to_call(&mut sim, "jobs", "put");
    sim.pause(1, true);
    let resent = sim.start_process();
    let token = sim.submit(resent, submission("a", 10, false, 600));
    while sim.reply(token).is_none() {
        sim.run(STEP);
    }
    let Some((_, JobReply::Accepted { job, .. })) = sim.reply(token).cloned() else {
        panic!("not accepted: {:?}", sim.reply(token));
    };
    // The other process can find the job only through its index entry.
    sim.kill(resent);
    sim.pause(1, false);
    oracle::assert_clean(&mut sim, 1, &job, 10, false);
    assert_eq!(sim.header(&job).unwrap().counts.done, 10);
}
