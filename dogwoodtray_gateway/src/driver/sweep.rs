//! Removes jobs whose retention time has passed.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_runtime::Clock;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::CANCELLATIONS_KIND;
use super::Driver;
use super::JOBS_KIND;
use super::PARTS_KIND;
use super::RESULTS_KIND;
use super::WATCHERS_KEY;
use super::job::Job;
use super::spec::JobSpec;
use super::spec::Segment;
use crate::node::Node;

/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);

/// Extra retention time, which allows for clock differences between VMs and for late reads.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Starts the task that removes expired jobs.
pub(super) fn spawn(node: &Rc<Node>, driver: &Rc<Driver>) {
    let (node, driver) = (Rc::clone(node), Rc::clone(driver));
    spawn_local(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let jobs: Vec<Rc<Job>> = driver.jobs.borrow().values().cloned().collect();
            let first = node.peers.ranked(&node, WATCHERS_KEY).into_iter().next();
            let is_first = first.as_ref() == Some(&node.cfg.node);
            for job in jobs {
                if is_first && is_expired(&node, &job) {
                    remove_job(&node, &job).await;
                }
                let may_forget =
                    job.is_terminal() || !driver.is_watcher(&node) && !job.is_driving();
                if may_forget && age(&job) >= retention(&node, &job) + RETENTION_MARGIN {
                    driver.forget_job(job.id());
                }
            }
            node.cancelled_jobs.borrow_mut().expire(node.now());
        }
    });
}

fn is_expired(node: &Node, job: &Job) -> bool {
    job.is_terminal() && age(job) >= retention(node, job)
}

/// Returns the time since the acceptance after which a job that has ended is removed.
fn retention(node: &Node, job: &Job) -> Duration {
    node.cfg.results_kept.max(Duration::from_millis(job.spec.retention_ms)) + RETENTION_MARGIN
}

fn age(job: &Job) -> Duration {
    Duration::from_millis(Clock::unix_ms().saturating_sub(job.spec.accepted_unix_ms))
}

/// Removes the objects of a job. The submission is last, so that a later sweep completes the
/// removal if this one fails partway.
async fn remove_job(node: &Node, job: &Job) {
    if job.load_new_segments(node).await.is_err() {
        return;
    }
    for number in 0..job.segment_count() {
        node.store.remove(RESULTS_KIND, &Segment::name(job.id(), number)).await;
    }
    for part in 0..job.spec.parts {
        node.store.remove(PARTS_KIND, &JobSpec::part_name(job.id(), part)).await;
    }
    if job.is_cancelled() {
        node.store.remove(CANCELLATIONS_KIND, job.id()).await;
    }
    let removed = node.store.remove(JOBS_KIND, job.id()).await;
    log::info!("removal of expired job {}: {removed:?}", job.id());
}
