//! Removes jobs whose results need no longer be readable.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_runtime::Clock;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Driver;
use super::ENDS_KIND;
use super::JOBS_KIND;
use super::PARTS_KIND;
use super::RESULTS_KIND;
use super::job::Job;
use super::spec::JobSpec;
use super::spec::Segment;
use crate::node::Node;

/// Interval between sweeps.
const INTERVAL: Duration = Duration::from_secs(20);

/// Time beyond which results are kept, for wall clocks that differ and for late reads.
const MARGIN: Duration = Duration::from_secs(60);

/// Removes old jobs from time to time.
pub(super) fn spawn(node: &Rc<Node>, driver: &Rc<Driver>) {
    let (node, driver) = (Rc::clone(node), Rc::clone(driver));
    spawn_local(async move {
        loop {
            sleep(INTERVAL).await;
            let jobs: Vec<Rc<Job>> = driver.jobs.borrow().values().cloned().collect();
            for job in jobs {
                if is_old(&node, &job) && node.peers.owns(&node, job.id()) {
                    remove(&node, &job).await;
                }
            }
        }
    });
}

fn is_old(node: &Node, job: &Job) -> bool {
    let kept = node.cfg.results_kept.max(Duration::from_millis(job.spec.retention_ms)) + MARGIN;
    let age = Clock::unix_ms().saturating_sub(job.spec.accepted_unix_ms);
    job.is_over() && Duration::from_millis(age) >= kept
}

/// Removes the submission last, so that a sweep that stops halfway goes on later.
async fn remove(node: &Node, job: &Job) {
    if job.read_on(node).await.is_err() {
        return;
    }
    for number in 0..job.segments() {
        node.store.remove(RESULTS_KIND, &Segment::name(job.id(), number)).await;
    }
    for part in 0..job.spec.parts {
        node.store.remove(PARTS_KIND, &JobSpec::part_name(job.id(), part)).await;
    }
    if job.is_ended() {
        node.store.remove(ENDS_KIND, job.id()).await;
    }
    let removed = node.store.remove(JOBS_KIND, job.id()).await;
    log::info!("job {} is removed: {removed:?}", job.id());
}
