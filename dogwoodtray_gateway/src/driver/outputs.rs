//! Output of the unfinished items of a job.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dogwoodtray_coord::Name;
use dogwoodtray_wire::messages;

use super::progress::Progress;

/// Output of unfinished items, by item id.
#[derive(Debug, Default)]
pub(super) struct Outputs {
    items: RefCell<HashMap<Name, ItemOutput>>,
}

/// Output of one item, up to two versions of it.
#[derive(Debug, Default)]
struct ItemOutput {
    /// Output of the runs in this process.
    local: Rc<RefCell<Progress>>,
    /// Output received from another driver.
    replica: Progress,
}

impl Outputs {
    /// Stores the output received from another driver.
    pub(super) fn set_replica(&self, item: Name, progress: Progress) {
        self.items.borrow_mut().entry(item).or_default().replica = progress;
    }

    /// Returns the longest known output of an item, with which its next run starts.
    pub(super) fn longest(&self, item: &Name) -> Rc<RefCell<Progress>> {
        let mut items = self.items.borrow_mut();
        let output = items.entry(Name::clone(item)).or_default();
        let replica = std::mem::take(&mut output.replica);
        if replica.last_event_id() > output.local.borrow().last_event_id() {
            output.local.replace(replica);
        }
        Rc::clone(&output.local)
    }

    /// Discards the output of an item that must restart from its beginning.
    pub(super) fn reset(&self, item: &Name) {
        if let Some(output) = self.items.borrow_mut().get_mut(item) {
            output.replica = Progress::default();
            output.local.replace(Progress::default());
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
            let local_is_longer = local.last_event_id() >= output.replica.last_event_id();
            if local_is_longer {
                local.to_message(job, item)
            } else {
                output.replica.to_message(job, item)
            }
        };
        items.iter().filter_map(message).collect()
    }
}
