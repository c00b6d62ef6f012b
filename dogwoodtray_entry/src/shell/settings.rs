//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::BudgetConfig;

use crate::OrganizationLimits;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the process.
    pub node: Name,
    /// Data centre in which the process runs.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for links from other entries.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Budget of reads and writes at the platform.
    pub budget: BudgetConfig,
    /// Name of the routing policy.
    pub routing: Name,
    /// Whether slow requests are hedged with a second attempt.
    pub hedging: bool,
    /// Limits for each organization.
    pub organization_limits: OrganizationLimits,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a job body in bytes.
    pub max_job_bytes: usize,
    /// Maximum number of concurrent online requests.
    pub max_requests: usize,
    /// Timeout of requests that specify none.
    pub default_timeout: Duration,
    /// Maximum number of links to agents.
    pub max_links: usize,
    /// Interval between reads of the VM list.
    pub vm_poll_interval: Duration,
    /// Maximum time that a drain waits for running work.
    pub drain_timeout: Duration,
}

impl EntrySettings {
    /// Creates settings with default limits.
    #[must_use]
    pub fn new(
        node: impl Into<Name>,
        data_centre: impl Into<Name>,
        listen: SocketAddr,
        peer: SocketAddr,
        admin: SocketAddr,
        platform: SocketAddr,
    ) -> Self {
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            region: Name::from(""),
            listen,
            peer,
            admin,
            platform,
            budget: BudgetConfig::default(),
            routing: Name::from("adaptive"),
            hedging: true,
            organization_limits: OrganizationLimits::default(),
            max_body_bytes: 1024 * 1024,
            max_job_bytes: 64 * 1024 * 1024,
            max_requests: 8192,
            default_timeout: Duration::from_secs(60),
            max_links: 64,
            vm_poll_interval: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(30),
        }
    }
}
