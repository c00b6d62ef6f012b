//! Values that are read with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Value with a history, so that reads return it as it was some time ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    /// Values from the oldest to the latest. The first one is returned by reads.
    history: VecDeque<(Instant, T)>,
    latest: T,
}

impl<T: Clone> Lagged<T> {
    /// Creates a value that reads return immediately.
    pub(crate) fn new(now: Instant, value: T) -> Self {
        Self { history: VecDeque::from([(now, value.clone())]), latest: value }
    }

    /// Returns the latest value, without the lag.
    pub(crate) const fn latest(&self) -> &T {
        &self.latest
    }

    /// Records a new value and drops values that are no longer needed.
    pub(crate) fn record(&mut self, now: Instant, lag: Duration, value: T) {
        self.history.push_back((now, value.clone()));
        self.latest = value;
        self.prune(now, lag);
    }

    /// Returns the value as it was `lag` ago, together with its age.
    pub(crate) fn read(&mut self, now: Instant, lag: Duration) -> (Duration, T) {
        self.prune(now, lag);
        match self.history.front() {
            Some((at, value)) => (now.duration_since(*at), value.clone()),
            None => (Duration::ZERO, self.latest.clone()),
        }
    }

    fn prune(&mut self, now: Instant, lag: Duration) {
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.history.pop_front();
        }
    }
}
