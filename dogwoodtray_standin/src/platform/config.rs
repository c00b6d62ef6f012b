//! Settings and faults of the platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::vm::Vm;
use crate::faults::FaultSettings;
use crate::faults::is_probability;

/// Maximum size of a value in the object API.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Settings of [`PlatformStandin`](super::PlatformStandin).
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address of the listener. Port 0 selects a free port.
    pub addr: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Maximum size of a value in bytes.
    pub max_value_bytes: usize,
    /// Limit of reads per second, including watches; `None` for no limit.
    pub reads_per_second: Option<f64>,
    /// Limit of writes per second; `None` for no limit.
    pub writes_per_second: Option<f64>,
    /// Initial list of VMs.
    pub vms: Vec<Vm>,
    /// Initial faults.
    pub faults: PlatformFaults,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 0,
            max_value_bytes: MAX_VALUE_BYTES,
            reads_per_second: None,
            writes_per_second: None,
            vms: Vec::new(),
            faults: PlatformFaults::default(),
        }
    }
}

impl PlatformConfig {
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

    /// Limits the reads and writes per second.
    #[must_use]
    pub fn rates(mut self, reads_per_second: f64, writes_per_second: f64) -> Self {
        self.reads_per_second = Some(reads_per_second);
        self.writes_per_second = Some(writes_per_second);
        self
    }

    /// Sets the initial list of VMs.
    #[must_use]
    pub fn vms(mut self, vms: Vec<Vm>) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the delay of changes to the list of VMs.
    #[must_use]
    pub fn vm_lag(mut self, lag: Duration) -> Self {
        self.faults.vm_lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self
    }

    /// Sets the initial faults.
    #[must_use]
    pub fn faults(mut self, faults: PlatformFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// Faults of the object API.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether all calls fail with status 503. Pending watches fail as well.
    pub outage: bool,
    /// Delay of each call in milliseconds.
    pub delay_ms: u64,
    /// Probability that a call takes effect, but its connection is closed without a reply.
    pub lost_reply: f64,
    /// Probability that a call is refused with status 503 and has no effect.
    pub refuse: f64,
    /// Delay of changes to the list of VMs in milliseconds.
    pub vm_lag_ms: u64,
}

impl FaultSettings for PlatformFaults {
    fn validation_error(&self) -> Option<&'static str> {
        let valid = is_probability(self.lost_reply) && is_probability(self.refuse);
        (!valid).then_some("lost_reply and refuse must lie between 0 and 1")
    }
}
