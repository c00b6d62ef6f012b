//! Output of the unfinished items of a job.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_wire::messages;

use super::progress::Progress;

/// Time for which output of an unknown job is kept. Running items send it every second, and items
/// that wait for a place send none.
const EARLY_OUTPUT_TIME: Duration = Duration::from_secs(30);

/// Output of unfinished items, by item id.
#[derive(Debug)]
pub(super) struct Outputs {
    items: RefCell<HashMap<Name, ItemOutput>>,
    buffers: ByteBudget,
}

/// Output of one item, up to two versions of it.
#[derive(Debug)]
struct ItemOutput {
    /// Output of the runs in this process.
    local: Rc<RefCell<Progress>>,
    /// Output received from another driver.
    replica: Option<Progress>,
}

impl ItemOutput {
    fn new(buffers: &ByteBudget) -> Self {
        Self { local: Rc::new(RefCell::new(Progress::new(buffers))), replica: None }
    }
}

impl Outputs {
    /// Creates the output of a job without items. All output counts towards `buffers`.
    pub(super) fn new(buffers: ByteBudget) -> Self {
        Self { items: RefCell::default(), buffers }
    }

    /// Stores the output received from another driver.
    pub(super) fn set_replica(&self, item: Name, progress: Progress) {
        let mut items = self.items.borrow_mut();
        items.entry(item).or_insert_with(|| ItemOutput::new(&self.buffers)).replica =
            Some(progress);
    }

    /// Returns the longest known output of an item, with which its next run starts.
    pub(super) fn longest(&self, item: &Name) -> Rc<RefCell<Progress>> {
        let mut items = self.items.borrow_mut();
        let output =
            items.entry(Name::clone(item)).or_insert_with(|| ItemOutput::new(&self.buffers));
        if let Some(replica) = output.replica.take()
            && replica.last_event_id() > output.local.borrow().last_event_id()
        {
            output.local.replace(replica);
        }
        Rc::clone(&output.local)
    }

    /// Discards the output of an item that must restart from its beginning.
    pub(super) fn reset(&self, item: &Name) {
        if let Some(output) = self.items.borrow_mut().get_mut(item) {
            output.replica = None;
            output.local.borrow_mut().clear();
        }
    }

    /// Removes an item that has a result.
    pub(super) fn remove(&self, item: &Name) {
        self.items.borrow_mut().remove(item);
    }

    /// Removes all items.
    pub(super) fn clear(&self) {
        self.items.borrow_mut().clear();
    }

    /// Returns the messages that send the output of all items to another driver.
    pub(super) fn messages(&self, job: &Name) -> Vec<messages::ItemProgress> {
        let items = self.items.borrow();
        let message = |(item, output): (&Name, &ItemOutput)| {
            let local = output.local.borrow();
            let replica = output.replica.as_ref();
            let longer = replica.filter(|replica| replica.last_event_id() > local.last_event_id());
            longer.unwrap_or(&local).to_message(job, item)
        };
        items.iter().filter_map(message).collect()
    }
}

/// Output that other drivers replicated for jobs which this process does not know yet.
#[derive(Debug, Default)]
pub(super) struct EarlyOutputs {
    jobs: RefCell<HashMap<Name, JobOutput>>,
}

#[derive(Debug, Default)]
struct JobOutput {
    updated_at: Timestamp,
    items: HashMap<Name, Progress>,
}

impl EarlyOutputs {
    /// Stores the output of an item.
    pub(super) fn insert(&self, now: Timestamp, job: Name, item: Name, progress: Progress) {
        let mut jobs = self.jobs.borrow_mut();
        let output = jobs.entry(job).or_default();
        output.updated_at = now;
        output.items.insert(item, progress);
    }

    /// Removes and returns the output of a job.
    pub(super) fn take(&self, job: &Name) -> HashMap<Name, Progress> {
        self.jobs.borrow_mut().remove(job).map(|output| output.items).unwrap_or_default()
    }

    /// Drops output that has not been updated for a while.
    pub(super) fn drop_old(&self, now: Timestamp) {
        self.jobs.borrow_mut().retain(|_, output| now - output.updated_at < EARLY_OUTPUT_TIME);
    }

    /// Returns the messages that send the output of the jobs for which `is_wanted` returns `true`.
    pub(super) fn messages(
        &self,
        is_wanted: impl Fn(&Name) -> bool,
    ) -> Vec<messages::ItemProgress> {
        let jobs = self.jobs.borrow();
        let wanted = jobs.iter().filter(|(job, _)| is_wanted(job));
        let items = wanted.flat_map(|(job, output)| {
            output.items.iter().map(move |(item, progress)| (job, item, progress))
        });
        items.filter_map(|(job, item, progress)| progress.to_message(job, item)).collect()
    }
}
