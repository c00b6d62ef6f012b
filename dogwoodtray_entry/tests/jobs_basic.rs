//! Submission, driving, status and results without failures.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod jobs_support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::JobState;

use crate::jobs_support::World;
use crate::jobs_support::oracle;
use crate::jobs_support::oracle::Expected;
use crate::jobs_support::submission;

/// Guards against a job that is acknowledged but not run to its end.
#[test]
fn runs_a_job_to_its_end() {
    for idempotent in [true, false] {
        let mut world = World::new(1, 2, JobConfig::default());
        let job = world.accept(0, submission("a", 100, idempotent, 600));
        world.run_until(Duration::from_secs(120), "finished", |w| {
            w.header(&job).unwrap().state == JobState::Finished
        });
        world.run(Duration::from_secs(3));
        assert!(world.names("open-jobs").is_empty(), "the index entry is left");
        let expected = Expected { job: Name::clone(&job), items: 100, idempotent, cancelled: None };
        assert_eq!(oracle::check(&mut world, 1, &expected), Vec::<String>::new());
        let token = world.ask(1, |token| JobEvent::Status { token, job: Name::clone(&job) });
        world.run(Duration::from_secs(1));
        let Some((_, JobReply::Status { counts, .. })) = world.reply(token) else {
            panic!("no status");
        };
        assert_eq!((counts.items, counts.done), (100, 100));
    }
}
