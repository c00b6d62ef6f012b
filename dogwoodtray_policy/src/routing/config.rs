//! Settings of routing.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterConfig {
    /// Time per token, as a multiple of the median of the peers, from which an endpoint is slow.
    pub slow_ratio: f64,
    /// Time without any token from a slow endpoint after which a copy may probe it.
    pub probe_interval: Duration,
    /// The same for a request that has no other attempt. It is longer, because a request that probes
    /// an endpoint which is still slow takes several times its normal time.
    pub lone_probe_interval: Duration,
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
            lone_probe_interval: Duration::from_secs(20),
            affinity_load_bound: 1.25,
            affinity: true,
        }
    }
}
