//! One job.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_platform::Created;
use dogwoodtray_platform::Read;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::JOBS_KIND;
use super::PARTS_KIND;
use super::RESULTS_KIND;
use super::item;
use super::outputs::Outputs;
use super::progress::Progress;
use super::spec::JobSpec;
use super::spec::JobStatus;
use super::spec::Segment;
use super::spec::StoredItem;
use super::spec::StoredResult;
use super::spec::encode;
use crate::model::JobItem;
use crate::node::Node;

/// Time that a result waits for others before it is stored. Callers read twice a second, and
/// each write is counted.
const COMMIT_DELAY: Duration = Duration::from_millis(300);

/// Largest group of results in one write, well below the store's limit.
const MAX_SEGMENT_BYTES: usize = 600 * 1024;

/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time after its start that a process waits for the output of its items, which other drivers keep.
/// They dial it about 100 ms after its start and look every 250 ms which jobs are no longer theirs.
const HAND_BACK_TIME: Duration = Duration::from_millis(600);

/// The store could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unread;

/// One job as this process knows it.
#[derive(Debug)]
pub(crate) struct Job {
    id: Name,
    pub(crate) spec: JobSpec,
    items: OnceCell<Vec<Rc<JobItem>>>,
    results: RefCell<Vec<StoredResult>>,
    listed: RefCell<HashSet<Name>>,
    /// Number of the next segment.
    next_segment: Cell<u32>,
    /// Output of items so far, for the driver that runs them next.
    outputs: Outputs,
    ended: Cell<bool>,
    finished: Cell<bool>,
    own: Cell<bool>,
    driving: Cell<bool>,
    /// Whether this process drives the job and has read all results that others stored before.
    caught_up: Cell<bool>,
    /// Notified when results or the state change.
    changed: Notify,
}

/// # State
impl Job {
    pub(crate) fn new(id: Name, spec: JobSpec) -> Self {
        Self {
            id,
            spec,
            items: OnceCell::new(),
            results: RefCell::new(Vec::new()),
            listed: RefCell::new(HashSet::new()),
            next_segment: Cell::new(0),
            outputs: Outputs::default(),
            ended: Cell::new(false),
            finished: Cell::new(false),
            own: Cell::new(false),
            driving: Cell::new(false),
            caught_up: Cell::new(false),
            changed: Notify::new(),
        }
    }

    pub(crate) const fn id(&self) -> &Name {
        &self.id
    }

    /// Tells whether nothing is left to do.
    pub(crate) fn is_over(&self) -> bool {
        self.ended.get() || self.finished.get()
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    pub(crate) fn is_driving(&self) -> bool {
        self.driving.get()
    }

    /// Tells whether this process drives the job and knows all its results.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    pub(crate) fn segments(&self) -> u32 {
        self.next_segment.get()
    }

    pub(crate) fn results(&self) -> std::cell::Ref<'_, Vec<StoredResult>> {
        self.results.borrow()
    }

    /// Waits for the next change of results or state.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Keeps the output of an item that another driver runs or ran.
    pub(super) fn keep(&self, item: Name, progress: Progress) {
        if !self.is_over() && !self.is_listed(&item) {
            self.outputs.keep(item, progress);
        }
    }

    pub(super) const fn outputs(&self) -> &Outputs {
        &self.outputs
    }

    /// Gives the output of all items to the driver that drives the job next.
    fn hand_over(&self, node: &Node) {
        let Some(link) = node.peers.backup_for(node, &self.id) else { return };
        self.hand_over_on(&link);
    }

    /// Gives the output of all items to a driver.
    pub(super) fn hand_over_on(&self, link: &LinkHandle) {
        for message in self.outputs.messages(&self.id) {
            link.send(message);
        }
    }

    pub(crate) fn on_status(&self, status: &str) {
        let status = serde_json::from_str::<Option<JobStatus>>(status).ok().flatten();
        if status.is_some_and(|status| status.finished) {
            self.finished.set(true);
            self.outputs.clear();
        }
    }

    /// Cancels the job: nothing of it runs from here on.
    pub(crate) fn end(&self) {
        self.ended.set(true);
        self.outputs.clear();
        self.changed.notify_waiters();
    }

    pub(crate) fn set_own(&self, own: bool) {
        if self.own.replace(own) && !own {
            self.changed.notify_waiters();
        }
    }

    /// Returns `false` if the job is driven already.
    pub(crate) fn start_driving(&self) -> bool {
        !self.driving.replace(true)
    }

    pub(crate) fn stop_driving(&self) {
        self.driving.set(false);
        self.caught_up.set(false);
    }

    /// Time at which all results are due, on the clock of this process.
    pub(crate) fn due(&self, node: &Node) -> Timestamp {
        let age = Clock::unix_ms().saturating_sub(self.spec.accepted_unix_ms);
        node.now() + Duration::from_millis(self.spec.target_ms.saturating_sub(age))
    }

    fn apply(&self, segment: Segment) {
        let mut results = self.results.borrow_mut();
        let mut listed = self.listed.borrow_mut();
        for result in segment.results {
            self.outputs.remove(&result.item);
            listed.insert(Name::clone(&result.item));
            results.push(result);
        }
        drop(results);
        self.next_segment.set(self.next_segment.get() + 1);
        self.changed.notify_waiters();
    }

    fn is_listed(&self, item: &Name) -> bool {
        self.listed.borrow().contains(item)
    }

    /// Tells whether every item has a result that this process knows.
    pub(crate) fn all_listed(&self) -> bool {
        self.listed.borrow().len() >= self.spec.total as usize
    }
}

/// # Loading
impl Job {
    /// Returns the items, which are read from the store if they stand in objects of their own.
    pub(crate) async fn items(&self, node: &Node) -> Result<&[Rc<JobItem>], Unread> {
        if let Some(items) = self.items.get() {
            return Ok(items);
        }
        let mut stored = self.spec.items.clone();
        for part in 0..self.spec.parts {
            let name = JobSpec::part_name(&self.id, part);
            let Read::Found(object) = node.read(PARTS_KIND, &name).await else {
                return Err(Unread);
            };
            let more: Vec<StoredItem> =
                serde_json::from_str(object.spec.get()).map_err(|_| Unread)?;
            stored.extend(more);
        }
        let items = stored.into_iter().filter_map(StoredItem::decode).map(Rc::new).collect();
        Ok(self.items.get_or_init(|| items))
    }

    /// Reads the segments that other processes have added.
    pub(crate) async fn read_on(&self, node: &Node) -> Result<(), Unread> {
        loop {
            let number = self.next_segment.get();
            let name = Segment::name(&self.id, number);
            match node.read(RESULTS_KIND, &name).await {
                Read::Found(object) => {
                    let segment: Segment =
                        serde_json::from_str(object.spec.get()).map_err(|_| Unread)?;
                    // Another task may have read it meanwhile.
                    if self.next_segment.get() == number {
                        self.apply(segment);
                    }
                }
                Read::Missing => return Ok(()),
                Read::Unavailable => return Err(Unread),
            }
        }
    }
}

/// # Driving
impl Job {
    /// Drives the job until it is over or no longer this process's own.
    pub(crate) async fn drive(self: &Rc<Self>, node: &Rc<Node>) {
        let Some(mut running) = self.start(node).await else { return };
        let open = running.len();
        let results = self.results.borrow().len();
        let fields: [(&str, &dyn Display); 2] = [("open", &open), ("results", &results)];
        node.events.emit(&catalogue::JOB_CLAIMED, Some(&self.id), &fields);
        let mut done: Vec<StoredResult> = Vec::new();
        let mut commit_at = None;
        while !self.is_over() && self.own.get() {
            if running.is_empty() && done.is_empty() {
                break;
            }
            let due = commit_at.filter(|_| !done.is_empty());
            tokio::select! {
                Some(result) = running.join_next(), if !running.is_empty() => match result {
                    Ok(result) => {
                        commit_at.get_or_insert_with(|| Instant::now() + COMMIT_DELAY);
                        done.push(result);
                    }
                    Err(err) => log::error!("an item of job {} failed: {err}", self.id),
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    commit_at = None;
                    self.commit(node, &mut done).await;
                }
                () = self.changed.notified() => {}
            }
            if running.is_empty() && !done.is_empty() {
                self.commit(node, &mut done).await;
            }
        }
        // Items that run end with their tasks; finished ones are kept if that can be done at once.
        running.abort_all();
        if !done.is_empty() && !self.ended.get() {
            self.commit_once(node, &mut done).await;
        }
        if !self.is_over() {
            self.hand_over(node);
        }
        self.finish(node).await;
    }

    async fn start(self: &Rc<Self>, node: &Rc<Node>) -> Option<JoinSet<StoredResult>> {
        sleep(HAND_BACK_TIME.saturating_sub(node.now() - Timestamp::ZERO)).await;
        loop {
            if self.is_over() || !self.own.get() {
                return None;
            }
            if self.read_on(node).await.is_ok()
                && let Ok(items) = self.items(node).await
            {
                self.caught_up.set(true);
                let mut running = JoinSet::new();
                for item in items.iter().filter(|item| !self.is_listed(&item.id)) {
                    running.spawn_local(item::run(
                        Rc::clone(node),
                        Rc::clone(self),
                        Rc::clone(item),
                    ));
                }
                return Some(running);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Stores results, however long that takes.
    async fn commit(&self, node: &Node, done: &mut Vec<StoredResult>) {
        while !done.is_empty() && !self.is_over() {
            if !self.commit_once(node, done).await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Adds one segment. Returns whether the number of the next segment is known for certain.
    async fn commit_once(&self, node: &Node, done: &mut Vec<StoredResult>) -> bool {
        done.retain(|result| !self.is_listed(&result.item));
        if done.is_empty() {
            return true;
        }
        let mut bytes = 0;
        let fits = |result: &&StoredResult| {
            bytes += result.output.len();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = done.iter().take_while(fits).count().max(1);
        let segment = Segment { writer: node.incarnation.0, results: done[..count].to_vec() };
        let number = self.next_segment.get();
        let name = Segment::name(&self.id, number);
        match node.create(RESULTS_KIND, &name, segment.encode()).await {
            Created::Done => {
                if self.next_segment.get() == number {
                    self.apply(segment);
                }
                done.drain(..count);
                true
            }
            // The segment is another process's, or an earlier try of this one.
            Created::Exists | Created::Unknown => self.read_on(node).await.is_ok(),
            Created::Unavailable => false,
            Created::TooLarge => {
                log::error!("results of job {} do not fit into one object", self.id);
                false
            }
        }
    }

    /// Notes in the store that all items have a result, so that no other process loads the job.
    async fn finish(&self, node: &Node) {
        if self.is_over() || !self.all_listed() {
            return;
        }
        self.finished.set(true);
        self.changed.notify_waiters();
        let results = self.results.borrow().len();
        let segments = self.next_segment.get();
        let fields: [(&str, &dyn Display); 2] = [("results", &results), ("segments", &segments)];
        node.events.emit(&catalogue::JOB_FINISHED, Some(&self.id), &fields);
        let status = encode(&JobStatus { finished: true });
        let updated = node.store.set_status(JOBS_KIND, &self.id, status).await;
        log::debug!("job {} is noted as finished: {updated:?}", self.id);
    }
}
