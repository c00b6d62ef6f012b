//! Values that are read late.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Keeps the past of a value, so that readers see it as it was some time ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    /// Values in order of time, the visible one first.
    past: VecDeque<(Instant, T)>,
    latest: T,
}

impl<T: Clone> Lagged<T> {
    /// Creates a value that is visible at once.
    pub(crate) fn new(now: Instant, value: T) -> Self {
        Self { past: VecDeque::from([(now, value.clone())]), latest: value }
    }

    /// Returns the value without the lag.
    pub(crate) const fn latest(&self) -> &T {
        &self.latest
    }

    /// Records a new value.
    pub(crate) fn record(&mut self, now: Instant, lag: Duration, value: T) {
        self.past.push_back((now, value.clone()));
        self.latest = value;
        self.forget(now, lag);
    }

    /// Returns the value as it was `lag` ago, with its age.
    pub(crate) fn read(&mut self, now: Instant, lag: Duration) -> (Duration, T) {
        self.forget(now, lag);
        match self.past.front() {
            Some((at, value)) => (now.duration_since(*at), value.clone()),
            None => (Duration::ZERO, self.latest.clone()),
        }
    }

    fn forget(&mut self, now: Instant, lag: Duration) {
        while self.past.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.past.pop_front();
        }
    }
}
