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
    /// Data centre that it stands in.
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
    /// Share of the platform's rates.
    pub budget: BudgetConfig,
    /// Name of the routing policy.
    pub routing: Name,
    /// Whether slow requests get a second attempt.
    pub hedging: bool,
    /// Limits of one organization.
    pub organization_limits: OrganizationLimits,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest body of a job, in bytes.
    pub max_job_bytes: usize,
    /// Most online requests at a time.
    pub max_requests: usize,
    /// Time that a request may take when nothing else is said.
    pub default_timeout: Duration,
    /// Most links to agents.
    pub max_links: usize,
    /// Time between readings of the VM list.
    pub vm_poll: Duration,
    /// Longest time that a drain waits for running work.
    pub drain_timeout: Duration,
}

impl EntrySettings {
    /// Creates settings with the usual limits.
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
            vm_poll: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(30),
        }
    }
}
