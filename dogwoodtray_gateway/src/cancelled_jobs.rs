//! Jobs that are known to be cancelled.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;

use crate::node::Node;
use crate::node::NodeRole;

/// Time for which a cancelled job is remembered; longer than jobs stay in the store.
const RETENTION: Duration = Duration::from_secs(600);

/// Cancelled jobs, each with the time at which this process learned of it.
#[derive(Debug, Default)]
pub(crate) struct CancelledJobs {
    by_id: HashMap<Name, Timestamp>,
}

impl CancelledJobs {
    pub(crate) fn insert(&mut self, now: Timestamp, job: Name) {
        self.by_id.entry(job).or_insert(now);
    }

    pub(crate) fn remove(&mut self, job: &str) {
        self.by_id.remove(job);
    }

    pub(crate) fn contains(&self, job: &str) -> bool {
        self.by_id.contains_key(job)
    }

    /// Drops the jobs that are not in the store any more.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.by_id.retain(|_, at| now - *at < RETENTION);
    }
}

/// # Cancelled jobs
impl Node {
    /// Records that a job is cancelled, and tells these processes.
    pub(crate) fn announce_cancellation(&self, job: Name, to: &[LinkHandle]) {
        let message = messages::JobCancelled { job: job.to_string() };
        let now = self.now();
        let mut cancelled = self.cancelled_jobs.borrow_mut();
        cancelled.expire(now);
        cancelled.insert(now, job);
        drop(cancelled);
        for link in to {
            link.send(message.clone());
        }
    }

    /// Tells a process to which a link has come up which jobs are cancelled. What was sent on earlier
    /// links may be lost, and the process may have restarted.
    pub(crate) fn send_cancellations(self: &Rc<Self>, link: &LinkHandle) {
        let is_witness = match self.cfg.role {
            NodeRole::Gateway => true,
            NodeRole::Driver => self.driver.get().is_some_and(|driver| driver.is_watcher(self)),
        };
        if !is_witness {
            return;
        }
        for job in self.cancelled_jobs.borrow().by_id.keys() {
            link.send(messages::JobCancelled { job: job.to_string() });
        }
    }
}
