//! State of a batch job, and the task that drives it.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_platform::CreateResult;
use dogwoodtray_platform::GetResult;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
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
use crate::contents::bodies_hash;
use crate::model::JobItem;
use crate::node::Node;

/// Time for which a result is held back so that others are stored in the same write. Callers read
/// twice a second, and every write to the store is counted.
const COMMIT_DELAY: Duration = Duration::from_millis(300);

/// Maximum size of the results in one write, well below the limit of the store.
const MAX_SEGMENT_BYTES: usize = 600 * 1024;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after the start of the process during which its jobs wait for output that other drivers
/// hold. They dial a new process about 100 ms after its start, and check every 250 ms which jobs
/// they no longer own.
const OUTPUT_RECOVERY_TIME: Duration = Duration::from_millis(600);

/// Error returned when a read from the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreReadError;

/// Local state of a job.
#[derive(Debug)]
pub(crate) struct Job {
    id: Name,
    pub(crate) spec: JobSpec,
    items: OnceCell<Vec<Rc<JobItem>>>,
    results: RefCell<Vec<StoredResult>>,
    /// Ids of the items in `results`.
    items_with_result: RefCell<HashSet<Name>>,
    /// Number of the next segment.
    next_segment: Cell<u32>,
    /// Output of unfinished items, with which their next run starts, here or at another driver.
    outputs: Outputs,
    cancelled: Cell<bool>,
    finished: Cell<bool>,
    /// Whether this process owns the job and should drive it.
    owned: Cell<bool>,
    /// Whether this process was told to drive the job, or has driven it.
    assigned: Cell<bool>,
    /// Whether a task of this process drives the job.
    driving: Cell<bool>,
    /// Whether this process drives the job and has read all results that other processes stored.
    caught_up: Cell<bool>,
    /// Items that were completed here and whose results may not be stored yet.
    completed: RefCell<HashSet<Name>>,
    /// Upper bound of the tokens of unfinished items, as reported by other drivers.
    max_open_tokens: Cell<u64>,
    /// Link on which the tokens of unfinished items were reported last, and their number.
    reported_tokens: Cell<Option<(LinkId, u64)>>,
    /// Notified when the results or the state change.
    changed: Notify,
}

/// # State
impl Job {
    pub(crate) fn new(id: Name, spec: JobSpec, buffers: ByteBudget) -> Self {
        Self {
            id,
            completed: RefCell::new(HashSet::new()),
            max_open_tokens: Cell::new(spec.tokens),
            reported_tokens: Cell::new(None),
            spec,
            items: OnceCell::new(),
            results: RefCell::new(Vec::new()),
            items_with_result: RefCell::new(HashSet::new()),
            next_segment: Cell::new(0),
            outputs: Outputs::new(buffers),
            cancelled: Cell::new(false),
            finished: Cell::new(false),
            owned: Cell::new(false),
            assigned: Cell::new(false),
            driving: Cell::new(false),
            caught_up: Cell::new(false),
            changed: Notify::new(),
        }
    }

    pub(crate) const fn id(&self) -> &Name {
        &self.id
    }

    /// Returns `true` if the job is cancelled or finished.
    pub(crate) fn is_terminal(&self) -> bool {
        self.cancelled.get() || self.finished.get()
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    pub(crate) fn is_assigned(&self) -> bool {
        self.assigned.get()
    }

    /// Records that this process was told to drive the job.
    pub(crate) fn assign(&self) {
        self.assigned.set(true);
    }

    /// Returns the status of the job as it is stored.
    pub(super) fn status(&self) -> JobStatus {
        JobStatus { finished: self.finished.get() }
    }

    pub(crate) fn is_driving(&self) -> bool {
        self.driving.get()
    }

    /// Returns `true` if this process drives the job and has all its stored results.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    pub(crate) fn segment_count(&self) -> u32 {
        self.next_segment.get()
    }

    pub(crate) fn results(&self) -> std::cell::Ref<'_, Vec<StoredResult>> {
        self.results.borrow()
    }

    /// Waits for the next change of the results or the state.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Stores the output of an item that another driver has run.
    pub(super) fn set_replica(&self, item: Name, progress: Progress) {
        if !self.is_terminal() && !self.has_result(&item) {
            self.outputs.set_replica(item, progress);
        }
    }

    pub(super) const fn outputs(&self) -> &Outputs {
        &self.outputs
    }

    /// Sends the output of all unfinished items to the driver that will drive the job next.
    fn replicate_to_backup(&self, node: &Node) {
        let Some(link) = node.peers.backup_for(node, &self.id) else { return };
        self.send_outputs(&link);
    }

    /// Sends the output of all unfinished items on a link.
    pub(super) fn send_outputs(&self, link: &LinkHandle) {
        for message in self.outputs.messages(&self.id) {
            link.send(message);
        }
    }

    /// Applies the status of the job in the store.
    pub(crate) fn on_status(&self, status: &str) {
        let status = serde_json::from_str::<Option<JobStatus>>(status).ok().flatten();
        if status.is_some_and(|status| status.finished) {
            self.finished.set(true);
            self.outputs.clear();
        }
    }

    /// Cancels the job; its driver stops all running items.
    pub(crate) fn cancel(&self) {
        self.cancelled.set(true);
        self.outputs.clear();
        self.changed.notify_waiters();
    }

    pub(crate) fn set_owned(&self, owned: bool) {
        if self.owned.replace(owned) && !owned {
            self.changed.notify_waiters();
        }
    }

    /// Marks the job as driven. Returns `false` if it already is.
    pub(crate) fn start_driving(&self) -> bool {
        !self.driving.replace(true)
    }

    pub(crate) fn stop_driving(&self) {
        self.driving.set(false);
        self.caught_up.set(false);
    }

    /// Returns the time at which all results are due, on the clock of this process.
    pub(crate) fn due(&self, node: &Node) -> Timestamp {
        let age = Clock::unix_ms().saturating_sub(self.spec.accepted_unix_ms);
        node.now() + Duration::from_millis(self.spec.target_ms.saturating_sub(age))
    }

    /// Appends a segment, which must be the next one.
    fn apply(&self, segment: Segment) {
        let mut results = self.results.borrow_mut();
        let mut items_with_result = self.items_with_result.borrow_mut();
        for result in segment.results {
            self.outputs.remove(&result.item);
            items_with_result.insert(Name::clone(&result.item));
            results.push(result);
        }
        drop(results);
        self.next_segment.set(self.next_segment.get() + 1);
        self.changed.notify_waiters();
    }

    fn has_result(&self, item: &Name) -> bool {
        self.items_with_result.borrow().contains(item)
    }

    /// Returns `true` if every item has a result in this process.
    pub(crate) fn has_all_results(&self) -> bool {
        self.items_with_result.borrow().len() >= self.spec.total as usize
    }
}

/// # Tokens of unfinished items
impl Job {
    /// Returns the tokens of all items that no endpoint is known to have finished.
    pub(crate) fn open_tokens(&self) -> u64 {
        let Some(items) = self.items.get() else { return self.max_open_tokens.get() };
        let completed = self.completed.borrow();
        let is_open =
            |item: &&Rc<JobItem>| !completed.contains(&item.id) && !self.has_result(&item.id);
        let tokens = items.iter().filter(is_open).map(|item| item.tokens).sum();
        self.max_open_tokens.get().min(tokens)
    }

    /// Lowers the tokens of unfinished items to those that another driver reported.
    pub(super) fn limit_open_tokens(&self, tokens: u64) {
        self.max_open_tokens.set(self.max_open_tokens.get().min(tokens));
    }

    /// Returns `true` if this number of tokens has not been reported on this link yet, and records it
    /// as reported. A report on an earlier link may be lost.
    pub(super) fn take_unreported(&self, link: LinkId, tokens: u64) -> bool {
        self.reported_tokens.replace(Some((link, tokens))) != Some((link, tokens))
    }
}

/// # Loading
impl Job {
    /// Returns the items. Reads them from the store if they are stored in separate objects.
    pub(crate) async fn items(&self, node: &Node) -> Result<&[Rc<JobItem>], StoreReadError> {
        if let Some(items) = self.items.get() {
            return Ok(items);
        }
        let mut stored = self.spec.items.clone();
        for part in 0..self.spec.parts {
            let name = JobSpec::part_name(&self.id, part);
            let GetResult::Found(object) = node.read(PARTS_KIND, &name).await else {
                return Err(StoreReadError);
            };
            let part_items: Vec<StoredItem> =
                serde_json::from_str(object.spec.get()).map_err(|_| StoreReadError)?;
            stored.extend(part_items);
        }
        let items = stored.into_iter().filter_map(StoredItem::decode).map(Rc::new).collect();
        Ok(self.items.get_or_init(|| items))
    }

    /// Reads the segments that other processes have added since the last read.
    pub(crate) async fn load_new_segments(&self, node: &Node) -> Result<(), StoreReadError> {
        loop {
            let number = self.next_segment.get();
            let name = Segment::name(&self.id, number);
            match node.read(RESULTS_KIND, &name).await {
                GetResult::Found(object) => {
                    let segment: Segment =
                        serde_json::from_str(object.spec.get()).map_err(|_| StoreReadError)?;
                    // Another task may have applied it in the meantime.
                    if self.next_segment.get() == number {
                        self.apply(segment);
                    }
                }
                GetResult::Missing => return Ok(()),
                GetResult::Unavailable => return Err(StoreReadError),
            }
        }
    }
}

/// # Driving
impl Job {
    /// Drives the job until it is cancelled or finished, or this process no longer owns it.
    pub(crate) async fn drive(self: &Rc<Self>, node: &Rc<Node>) {
        let Some(mut running) = self.start_items(node).await else { return };
        let open = running.len();
        let results = self.results.borrow().len();
        let items = self.items.get().into_iter().flatten();
        let bodies = bodies_hash(items.map(|item| &**item));
        let fields: [(&str, &dyn Display); 3] =
            [("open", &open), ("results", &results), ("bodies", &bodies)];
        node.events.emit(&catalogue::JOB_CLAIMED, Some(&self.id), &fields);
        let mut uncommitted: Vec<StoredResult> = Vec::new();
        let mut commit_at = None;
        while !self.is_terminal() && self.owned.get() {
            if running.is_empty() && uncommitted.is_empty() {
                break;
            }
            let commit_due = commit_at.filter(|_| !uncommitted.is_empty());
            tokio::select! {
                Some(result) = running.join_next(), if !running.is_empty() => match result {
                    Ok(result) => {
                        self.completed.borrow_mut().insert(Name::clone(&result.item));
                        commit_at.get_or_insert_with(|| Instant::now() + COMMIT_DELAY);
                        uncommitted.push(result);
                    }
                    Err(err) => log::error!("task of an item of job {} failed: {err}", self.id),
                },
                () = sleep_until(commit_due.unwrap_or_else(Instant::now)), if commit_due.is_some() => {
                    commit_at = None;
                    self.commit(node, &mut uncommitted).await;
                }
                () = self.changed.notified() => {}
            }
            if running.is_empty() && !uncommitted.is_empty() {
                self.commit(node, &mut uncommitted).await;
            }
        }
        // Running items are aborted. Completed ones are stored if a single attempt succeeds.
        running.abort_all();
        if !uncommitted.is_empty() && !self.cancelled.get() {
            self.try_commit(node, &mut uncommitted).await;
        }
        if !self.is_terminal() {
            self.replicate_to_backup(node);
        }
        self.record_finished(node).await;
    }

    /// Reads the results and items, and starts a task for each item without a result.
    async fn start_items(self: &Rc<Self>, node: &Rc<Node>) -> Option<JoinSet<StoredResult>> {
        sleep(OUTPUT_RECOVERY_TIME.saturating_sub(node.now() - Timestamp::ZERO)).await;
        loop {
            if self.is_terminal() || !self.owned.get() {
                return None;
            }
            if self.load_new_segments(node).await.is_ok()
                && let Ok(items) = self.items(node).await
            {
                self.caught_up.set(true);
                let mut running = JoinSet::new();
                for item in items.iter().filter(|item| !self.has_result(&item.id)) {
                    running.spawn_local(item::run(
                        Rc::clone(node),
                        Rc::clone(self),
                        Rc::clone(item),
                    ));
                }
                return Some(running);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Stores results, with retries until it succeeds or the job is cancelled.
    async fn commit(&self, node: &Node, uncommitted: &mut Vec<StoredResult>) {
        while !uncommitted.is_empty() && !self.is_terminal() {
            if !self.try_commit(node, uncommitted).await {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Tries to add one segment. Returns `true` if the number of the next segment is certain after
    /// that.
    async fn try_commit(&self, node: &Node, uncommitted: &mut Vec<StoredResult>) -> bool {
        uncommitted.retain(|result| !self.has_result(&result.item));
        if uncommitted.is_empty() {
            return true;
        }
        let mut bytes = 0;
        let fits = |result: &&StoredResult| {
            bytes += result.output.len();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = uncommitted.iter().take_while(fits).count().max(1);
        let segment =
            Segment { writer: node.incarnation.0, results: uncommitted[..count].to_vec() };
        let number = self.next_segment.get();
        let name = Segment::name(&self.id, number);
        match node.create(RESULTS_KIND, &name, segment.encode()).await {
            CreateResult::Done => {
                if self.next_segment.get() == number {
                    self.apply(segment);
                }
                uncommitted.drain(..count);
                true
            }
            // Another process or an earlier attempt of this one created the segment.
            CreateResult::Exists | CreateResult::Unknown => {
                self.load_new_segments(node).await.is_ok()
            }
            CreateResult::Unavailable => false,
            CreateResult::TooLarge => {
                log::error!("results of job {} exceed the object size limit of the store", self.id);
                false
            }
        }
    }

    /// Records in the store that all items have a result, so that no other process loads the job.
    async fn record_finished(&self, node: &Node) {
        if self.is_terminal() || !self.has_all_results() {
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
        log::debug!("status write of finished job {}: {updated:?}", self.id);
    }
}
