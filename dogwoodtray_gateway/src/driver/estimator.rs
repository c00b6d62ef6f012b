//! Estimate of the remaining run time of items.

use std::cell::Cell;
use std::time::Duration;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Assumed run time of an item before the first observation.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(5);

/// Assumed number of events of an item before the first observation.
const INITIAL_EVENTS: f64 = 150.0;

/// Assumed number of events for each token of an item before the first observation.
const INITIAL_EVENTS_PER_TOKEN: f64 = 0.07;

/// Minimum estimate, which covers the prefill of the prompt.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(100);

/// Maximum estimate. Callers state the tokens of an item, which may be any number.
const MAX_REMAINING_TIME: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Moving averages of the time per event, and of the events per item and per token of an item.
#[derive(Debug)]
pub(super) struct RunTimeEstimator {
    mean_seconds_per_event: Cell<f64>,
    mean_events: Cell<f64>,
    mean_events_per_token: Cell<f64>,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        let mean_seconds_per_event = Cell::new(INITIAL_RUN_TIME.as_secs_f64() / INITIAL_EVENTS);
        Self {
            mean_seconds_per_event,
            mean_events: Cell::new(INITIAL_EVENTS),
            mean_events_per_token: Cell::new(INITIAL_EVENTS_PER_TOKEN),
        }
    }
}

impl RunTimeEstimator {
    /// Records a run that completed an item of `tokens` tokens with `total` events, of which the run
    /// itself produced `produced` in the time `elapsed`.
    pub(super) fn observe(&self, tokens: u64, total: usize, produced: usize, elapsed: Duration) {
        if produced == 0 {
            return;
        }
        update_average(&self.mean_seconds_per_event, elapsed.as_secs_f64() / produced as f64);
        update_average(&self.mean_events, total as f64);
        if tokens > 0 {
            update_average(&self.mean_events_per_token, total as f64 / tokens as f64);
        }
    }

    /// Returns the expected remaining time of an item of `tokens` tokens that has this many events.
    /// If its tokens are unknown, it counts as an average item.
    pub(super) fn remaining(&self, tokens: u64, events: usize) -> Duration {
        let expected = match tokens {
            0 => self.mean_events.get(),
            tokens => tokens as f64 * self.mean_events_per_token.get(),
        };
        let remaining = (expected - events as f64).max(0.0);
        let seconds = remaining * self.mean_seconds_per_event.get();
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_REMAINING_TIME)
            .clamp(MIN_REMAINING_TIME, MAX_REMAINING_TIME)
    }
}

fn update_average(mean: &Cell<f64>, value: f64) {
    mean.set(mean.get() + SMOOTHING_FACTOR * (value - mean.get()));
}
