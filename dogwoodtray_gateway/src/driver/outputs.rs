//! Output of the items of a job that have no result yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dogwoodtray_coord::Name;
use dogwoodtray_wire::messages;

use super::progress::Progress;

/// Output by item.
#[derive(Debug, Default)]
pub(super) struct Outputs {
    items: RefCell<HashMap<Name, Output>>,
}

#[derive(Debug, Default)]
struct Output {
    /// Made by a run of this process.
    own: Rc<RefCell<Progress>>,
    /// Made by another driver.
    given: Progress,
}

impl Outputs {
    /// Keeps the output that another driver made.
    pub(super) fn keep(&self, item: Name, progress: Progress) {
        self.items.borrow_mut().entry(item).or_default().given = progress;
    }

    /// Returns the output that a run of an item goes on from, which is the longest that is known.
    pub(super) fn open(&self, item: &Name) -> Rc<RefCell<Progress>> {
        let mut items = self.items.borrow_mut();
        let output = items.entry(Name::clone(item)).or_default();
        let given = std::mem::take(&mut output.given);
        if given.last() > output.own.borrow().last() {
            output.own.replace(given);
        }
        Rc::clone(&output.own)
    }

    /// Forgets the output of an item that has to begin anew.
    pub(super) fn reset(&self, item: &Name) {
        if let Some(output) = self.items.borrow_mut().get_mut(item) {
            output.given = Progress::default();
            output.own.replace(Progress::default());
        }
    }

    /// Forgets an item that has a result.
    pub(super) fn remove(&self, item: &Name) {
        self.items.borrow_mut().remove(item);
    }

    /// Forgets all items.
    pub(super) fn clear(&self) {
        self.items.borrow_mut().clear();
    }

    /// Returns the messages that hand everything to another driver.
    pub(super) fn messages(&self, job: &Name) -> Vec<messages::ItemProgress> {
        let items = self.items.borrow();
        let message = |(item, output): (&Name, &Output)| {
            let own = output.own.borrow();
            let own_is_longer = own.last() >= output.given.last();
            if own_is_longer { own.message(job, item) } else { output.given.message(job, item) }
        };
        items.iter().filter_map(message).collect()
    }
}
