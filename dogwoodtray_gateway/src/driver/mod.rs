//! Drives batch jobs.
//!
//! A job is three kinds of objects in the platform's store: its submission, which never changes,
//! segments of results, which are only added, and a mark that it was cancelled. Segments are
//! numbered and created on the condition that their number is free. A process therefore adds one
//! only after it has read all before it, which makes the segments the one order of results: no
//! item stands at two positions and no position changes, whoever else drives the job.

mod item;
mod job;
mod outputs;
mod pace;
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
use dogwoodtray_platform::Object;
use dogwoodtray_platform::Read;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub(crate) use self::job::Job;
use self::pace::Pace;
use self::progress::Progress;
pub(crate) use self::spec::JobSpec;
use crate::node::Node;
use crate::sync::Update;

/// Kind of the submissions.
pub(crate) const JOBS_KIND: &str = "batch-jobs";

/// Kind of the parts of submissions that are too large for one object.
pub(crate) const PARTS_KIND: &str = "batch-parts";

/// Kind of the segments of results.
pub(crate) const RESULTS_KIND: &str = "batch-results";

/// Kind of the marks of cancelled jobs.
pub(crate) const ENDS_KIND: &str = "batch-ends";

/// Kinds that a driver reads and writes for a process that the store turns away.
pub(crate) const BATCH_KINDS: [&str; 4] = [JOBS_KIND, PARTS_KIND, RESULTS_KIND, ENDS_KIND];

/// Wait of the watches of jobs.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time in which the watch brings a new job before it is read for its own sake.
const WATCH_HEAD_START: Duration = Duration::from_millis(100);

/// Interval at which a driver looks which jobs are its own.
const OWNER_CHECK: Duration = Duration::from_millis(250);

/// Job side of a driver.
#[derive(Debug, Default)]
pub(crate) struct Driver {
    jobs: RefCell<HashMap<Name, Rc<Job>>>,
    /// Cancelled jobs; `None` until they have been listed. Jobs and their ends are followed apart,
    /// so an end may be known before its job.
    ended: RefCell<Option<HashSet<Name>>>,
    pace: Pace,
    /// Jobs with a task that drives them.
    driving: Cell<usize>,
}

impl Driver {
    /// Starts to follow the jobs and to drive those that are this process's own.
    pub(crate) fn spawn(node: &Rc<Node>) -> Rc<Self> {
        let driver = Rc::new(Self::default());
        let this = Rc::clone(&driver);
        node.spawn_follow(
            JOBS_KIND,
            |_| WATCH_WAIT,
            move |node, update| {
                this.on_jobs(node, update);
            },
        );
        let this = Rc::clone(&driver);
        node.spawn_follow(
            ENDS_KIND,
            |_| WATCH_WAIT,
            move |node, update| {
                this.on_ends(update);
                this.check_owners(node);
            },
        );
        let this = Rc::clone(&driver);
        let owner = Rc::clone(node);
        spawn_local(async move {
            loop {
                sleep(OWNER_CHECK).await;
                this.check_owners(&owner);
            }
        });
        retire::spawn(node, &driver);
        sweep::spawn(node, &driver);
        driver
    }

    /// Tells whether a job is driven here.
    pub(crate) fn drives(&self, job: &str) -> bool {
        self.jobs.borrow().get(job).is_some_and(|job| job.is_driving())
    }

    /// Tells whether no job is driven.
    pub(crate) fn is_idle(&self) -> bool {
        self.driving.get() == 0
    }

    fn on_jobs(self: &Rc<Self>, node: &Rc<Node>, update: Update) {
        match update {
            Update::All(objects) => {
                for object in &objects {
                    self.add(object);
                }
            }
            Update::One(Change::Put(object)) => {
                self.add(&object);
            }
            Update::One(Change::Removed(name)) => {
                if let Some(job) = self.jobs.borrow_mut().remove(&name) {
                    job.end();
                }
            }
        }
        self.check_owners(node);
    }

    /// Adds a job unless it is known.
    fn add(&self, object: &Object) -> Option<Rc<Job>> {
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs.get(&object.name) {
            job.on_status(object.status.get());
            return Some(Rc::clone(job));
        }
        let spec = match serde_json::from_str::<JobSpec>(object.spec.get()) {
            Ok(spec) => spec,
            Err(err) => {
                log::error!("job {} in the store cannot be read: {err}", object.name);
                return None;
            }
        };
        let job = Rc::new(Job::new(Name::clone(&object.name), spec));
        job.on_status(object.status.get());
        if self.is_ended(&object.name) {
            job.end();
        }
        jobs.insert(Name::clone(&object.name), Rc::clone(&job));
        Some(job)
    }

    fn on_ends(&self, update: Update) {
        self.ended.borrow_mut().get_or_insert_default();
        match update {
            Update::All(objects) => objects.into_iter().for_each(|object| self.end(object.name)),
            Update::One(Change::Put(object)) => self.end(object.name),
            Update::One(Change::Removed(name)) => {
                if let Some(ended) = self.ended.borrow_mut().as_mut() {
                    ended.remove(&name);
                }
            }
        }
    }

    /// Takes the news of a gateway that a job was accepted. The watch of jobs brings it as well,
    /// unless the store turns this process away.
    pub(crate) async fn on_accepted(self: &Rc<Self>, node: &Rc<Node>, id: &Name) {
        sleep(WATCH_HEAD_START).await;
        let known = self.jobs.borrow().contains_key(id);
        if !known && let Read::Found(object) = node.read(JOBS_KIND, id).await {
            self.add(&object);
            self.check_owners(node);
        }
    }

    /// Keeps the output of an item that another driver runs.
    pub(crate) fn on_progress(&self, progress: messages::ItemProgress) {
        if let Some(job) = self.jobs.borrow().get(&*progress.job) {
            let item = Name::from(progress.item);
            job.keep(item, Progress::new(progress.data, progress.last_event));
        }
    }

    /// Gives a driver that has just started the output of the items that it will run.
    pub(crate) fn hand_back(&self, node: &Node, to: &Name, link: &LinkHandle) {
        for job in self.jobs.borrow().values() {
            if !job.is_driving() && !job.is_over() && node.peers.is_owner(node, job.id(), to) {
                job.hand_over_on(link);
            }
        }
    }

    /// Ends a job, as the store or a gateway tells. Before the ends are listed, the list will tell
    /// again.
    pub(crate) fn end(&self, id: Name) {
        if let Some(job) = self.jobs.borrow().get(&id) {
            job.end();
        }
        if let Some(ended) = self.ended.borrow_mut().as_mut() {
            ended.insert(id);
        }
    }

    fn is_ended(&self, job: &Name) -> bool {
        self.ended.borrow().as_ref().is_some_and(|ended| ended.contains(job))
    }

    fn check_owners(self: &Rc<Self>, node: &Rc<Node>) {
        if self.ended.borrow().is_none() {
            return;
        }
        let jobs: Vec<Rc<Job>> = self.jobs.borrow().values().cloned().collect();
        for job in jobs {
            let own = !job.is_over() && node.peers.owns(node, job.id());
            job.set_own(own);
            if own && job.start_driving() {
                self.driving.set(self.driving.get() + 1);
                let (node, driver) = (Rc::clone(node), Rc::clone(self));
                spawn_local(async move {
                    job.drive(&node).await;
                    job.stop_driving();
                    driver.driving.set(driver.driving.get() - 1);
                });
            }
        }
    }
}
