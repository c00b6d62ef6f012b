//! Settings and faults.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::FaultSet;
use crate::faults::is_probability;

/// Settings of [`ServiceStandin`](super::ServiceStandin).
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address of the listener. Port 0 picks a free one.
    pub addr: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Time that each run takes.
    pub delay: Duration,
    /// Faults at the start.
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

    /// Sets the time that each run takes.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the faults at the start.
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
    /// Milliseconds that each run takes beyond the usual delay.
    pub slow_ms: u64,
    /// Probability that a run fails with status 500.
    pub fail: f64,
    /// Probability that the connection is closed without an answer after the run.
    pub drop_after_run: f64,
}

impl FaultSet for ServiceFaults {
    fn problem(&self) -> Option<&'static str> {
        let valid = is_probability(self.fail) && is_probability(self.drop_after_run);
        (!valid).then_some("fail and drop_after_run must lie between 0 and 1")
    }
}
