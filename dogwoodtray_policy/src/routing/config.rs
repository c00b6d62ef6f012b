//! Settings of routing.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterConfig {
    /// Time per token, as a multiple of the median of the peers, from which an endpoint is slow.
    pub slow_ratio: f64,
    /// Least time between two probes of a slow endpoint, and without any token from it.
    pub probe_interval: Duration,
    /// Time without a probe after which one is due whatever the share.
    pub max_probe_interval: Duration,
    /// Share of the online requests that may be spent on probes.
    pub probe_share: f64,
    /// Load of the preferred endpoint, as a multiple of the mean, up to which affinity holds.
    pub affinity_load_bound: f64,
    /// Whether requests with a common prefix prefer the same endpoint.
    pub affinity: bool,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            slow_ratio: 2.0,
            probe_interval: Duration::from_secs(1),
            max_probe_interval: Duration::from_secs(30),
            probe_share: 0.005,
            affinity_load_bound: 1.25,
            affinity: true,
        }
    }
}
