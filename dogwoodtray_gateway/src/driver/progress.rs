//! Output of an item that has not ended.

use dogwoodtray_coord::Name;
use dogwoodtray_wire::messages;

/// Output of an item so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    data: Vec<String>,
    last: Option<u64>,
}

impl Progress {
    pub(super) const fn new(data: Vec<String>, last: u64) -> Self {
        Self { data, last: Some(last) }
    }

    /// Returns the id of the last event.
    pub(super) const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the count of events.
    pub(super) const fn events(&self) -> usize {
        self.data.len()
    }

    /// Adds an event. Returns `false` if events before it are missing.
    pub(super) fn add(&mut self, id: Option<u64>, data: Option<String>) -> bool {
        if let (Some(last), Some(id)) = (self.last, id) {
            if id <= last {
                return true;
            }
            if id != last + 1 {
                return false;
            }
        }
        self.last = id.or(self.last);
        self.data.extend(data);
        true
    }

    /// Returns the whole output.
    pub(super) fn output(&self) -> String {
        self.data.join("\n")
    }

    /// Returns the message that hands the output to another driver.
    pub(super) fn message(&self, job: &Name, item: &Name) -> Option<messages::ItemProgress> {
        Some(messages::ItemProgress {
            job: job.to_string(),
            item: item.to_string(),
            last_event: self.last?,
            data: self.data.clone(),
        })
    }
}
