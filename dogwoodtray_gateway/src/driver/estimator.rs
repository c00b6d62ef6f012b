//! Estimate of the remaining run time of items.

use std::cell::Cell;
use std::time::Duration;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Assumed run time of an item before the first observation.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(5);

/// Assumed number of events of an item before the first observation.
const INITIAL_EVENTS: f64 = 150.0;

/// Minimum estimate, which covers the prefill of the prompt.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(100);

/// Moving averages of the time per event and of the events per item.
#[derive(Debug)]
pub(super) struct RunTimeEstimator {
    mean_seconds_per_event: Cell<f64>,
    mean_events: Cell<f64>,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        let mean_seconds_per_event = Cell::new(INITIAL_RUN_TIME.as_secs_f64() / INITIAL_EVENTS);
        Self { mean_seconds_per_event, mean_events: Cell::new(INITIAL_EVENTS) }
    }
}

impl RunTimeEstimator {
    /// Records a run that completed an item with `total` events, of which the run itself produced
    /// `produced` in the time `elapsed`.
    pub(super) fn observe(&self, total: usize, produced: usize, elapsed: Duration) {
        if produced == 0 {
            return;
        }
        update_average(&self.mean_seconds_per_event, elapsed.as_secs_f64() / produced as f64);
        update_average(&self.mean_events, total as f64);
    }

    /// Returns the expected remaining time of an item that has this many events.
    pub(super) fn remaining(&self, events: usize) -> Duration {
        let remaining = (self.mean_events.get() - events as f64).max(0.0);
        Duration::from_secs_f64(remaining * self.mean_seconds_per_event.get())
            .max(MIN_REMAINING_TIME)
    }
}

fn update_average(mean: &Cell<f64>, value: f64) {
    mean.set(mean.get() + SMOOTHING_FACTOR * (value - mean.get()));
}
