//! Settings of the dispatcher.

use std::time::Duration;

/// Settings of [`super::Dispatcher`].
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Share of the places of a service that batch work leaves free for the next online requests.
    /// A preempted stream costs a second prefill, so a few places absorb ordinary arrivals
    /// without one. A service with few places keeps none free.
    pub online_reserve: f64,
    /// Time that an endpoint is avoided after its first failure; it doubles with each further one.
    pub suspect_time: Duration,
    /// Longest time that an endpoint is avoided.
    pub max_suspect_time: Duration,
    /// Time that an endpoint that says it is full gets no further request.
    pub full_time: Duration,
    /// Time that an endpoint inside which a request waits gets no further one. The requests that
    /// run there end at a rate of one in some 90 ms.
    pub slow_time: Duration,
    /// Time a request holds a place before any was observed.
    pub initial_hold: Duration,
    /// Shortest `Retry-After` of a refusal.
    pub min_retry_after: Duration,
    /// Longest `Retry-After` of a refusal.
    pub max_retry_after: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            online_reserve: 1.0 / 64.0,
            // A crashed endpoint is back after seconds; a refused connection shows within 1 ms.
            suspect_time: Duration::from_millis(400),
            max_suspect_time: Duration::from_secs(3),
            full_time: Duration::from_millis(40),
            slow_time: Duration::from_millis(200),
            initial_hold: Duration::from_millis(500),
            min_retry_after: Duration::from_millis(250),
            // Callers honour at most a third of the time that they have left, here 5 s.
            max_retry_after: Duration::from_millis(1_600),
        }
    }
}
