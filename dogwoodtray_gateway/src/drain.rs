//! Requests during a graceful stop.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::DrainAdmission;
use tokio::sync::watch;

/// Requests that are taken, and the end of a graceful stop.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    admission: RefCell<DrainAdmission>,
    has_ended: watch::Sender<bool>,
}

impl Drain {
    /// Begins a stop that ends after `length`.
    pub(crate) fn begin(&self, now: Timestamp, length: Duration) {
        self.admission.borrow_mut().begin(now, length);
    }

    /// Ends the wait for requests that are still open.
    pub(crate) fn end(&self) {
        self.has_ended.send_replace(true);
    }

    /// Records that a request was answered.
    pub(crate) fn record(&self, now: Timestamp, route: &Name, duration: Duration) {
        self.admission.borrow_mut().record(now, route, duration);
    }

    /// Returns `true` if a request is taken that runs until `deadline` at the latest.
    pub(crate) fn takes(&self, now: Timestamp, route: Option<&str>, deadline: Timestamp) -> bool {
        self.admission.borrow().takes(now, route, deadline)
    }

    /// Waits for an output. Returns `None` if the stop ends before.
    pub(crate) async fn until_end<T>(&self, output: impl Future<Output = T>) -> Option<T> {
        let mut has_ended = self.has_ended.subscribe();
        tokio::select! {
            output = output => Some(output),
            // The sender lives as long as this value.
            _ = has_ended.wait_for(|has_ended| *has_ended) => None,
        }
    }
}
