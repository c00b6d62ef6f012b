//! How long items run, as observed.

use std::cell::Cell;
use std::time::Duration;

/// Weight of a new observation.
const WEIGHT: f64 = 0.1;

/// Time of a whole item before any was observed.
const INITIAL_TIME: Duration = Duration::from_secs(5);

/// Events of a whole item before any was observed.
const INITIAL_EVENTS: f64 = 150.0;

/// Least time that an item is expected to need, for its prompt.
const MIN_TIME: Duration = Duration::from_millis(100);

/// Mean time and events of items.
#[derive(Debug)]
pub(super) struct Pace {
    event_seconds: Cell<f64>,
    events: Cell<f64>,
}

impl Default for Pace {
    fn default() -> Self {
        let event_seconds = Cell::new(INITIAL_TIME.as_secs_f64() / INITIAL_EVENTS);
        Self { event_seconds, events: Cell::new(INITIAL_EVENTS) }
    }
}

impl Pace {
    /// Notes a run that ended an item with `total` events, of which it made `made`.
    pub(super) fn observe(&self, total: usize, made: usize, took: Duration) {
        if made == 0 {
            return;
        }
        average(&self.event_seconds, took.as_secs_f64() / made as f64);
        average(&self.events, total as f64);
    }

    /// Returns the time that an item with this many events still needs.
    pub(super) fn left(&self, events: usize) -> Duration {
        let left = (self.events.get() - events as f64).max(0.0);
        Duration::from_secs_f64(left * self.event_seconds.get()).max(MIN_TIME)
    }
}

fn average(mean: &Cell<f64>, seen: f64) {
    mean.set(mean.get() + WEIGHT * (seen - mean.get()));
}
