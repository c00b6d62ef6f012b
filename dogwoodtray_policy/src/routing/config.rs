//! Settings of routing.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterConfig {
    /// Time per token, as a multiple of the median over the endpoints of the model, from which an
    /// endpoint counts as slow.
    pub slow_ratio: f64,
    /// Time without tokens from a slow endpoint after which it may be probed with a batch item or
    /// with a copy of an online request.
    pub probe_interval: Duration,
    /// Time without tokens from a slow endpoint after which it may be probed with an online request
    /// itself. It is longer, because the request takes several times its normal time if the
    /// endpoint is still slow.
    pub online_probe_interval: Duration,
    /// Load of the preferred endpoint, as a multiple of the mean, up to which affinity applies.
    pub affinity_load_bound: f64,
    /// Whether requests with the same prefix prefer the same endpoint.
    pub affinity: bool,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            slow_ratio: 2.0,
            probe_interval: Duration::from_secs(1),
            online_probe_interval: Duration::from_secs(20),
            affinity_load_bound: 1.25,
            affinity: true,
        }
    }
}
