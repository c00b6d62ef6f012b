//! Decisions of a process that is about to stop.

use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

/// Time after the stop signal during which new connections still arrive. Load balancers check readiness
/// about once a second and remove a VM after two failed checks.
pub const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_500);

/// Time after which the slowest request of a route is forgotten, at the earliest; twice as long at
/// the latest.
const RETENTION: Duration = Duration::from_secs(30);

/// Time that a planned stop leaves for requests.
///
/// A request is taken if it ends in that time, whatever happens to it. While the load balancer still
/// sends new connections to this VM, a caller that is refused may come back here, so a request is also
/// taken unless others on its route have needed longer.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::DrainWindow;
///
/// let seconds = Duration::from_secs;
/// let start = Timestamp::ZERO;
/// let window = DrainWindow::new(start, seconds(2), seconds(7));
/// assert!(window.takes(start + seconds(1), start + seconds(7), None));
/// assert!(window.takes(start + seconds(1), start + seconds(9), Some(seconds(3))));
/// assert!(!window.takes(start + seconds(3), start + seconds(9), Some(seconds(3))));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainWindow {
    in_rotation_until: Timestamp,
    ends_at: Timestamp,
}

impl DrainWindow {
    /// Creates the window of a stop that begins now and ends after `length`. The load balancer sends
    /// new connections for `rotation` more.
    #[must_use]
    pub fn new(now: Timestamp, rotation: Duration, length: Duration) -> Self {
        Self { in_rotation_until: now + rotation, ends_at: now + length }
    }

    /// Returns `true` if a request is taken that runs until `deadline` at the latest. `slowest` is the
    /// time that the slowest recent request of its route took, if there was one.
    #[must_use]
    pub fn takes(&self, now: Timestamp, deadline: Timestamp, slowest: Option<Duration>) -> bool {
        if deadline <= self.ends_at {
            return true;
        }
        now < self.in_rotation_until && slowest.is_none_or(|time| now + time <= self.ends_at)
    }
}

/// Durations of the slowest recent request of each route.
#[derive(Debug, Default)]
pub struct SlowestRequests {
    current: HashMap<Name, Duration>,
    previous: HashMap<Name, Duration>,
    current_since: Timestamp,
}

impl SlowestRequests {
    /// Records a request that was answered.
    pub fn record(&mut self, now: Timestamp, route: &Name, duration: Duration) {
        if now - self.current_since >= RETENTION {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        match self.current.get_mut(route) {
            Some(slowest) => *slowest = duration.max(*slowest),
            None => {
                self.current.insert(Name::clone(route), duration);
            }
        }
    }

    /// Returns the time that the slowest recent request of a route took.
    #[must_use]
    pub fn slowest(&self, route: &str) -> Option<Duration> {
        self.current.get(route).max(self.previous.get(route)).copied()
    }
}

/// Requests that a process takes: all of them, until a planned stop begins.
#[derive(Debug, Default)]
pub struct DrainAdmission {
    window: Option<DrainWindow>,
    slowest: SlowestRequests,
}

impl DrainAdmission {
    /// Begins a stop that ends after `length`.
    pub fn begin(&mut self, now: Timestamp, length: Duration) {
        self.window = Some(DrainWindow::new(now, BALANCER_REMOVAL_TIME, length));
    }

    /// Records that a request was answered.
    pub fn record(&mut self, now: Timestamp, route: &Name, duration: Duration) {
        self.slowest.record(now, route, duration);
    }

    /// Returns `true` if a request is taken that runs until `deadline` at the latest. `route` is that
    /// whose recent requests it is compared with, if any.
    #[must_use]
    pub fn takes(&self, now: Timestamp, route: Option<&str>, deadline: Timestamp) -> bool {
        let Some(window) = self.window else { return true };
        window.takes(now, deadline, route.and_then(|route| self.slowest.slowest(route)))
    }
}
