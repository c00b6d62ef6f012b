//! Log of the events of the prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of events that are kept. The oldest ones are dropped, which leaves a gap.
const MAX_EVENTS: usize = 4_096;

/// Change of a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheChange {
    Stored,
    Evicted,
}

/// Event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    change: CacheChange,
    prefix: String,
}

/// Page of events. A jump in the sequence numbers means that events were lost.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEventPage {
    events: Vec<CacheEvent>,
    /// Sequence number to send as `after` in the next request.
    next: u64,
}

/// Event log with a delay and random losses.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    lag: Duration,
    loss_probability: f64,
    rng: StdRng,
    last_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    /// Creates an empty log.
    pub(crate) fn new(seed: u64, lag: Duration, loss_probability: f64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { lag, loss_probability, rng, last_seq: 0, events: VecDeque::new() }
    }

    /// Appends an event, or drops it with the configured probability.
    pub(crate) fn record(&mut self, now: Instant, change: CacheChange, prefix: &str) {
        self.last_seq += 1;
        if self.rng.random_bool(self.loss_probability) {
            return;
        }
        let event = CacheEvent { seq: self.last_seq, change, prefix: prefix.to_owned() };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number, except those that are still delayed.
    pub(crate) fn events_after(&self, now: Instant, after: u64) -> CacheEventPage {
        let events: Vec<_> = self
            .events
            .iter()
            .take_while(|(at, _)| now.duration_since(*at) >= self.lag)
            .filter(|(_, event)| event.seq > after)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.seq);
        CacheEventPage { events, next }
    }
}
