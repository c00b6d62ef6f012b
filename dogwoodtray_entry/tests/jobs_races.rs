//! Race conditions that random schedules trigger too rarely.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;

use crate::jobs_support::Faults;
use crate::jobs_support::World;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

const STEP: Duration = Duration::from_micros(100);

/// Runs until another store call of this type is made for this kind of object.
fn run_to_call(world: &mut World, kind: &str, call: &'static str) {
    let count = |w: &World| w.calls.get(&(kind.to_owned(), call)).copied().unwrap_or(0);
    let (before, limit) = (count(world), world.now + Duration::from_secs(30));
    while count(world) == before {
        assert!(world.now < limit, "no {call} of {kind}");
        world.run(STEP);
    }
}

/// Starts a job on process 0 and then a second process.
fn world_with_job(seed: u64) -> (World, Name) {
    let mut world = World::new(seed, 1, JobConfig::default());
    let job = world.accept(0, submission("a", 2_000, true, 900));
    world.run(Duration::from_secs(2));
    world.start_process();
    world.run(Duration::from_secs(1));
    (world, job)
}

fn cancel(world: &mut World, index: usize, job: &Name) -> Expected {
    let token = world.request(index, |token| JobEvent::Cancel { token, job: Name::clone(job) });
    world.run(Duration::from_millis(100));
    let Some((at, JobReply::Cancelled { counts })) = world.reply(token).cloned() else {
        panic!("not cancelled: {:?}", world.reply(token));
    };
    let cancelled = Some((at, counts));
    Expected { job: Name::clone(job), items: 2_000, idempotent: true, cancelled }
}

/// Guards against a driver that deletes the segment of a successful commit. The reply to the commit
/// is lost and a cancellation replaces the header, so the commit appears to be fenced.
#[test]
fn commit_before_cancellation_keeps_its_segment() {
    let (mut world, job) = world_with_job(1);
    run_to_call(&mut world, "job-outcomes", "put");
    world.faults = Faults { lose_reply: 1_000, ..Faults::default() };
    run_to_call(&mut world, "jobs", "put");
    world.faults = Faults::default();
    world.pause(0, true);
    let expected = cancel(&mut world, 1, &job);
    world.pause(0, false);
    world.run(Duration::from_secs(5));
    assert_eq!(oracle::check(&mut world, 1, &expected), Vec::<String>::new());
}

/// Guards against a driver that starts items of a cancelled job after a pause. The cancellation is
/// stored during the pause, and a store outage then prevents the driver from confirming its header.
#[test]
fn driver_resumed_during_outage_starts_no_items() {
    let (mut world, job) = world_with_job(1);
    world.faults.lose_notification = 1_000;
    world.pause(0, true);
    let expected = cancel(&mut world, 1, &job);
    world.run(Duration::from_secs(10));
    world.set_down(true);
    world.pause(0, false);
    world.run(Duration::from_secs(30));
    world.set_down(false);
    world.run(Duration::from_secs(5));
    assert_eq!(oracle::check(&mut world, 1, &expected), Vec::<String>::new());
}

/// Guards against an orphan removal that deletes the objects of a concurrent resubmission which is
/// accepted.
#[test]
fn resubmission_during_orphan_removal_keeps_all_objects() {
    let (mut accepted, mut rejected) = (0, 0);
    for offset in 0..75 {
        let orphan_age = Duration::from_secs(5);
        let cfg = JobConfig { orphan_age, ..JobConfig::default() };
        let mut world = World::new(offset, 2, cfg);
        world.submit(0, submission("a", 10, false, 600));
        run_to_call(&mut world, "open-jobs", "put");
        world.kill(0);
        world.run(Duration::from_secs(7));
        run_to_call(&mut world, "job-items", "list");
        world.run(STEP * 2 * offset as u32);
        let token = world.submit(1, submission("a", 10, false, 600));
        world.run(Duration::from_secs(1));
        match world.reply(token).unwrap().1.clone() {
            JobReply::Accepted { job, .. } => {
                accepted += 1;
                oracle::assert_clean(&mut world, 1, &job, 10, false);
            }
            JobReply::NotRun(_) => {
                rejected += 1;
                world.run(Duration::from_secs(60));
                assert!(world.agents.runs.is_empty(), "a rejected submission ran");
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
    let mut world = World::new(1, 2, cfg);
    world.submit(0, submission("a", 10, false, 600));
    run_to_call(&mut world, "open-jobs", "put");
    world.kill(0);
    run_to_call(&mut world, "jobs", "put");
    world.pause(1, true);
    let resent = world.start_process();
    let token = world.submit(resent, submission("a", 10, false, 600));
    while world.reply(token).is_none() {
        world.run(STEP);
    }
    let Some((_, JobReply::Accepted { job, .. })) = world.reply(token).cloned() else {
        panic!("not accepted: {:?}", world.reply(token));
    };
    // The other process can find the job only through its index entry.
    world.kill(resent);
    world.pause(1, false);
    oracle::assert_clean(&mut world, 1, &job, 10, false);
    assert_eq!(world.header(&job).unwrap().counts.done, 10);
}
