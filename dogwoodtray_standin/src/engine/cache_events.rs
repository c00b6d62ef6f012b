//! Events of the prefix cache, as callers see them.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::Instant;

/// Events that are kept. Older ones become a gap.
const EVENT_LIMIT: usize = 4_096;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheChange {
    Stored,
    Evicted,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    change: CacheChange,
    prefix: String,
}

/// Page of events. A jump in the sequence numbers is a gap.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEventPage {
    events: Vec<CacheEvent>,
    /// Number to ask after next.
    next: u64,
}

/// Log of events that are late and have gaps.
#[derive(Debug)]
pub(crate) struct CacheEvents {
    lag: Duration,
    loss: f64,
    rng: StdRng,
    last_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEvents {
    /// Creates an empty log.
    pub(crate) fn new(seed: u64, lag: Duration, loss: f64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { lag, loss, rng, last_seq: 0, events: VecDeque::new() }
    }

    /// Appends an event, unless it is lost.
    pub(crate) fn record(&mut self, now: Instant, change: CacheChange, prefix: &str) {
        self.last_seq += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let event = CacheEvent { seq: self.last_seq, change, prefix: prefix.to_owned() };
        self.events.push_back((now, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that are old enough.
    pub(crate) fn after(&self, now: Instant, after: u64) -> CacheEventPage {
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
