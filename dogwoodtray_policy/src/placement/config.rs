//! Settings of the dispatcher.

use std::time::Duration;

/// Settings of [`super::Dispatcher`].
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Share of the places of a service that batch work leaves free for online requests.
    /// Preemption costs a second prefill; a few free places absorb ordinary arrivals without it.
    /// The number of places is rounded down, so a small service reserves none.
    pub online_reserve: f64,
    /// Time without requests to an endpoint after its first failure; doubles with each further one.
    pub failure_backoff: Duration,
    /// Upper bound of the time without requests to an endpoint after failures.
    pub max_failure_backoff: Duration,
    /// Share of errors among the recent answers of an endpoint from which it is ejected.
    pub eject_error_share: f64,
    /// Multiple of the share of errors of the whole service that an endpoint must exceed to be
    /// ejected. Requests that fail everywhere then eject no endpoint.
    pub eject_error_ratio: f64,
    /// Upper bound of the time without requests to an endpoint after errors. It answers quickly, so
    /// a trial costs little.
    pub max_ejection: Duration,
    /// Time without requests to an endpoint that reported that it is full.
    pub full_backoff: Duration,
    /// Time without requests to an endpoint that has queued a request internally. Such an endpoint
    /// completes about one request every 90 ms.
    pub slow_backoff: Duration,
    /// Assumed time that a request holds a place, until the first observation.
    pub initial_hold_time: Duration,
    /// Lower bound of the `Retry-After` of a refusal.
    pub min_retry_after: Duration,
    /// Upper bound of the `Retry-After` of a refusal.
    pub max_retry_after: Duration,
    /// Whether endpoints are chosen by their speed, and waits are predicted from the work in progress.
    pub cost_based: bool,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            online_reserve: 1.0 / 64.0,
            // A crashed endpoint restarts within seconds; a refused connection fails within 1 ms.
            failure_backoff: Duration::from_millis(400),
            max_failure_backoff: Duration::from_secs(3),
            eject_error_share: 0.5,
            eject_error_ratio: 2.0,
            max_ejection: Duration::from_secs(2),
            full_backoff: Duration::from_millis(40),
            slow_backoff: Duration::from_millis(200),
            initial_hold_time: Duration::from_millis(500),
            min_retry_after: Duration::from_millis(250),
            // Clients honor a `Retry-After` of at most a third of their remaining time, here 5 s.
            max_retry_after: Duration::from_millis(1_600),
            cost_based: true,
        }
    }
}
