//! Settings and faults of the service stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::FaultSettings;
use crate::faults::is_probability;

/// Settings of [`ServiceStandin`](super::ServiceStandin).
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address of the listener. Port 0 selects a free port.
    pub addr: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Duration of each run.
    pub delay: Duration,
    /// Initial faults.
    pub faults: ServiceFaults,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 0,
            delay: Duration::ZERO,
            faults: ServiceFaults::default(),
        }
    }
}

impl ServiceConfig {
    /// Sets the address of the listener.
    #[must_use]
    pub fn addr(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    /// Sets the seed of the random faults.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the duration of each run.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the initial faults.
    #[must_use]
    pub fn faults(mut self, faults: ServiceFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// Faults of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time in milliseconds that is added to the duration of each run.
    pub slow_ms: u64,
    /// Probability that a run fails with status 500.
    pub fail: f64,
    /// Probability that the connection is closed without a reply after the run.
    pub drop_after_run: f64,
}

impl FaultSettings for ServiceFaults {
    fn validation_error(&self) -> Option<&'static str> {
        let valid = is_probability(self.fail) && is_probability(self.drop_after_run);
        (!valid).then_some("fail and drop_after_run must lie between 0 and 1")
    }
}
