//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

const ROUTE_POLICIES: &[&str] = &["adaptive", "round-robin", "least-outstanding"];

const SETTINGS: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::REGION,
    &setting::LISTEN,
    &setting::PEER,
    &setting::ADMIN,
    &setting::PLATFORM,
    &setting::ROUTE_POLICY,
    &setting::ORG_REQUESTS_PER_S,
    &setting::ORG_OPEN_REQUESTS,
    &setting::PLATFORM_READS_PER_MIN,
    &setting::PLATFORM_WRITES_PER_MIN,
    &setting::DRAIN_TIMEOUT_S,
];

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the node.
    pub node: Name,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that other processes of the fleet connect to.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Name of the routing policy.
    pub route_policy: &'static str,
    /// Limits of an organisation.
    pub organisation_limits: OrganisationLimits,
    /// Share of this entry in the rate limits of the platform.
    pub platform_share: PlatformShare,
    /// Maximum time that a drain waits for open requests.
    pub drain_timeout: Duration,
}

/// Rate limits of the calls that one entry makes to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformShare {
    /// Reads per minute, including watches.
    pub reads_per_min: u32,
    /// Writes per minute.
    pub writes_per_min: u32,
}

/// Limits of one organisation at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationLimits {
    /// Requests per second.
    pub requests_per_s: u32,
    /// Concurrent requests.
    pub open_requests: u32,
}

impl EntrySettings {
    /// Creates the settings from the arguments and environment variables of this process.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings, or the requested help text.
    pub fn from_process() -> Result<Self, SettingsFailure> {
        Self::parse(Args::current_args())
    }

    /// Parses the settings from `args`; missing ones are read from the environment of this process.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings, or the requested help text.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodtray_cli::settings::EntrySettings;
    ///
    /// let args = [
    ///     "--node=e1", "--data-centre=zutphen", "--region=nl-oost", "--listen=0.0.0.0:8080",
    ///     "--peer=10.0.0.7:8081", "--admin=10.0.0.7:8082", "--platform=10.0.0.1:80",
    /// ];
    /// let settings = EntrySettings::parse(args.as_slice()).unwrap();
    /// assert_eq!(settings.drain_timeout.as_secs(), 30);
    /// ```
    pub fn parse<'a>(args: impl Into<Args<'a>>) -> Result<Self, SettingsFailure> {
        let options = setting::option_parser(SETTINGS, "Serves callers and drives jobs");
        Self::from_values(options.run_inner(args).map_err(SettingsFailure::Arguments)?)
    }

    fn from_values(mut values: Values) -> Result<Self, SettingsFailure> {
        let settings = Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            region: values.name(&setting::REGION),
            listen: values.listen_addr(&setting::LISTEN),
            peer: values.advertised_addr(&setting::PEER),
            admin: values.listen_addr(&setting::ADMIN),
            platform: values.remote_addr(&setting::PLATFORM),
            route_policy: ROUTE_POLICIES
                [values.choice_index(&setting::ROUTE_POLICY, ROUTE_POLICIES)],
            organisation_limits: OrganisationLimits {
                requests_per_s: values.number(&setting::ORG_REQUESTS_PER_S, 1..=1_000_000),
                open_requests: values.number(&setting::ORG_OPEN_REQUESTS, 1..=1_000_000),
            },
            platform_share: PlatformShare {
                reads_per_min: values.number(&setting::PLATFORM_READS_PER_MIN, 1..=1_000_000),
                writes_per_min: values.number(&setting::PLATFORM_WRITES_PER_MIN, 1..=1_000_000),
            },
            drain_timeout: Duration::from_secs(values.number(&setting::DRAIN_TIMEOUT_S, 1..=600)),
        };
        values.check_distinct_addrs(&[
            (&setting::LISTEN, settings.listen),
            (&setting::PEER, settings.peer),
            (&setting::ADMIN, settings.admin),
        ]);
        values.finish(settings)
    }
}
