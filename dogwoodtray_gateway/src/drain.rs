//! Requests during a graceful stop.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::DrainWindow;
use dogwoodtray_policy::SlowestRequests;
use tokio::sync::watch;

/// State of a graceful stop, and the durations of recent requests.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    window: Cell<Option<DrainWindow>>,
    slowest: RefCell<SlowestRequests>,
    has_ended: watch::Sender<bool>,
}

impl Drain {
    /// Records that a stop has begun, which ends after `length`. The load balancer sends new
    /// connections for `rotation` more.
    pub(crate) fn begin(&self, now: Timestamp, rotation: Duration, length: Duration) {
        self.window.set(Some(DrainWindow::new(now, rotation, length)));
    }

    /// Ends the wait for requests that are still open.
    pub(crate) fn end(&self) {
        self.has_ended.send_replace(true);
    }

    /// Records that a request was answered.
    pub(crate) fn record(&self, now: Timestamp, route: &Name, duration: Duration) {
        self.slowest.borrow_mut().record(now, route, duration);
    }

    /// Returns `true` if a request is taken that runs until `deadline` at the latest.
    pub(crate) fn takes(&self, now: Timestamp, route: &str, deadline: Timestamp) -> bool {
        let Some(window) = self.window.get() else { return true };
        window.takes(now, deadline, self.slowest.borrow().slowest(route))
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
