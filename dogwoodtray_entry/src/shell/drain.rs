//! Requests during a graceful shutdown.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::DrainWindow;
use dogwoodtray_policy::SlowestRequests;
use dogwoodtray_runtime::Clock;

/// Time after the start of a drain during which new connections still arrive. Load balancers check
/// readiness about once a second and remove a VM after two failed checks.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_500);

/// Decides which requests a draining entry still takes.
#[derive(Debug)]
pub(crate) struct EntryDrain {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    window: Option<DrainWindow>,
    slowest: SlowestRequests,
}

impl EntryDrain {
    pub(crate) fn new() -> Self {
        Self { clock: Clock::start(), state: Mutex::default() }
    }

    /// Records that a drain has begun, which takes at most `length`.
    pub(crate) fn begin(&self, length: Duration) {
        let now = self.clock.now();
        self.lock().window = Some(DrainWindow::new(now, BALANCER_REMOVAL_TIME, length));
    }

    /// Returns `true` if a request to a route is taken that runs for `timeout` at most.
    pub(crate) fn takes(&self, route: &str, timeout: Duration) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state
            .window
            .is_none_or(|window| window.takes(now, now + timeout, state.slowest.slowest(route)))
    }

    /// Returns the current time, from which the duration of a request is measured.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records that a request to a route, which began at `start`, was answered.
    pub(crate) fn record(&self, route: &Name, start: Timestamp) {
        let now = self.clock.now();
        self.lock().slowest.record(now, route, now - start);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
