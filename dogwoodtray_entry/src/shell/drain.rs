//! Requests during a graceful shutdown.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::DrainAdmission;
use dogwoodtray_runtime::Clock;

/// Decides which requests a draining entry still takes.
#[derive(Debug)]
pub(crate) struct EntryDrain {
    clock: Clock,
    admission: Mutex<DrainAdmission>,
}

impl EntryDrain {
    pub(crate) fn new() -> Self {
        Self { clock: Clock::start(), admission: Mutex::default() }
    }

    /// Records that a drain has begun, which takes at most `length`.
    pub(crate) fn begin(&self, length: Duration) {
        let now = self.clock.now();
        self.lock().begin(now, length);
    }

    /// Returns `true` if a request to a route is taken that runs for `timeout` at most.
    pub(crate) fn takes(&self, route: &str, timeout: Duration) -> bool {
        let now = self.clock.now();
        self.lock().takes(now, Some(route), now + timeout)
    }

    /// Returns the current time, from which the duration of a request is measured.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records that a request to a route, which began at `start`, was answered.
    pub(crate) fn record(&self, route: &Name, start: Timestamp) {
        let now = self.clock.now();
        self.lock().record(now, route, now - start);
    }

    fn lock(&self) -> MutexGuard<'_, DrainAdmission> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
