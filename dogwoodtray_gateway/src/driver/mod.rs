//! Drives batch jobs.
//!
//! The platform's store holds three kinds of objects of a job: its submission, which never changes,
//! segments of results, which are append-only, and a marker if the job is cancelled. Segments are
//! numbered, and creating one fails if its number is taken. A process therefore adds a segment only
//! after it has read all earlier ones, so the segments define a single order of results: no item
//! has two positions and no position changes, even if several processes drive the job.

mod admissions;
mod estimator;
mod item;
mod job;
mod outputs;
mod progress;
mod reads;
mod retire;
mod spec;
mod sweep;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::Change;
use dogwoodtray_platform::GetResult;
use dogwoodtray_platform::Object;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::admissions::Admissions;
pub(crate) use self::admissions::admission_key;
use self::estimator::RunTimeEstimator;
pub(crate) use self::job::Job;
use self::progress::Progress;
pub(crate) use self::spec::JobSpec;
use crate::node::Node;
use crate::sync::Update;

/// Kind of the submissions of jobs.
pub(crate) const JOBS_KIND: &str = "batch-jobs";

/// Kind of the parts of submissions that are too large for one object.
pub(crate) const PARTS_KIND: &str = "batch-parts";

/// Kind of the segments of results.
pub(crate) const RESULTS_KIND: &str = "batch-results";

/// Kind of the markers of cancelled jobs, named after their jobs.
pub(crate) const CANCELLATIONS_KIND: &str = "batch-ends";

/// Kinds that a driver reads and writes on behalf of a process whose calls the store rejects.
pub(crate) const BATCH_KINDS: [&str; 4] = [JOBS_KIND, PARTS_KIND, RESULTS_KIND, CANCELLATIONS_KIND];

/// Timeout of the watches of jobs and cancellations.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which the watch normally delivers a new job; after that the job is read directly.
const WATCH_DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Interval at which a driver checks which jobs it owns.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Batch job engine of a driver process.
#[derive(Debug, Default)]
pub(crate) struct Driver {
    jobs: RefCell<HashMap<Name, Rc<Job>>>,
    /// Cancelled jobs; `None` until they have been listed. Jobs and cancellations are separate
    /// watches, so a cancellation may arrive before its job.
    cancelled: RefCell<Option<HashSet<Name>>>,
    admissions: Admissions,
    estimator: RunTimeEstimator,
    /// Number of jobs with a task that drives them.
    driven_jobs: Cell<usize>,
}

impl Driver {
    /// Starts to follow the jobs and to drive those that this process owns.
    pub(crate) fn spawn(node: &Rc<Node>) -> Rc<Self> {
        let driver = Rc::new(Self::default());
        let this = Rc::clone(&driver);
        node.spawn_watch(
            JOBS_KIND,
            |_| WATCH_TIMEOUT,
            move |node, update| {
                this.on_jobs(node, update);
            },
        );
        let this = Rc::clone(&driver);
        node.spawn_watch(
            CANCELLATIONS_KIND,
            |_| WATCH_TIMEOUT,
            move |node, update| {
                this.on_cancellations(update);
                this.check_ownership(node);
            },
        );
        let this = Rc::clone(&driver);
        let task_node = Rc::clone(node);
        spawn_local(async move {
            loop {
                sleep(OWNERSHIP_CHECK_INTERVAL).await;
                this.check_ownership(&task_node);
                this.report_held_tokens(&task_node);
                this.tick_quotas(&task_node);
            }
        });
        retire::spawn(node, &driver);
        sweep::spawn(node, &driver);
        driver
    }

    /// Returns `true` if this process drives the job.
    pub(crate) fn drives(&self, job: &str) -> bool {
        self.jobs.borrow().get(job).is_some_and(|job| job.is_driving())
    }

    /// Returns `true` if this process drives no job.
    pub(crate) fn is_idle(&self) -> bool {
        self.driven_jobs.get() == 0
    }

    fn on_jobs(self: &Rc<Self>, node: &Rc<Node>, update: Update) {
        match update {
            Update::All(objects) => {
                for object in &objects {
                    self.add_job(object);
                }
            }
            Update::One(Change::Put(object)) => {
                self.add_job(&object);
            }
            Update::One(Change::Removed(name)) => {
                if let Some(job) = self.jobs.borrow_mut().remove(&name) {
                    job.cancel();
                }
            }
        }
        self.check_ownership(node);
    }

    /// Adds a job, or updates its status if it is already present. Returns `None` if its submission
    /// cannot be decoded.
    fn add_job(&self, object: &Object) -> Option<Rc<Job>> {
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs.get(&object.name) {
            job.on_status(object.status.get());
            return Some(Rc::clone(job));
        }
        let spec = match serde_json::from_str::<JobSpec>(object.spec.get()) {
            Ok(spec) => spec,
            Err(err) => {
                log::error!("cannot decode the submission of job {}: {err}", object.name);
                return None;
            }
        };
        let job = Rc::new(Job::new(Name::clone(&object.name), spec));
        job.on_status(object.status.get());
        if self.is_cancelled(&object.name) {
            job.cancel();
        }
        jobs.insert(Name::clone(&object.name), Rc::clone(&job));
        Some(job)
    }

    fn on_cancellations(&self, update: Update) {
        self.cancelled.borrow_mut().get_or_insert_default();
        match update {
            Update::All(objects) => {
                objects.into_iter().for_each(|object| self.cancel_job(object.name));
            }
            Update::One(Change::Put(object)) => self.cancel_job(object.name),
            Update::One(Change::Removed(name)) => {
                if let Some(cancelled) = self.cancelled.borrow_mut().as_mut() {
                    cancelled.remove(&name);
                }
            }
        }
    }

    /// Handles the message of a gateway that it accepted a job. The watch of jobs delivers the job
    /// as well, unless the store rejects the calls of this process.
    pub(crate) async fn on_accepted(self: &Rc<Self>, node: &Rc<Node>, id: &Name) {
        sleep(WATCH_DELIVERY_TIME).await;
        let known = self.jobs.borrow().contains_key(id);
        if !known && let GetResult::Found(object) = node.read(JOBS_KIND, id).await {
            self.add_job(&object);
            self.check_ownership(node);
        }
    }

    /// Stores the output of an item that another driver runs.
    pub(crate) fn on_item_progress(&self, progress: messages::ItemProgress) {
        if let Some(job) = self.jobs.borrow().get(&*progress.job) {
            let item = Name::from(progress.item);
            job.set_replica(item, Progress::new(progress.data, progress.last_event));
        }
    }

    /// Sends the output of unfinished items to a driver that has just started and owns their jobs.
    pub(crate) fn send_outputs_to(&self, node: &Node, to: &Name, link: &LinkHandle) {
        for job in self.jobs.borrow().values() {
            if !job.is_driving() && !job.is_terminal() && node.peers.is_owner(node, job.id(), to) {
                job.send_outputs(link);
            }
        }
    }

    /// Cancels a job, on an update from the store or a message from a gateway. A cancellation that
    /// arrives before the first listing need not be recorded, because that listing contains it.
    pub(crate) fn cancel_job(&self, id: Name) {
        if let Some(job) = self.jobs.borrow().get(&id) {
            job.cancel();
        }
        if let Some(cancelled) = self.cancelled.borrow_mut().as_mut() {
            cancelled.insert(id);
        }
    }

    fn is_cancelled(&self, job: &Name) -> bool {
        self.cancelled.borrow().as_ref().is_some_and(|cancelled| cancelled.contains(job))
    }

    /// Updates the ownership of all jobs, and starts to drive those that this process owns.
    fn check_ownership(self: &Rc<Self>, node: &Rc<Node>) {
        if self.cancelled.borrow().is_none() {
            return;
        }
        let jobs: Vec<Rc<Job>> = self.jobs.borrow().values().cloned().collect();
        for job in jobs {
            let owned = !job.is_terminal() && node.peers.owns(node, job.id());
            job.set_owned(owned);
            if owned && job.start_driving() {
                self.driven_jobs.set(self.driven_jobs.get() + 1);
                let (node, driver) = (Rc::clone(node), Rc::clone(self));
                spawn_local(async move {
                    job.drive(&node).await;
                    job.stop_driving();
                    driver.driven_jobs.set(driver.driven_jobs.get() - 1);
                });
            }
        }
    }
}
