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
mod item_run;
mod job;
mod outputs;
mod progress;
mod reads;
mod retire;
mod spec;
mod sweep;
mod watchers;

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
use self::estimator::RunTimeEstimator;
pub(crate) use self::job::Job;
use self::outputs::EarlyOutputs;
use self::progress::Progress;
pub(crate) use self::spec::JobSpec;
use self::spec::encode;
pub(crate) use self::watchers::WATCHERS_KEY;
use self::watchers::Watcher;
use crate::node::Node;
use crate::places::LEARNED_INTERVAL;
use crate::sync::Update;
use crate::sync::WatchConfig;

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

/// Time for which changes of jobs and cancellations are collected. Gateways tell the drivers
/// themselves; the watch serves takeovers, and gateways that failed.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Delay before a failed read of an assigned job is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time for which reads of an assigned job are retried; longer than outages of the store.
const READ_RETRY_TIME: Duration = Duration::from_secs(60);

/// Interval at which a driver checks which jobs it owns.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Batch job engine of a driver process.
#[derive(Debug, Default)]
pub(crate) struct Driver {
    jobs: RefCell<HashMap<Name, Rc<Job>>>,
    /// Whether the cancelled jobs have been listed. Jobs and cancellations are separate watches, so a
    /// cancellation may arrive before its job.
    cancellations_listed: Cell<bool>,
    watcher: Watcher,
    /// Assigned jobs that are being read.
    loading: RefCell<HashSet<Name>>,
    early_outputs: EarlyOutputs,
    admissions: Admissions,
    estimator: RunTimeEstimator,
    /// Number of jobs with a task that drives them.
    driven_jobs: Cell<usize>,
    /// VMs that are to be removed.
    retiring: RefCell<HashSet<Name>>,
    /// Whether a graceful stop has started.
    stopping: Cell<bool>,
}

/// Returns how the jobs and cancellations are watched.
fn watch_config(
    driver: Rc<Driver>,
) -> WatchConfig<impl Fn(&Node) -> bool + 'static, impl Fn(&Node) -> Duration + 'static> {
    WatchConfig {
        is_active: move |node: &Node| driver.is_watcher(node),
        wait: |_: &Node| WATCH_TIMEOUT,
        pause: WATCH_PAUSE,
    }
}

impl Driver {
    /// Starts to follow the jobs and to drive those that this process owns.
    pub(crate) fn spawn(node: &Rc<Node>) -> Rc<Self> {
        let driver = Rc::new(Self::default());
        let this = Rc::clone(&driver);
        let watcher = Rc::clone(&driver);
        node.spawn_configured_watch(JOBS_KIND, watch_config(watcher), move |node, update| {
            this.on_jobs(node, update);
        });
        let this = Rc::clone(&driver);
        let watcher = Rc::clone(&driver);
        node.spawn_configured_watch(
            CANCELLATIONS_KIND,
            watch_config(watcher),
            move |node, update| {
                this.on_cancellations(node, update);
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
                this.early_outputs.drop_old(task_node.now());
            }
        });
        let task_node = Rc::clone(node);
        spawn_local(async move {
            loop {
                sleep(LEARNED_INTERVAL).await;
                task_node.share_learned_costs();
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

    /// Records that a graceful stop has started.
    pub(crate) fn begin_stop(&self) {
        self.stopping.set(true);
    }

    fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    fn on_jobs(self: &Rc<Self>, node: &Rc<Node>, update: Update) {
        match update {
            Update::All(objects) => {
                for object in &objects {
                    self.add_job(node, object);
                }
                self.check_ownership(node);
            }
            Update::One(Change::Put(object)) => {
                if let Some(job) = self.add_job(node, &object) {
                    self.check_job(node, &job, self.is_watcher(node));
                }
            }
            Update::One(Change::Removed(name)) => {
                if let Some(job) = self.jobs.borrow_mut().remove(&name) {
                    job.cancel();
                }
            }
        }
    }

    /// Adds a job, or updates its status if it is already present. Returns `None` if its submission
    /// cannot be decoded.
    fn add_job(&self, node: &Node, object: &Object) -> Option<Rc<Job>> {
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
        let job = Rc::new(Job::new(Name::clone(&object.name), spec, node.buffers.clone()));
        job.on_status(object.status.get());
        if node.cancelled_jobs.borrow().contains(&object.name) {
            job.cancel();
        }
        for (item, progress) in self.early_outputs.take(&object.name) {
            job.set_replica(item, progress);
        }
        jobs.insert(Name::clone(&object.name), Rc::clone(&job));
        Some(job)
    }

    fn on_cancellations(&self, node: &Node, update: Update) {
        self.cancellations_listed.set(true);
        match update {
            Update::All(objects) => {
                for object in objects {
                    if !node.cancelled_jobs.borrow().contains(&object.name) {
                        self.on_cancellation(node, object.name);
                    }
                }
            }
            Update::One(Change::Put(object)) => self.on_cancellation(node, object.name),
            Update::One(Change::Removed(name)) => node.cancelled_jobs.borrow_mut().remove(&name),
        }
    }

    /// Applies a cancellation in the store. The gateway that stored it may have failed to tell others.
    fn on_cancellation(&self, node: &Node, id: Name) {
        node.announce_cancellation(Name::clone(&id), &node.peers.driver_links());
        self.cancel_job(node, id);
    }

    /// Handles the message of a gateway that it accepted a job, or of a watcher that this process
    /// is to drive it.
    pub(crate) async fn on_accepted(self: &Rc<Self>, node: &Rc<Node>, id: &Name) {
        let job = self.jobs.borrow().get(id).map(Rc::clone);
        let job = match job {
            Some(job) => Some(job),
            None if !self.loading.borrow_mut().insert(Name::clone(id)) => return,
            None => {
                let job = self.read_job(node, id).await;
                self.loading.borrow_mut().remove(id);
                job
            }
        };
        if let Some(job) = job {
            job.assign();
            self.check_job(node, &job, self.is_watcher(node));
        }
    }

    /// Reads a job, with retries while neither the store nor a watcher can provide it.
    async fn read_job(&self, node: &Node, id: &Name) -> Option<Rc<Job>> {
        let give_up_at = node.now() + READ_RETRY_TIME;
        while node.now() < give_up_at {
            match node.read(JOBS_KIND, id).await {
                GetResult::Found(object) => return self.add_job(node, &object),
                GetResult::Missing => return None,
                GetResult::Unavailable => sleep(READ_RETRY_DELAY).await,
            }
        }
        log::warn!("job {id} could not be read");
        None
    }

    /// Returns a copy of the submission of a job, for a process that cannot read the store.
    pub(crate) fn job_object(&self, id: &Name) -> Option<(String, String)> {
        let jobs = self.jobs.borrow();
        let job = jobs.get(id)?;
        Some((encode(&job.spec), encode(&job.status())))
    }

    /// Stores the output of an item that another driver runs, if there is a buffer for it.
    pub(crate) fn on_item_progress(&self, node: &Node, progress: messages::ItemProgress) {
        let now = node.now();
        let item = Name::from(progress.item);
        let output = Progress::received(&node.buffers, progress.data, progress.last_event);
        let Ok(output) = output else { return };
        if let Some(job) = self.jobs.borrow().get(&*progress.job) {
            return job.set_replica(item, output);
        }
        self.early_outputs.insert(now, Name::from(progress.job), item, output);
    }

    /// Drops the state of a job that has been removed from the store. A watcher learns of it from the
    /// store as well.
    fn forget_job(&self, id: &Name) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Sends the output of unfinished items to a driver that has just started and owns their jobs.
    pub(crate) fn send_outputs_to(&self, node: &Node, to: &Name, link: &LinkHandle) {
        for job in self.jobs.borrow().values() {
            if !job.is_driving() && !job.is_terminal() && node.peers.is_owner(node, job.id(), to) {
                job.send_outputs(link);
            }
        }
        for message in self.early_outputs.messages(|job| node.peers.is_owner(node, job, to)) {
            link.send(message);
        }
    }

    /// Cancels a job, on an update from the store or a message from another process.
    pub(crate) fn cancel_job(&self, node: &Node, id: Name) {
        if let Some(job) = self.jobs.borrow().get(&id) {
            job.cancel();
        }
        node.cancelled_jobs.borrow_mut().insert(node.now(), id);
    }

    /// Updates the ownership of all jobs, and starts to drive those that this process owns.
    fn check_ownership(self: &Rc<Self>, node: &Rc<Node>) {
        let is_watcher = self.is_watcher(node);
        let jobs: Vec<Rc<Job>> = self.jobs.borrow().values().cloned().collect();
        for job in &jobs {
            self.check_job(node, job, is_watcher);
        }
        if is_watcher {
            self.notify_owners(node);
        }
    }

    /// Updates the ownership of a job, and starts to drive it if this process owns it.
    fn check_job(self: &Rc<Self>, node: &Rc<Node>, job: &Rc<Job>, is_watcher: bool) {
        if !self.cancellations_listed.get() {
            return;
        }
        // Without the watch, the state of a job may be outdated until a watcher assigns it.
        let may_drive = !job.is_terminal() && (is_watcher || job.is_assigned());
        let owned = may_drive && node.peers.owns(node, job.id());
        job.set_owned(owned);
        if !owned {
            return;
        }
        job.assign();
        if job.start_driving() {
            self.driven_jobs.set(self.driven_jobs.get() + 1);
            let (node, driver, job) = (Rc::clone(node), Rc::clone(self), Rc::clone(job));
            spawn_local(async move {
                job.drive(&node).await;
                job.stop_driving();
                driver.driven_jobs.set(driver.driven_jobs.get() - 1);
            });
        }
    }
}
