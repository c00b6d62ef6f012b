//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

/// Names of the routing policies.
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
    /// Data centre that the node stands in.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other processes of the fleet, as they dial it.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Name of the routing policy.
    pub route_policy: &'static str,
    /// Limits of an organisation.
    pub organisation_limits: OrganisationLimits,
    /// Share of the platform's rates.
    pub platform_share: PlatformShare,
    /// Longest wait for open requests after a drain began.
    pub drain_timeout: Duration,
}

/// Calls to the platform that one entry may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformShare {
    /// Reads a minute, watches included.
    pub reads_per_min: u32,
    /// Writes a minute.
    pub writes_per_min: u32,
}

/// Limits of one organisation at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationLimits {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests that are open at a time.
    pub open_requests: u32,
}

impl EntrySettings {
    /// Reads the arguments and the environment variables of this process.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed, or the help that was asked for.
    pub fn from_process() -> Result<Self, SettingsFailure> {
        Self::parse(Args::current_args())
    }

    /// Reads arguments, and the environment variables of this process for those that are missing.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed, or the help that was asked for.
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
        let options = setting::options_of(SETTINGS, "Serves callers and drives jobs");
        Self::check(options.run_inner(args).map_err(SettingsFailure::Arguments)?)
    }

    fn check(mut values: Values) -> Result<Self, SettingsFailure> {
        let settings = Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            region: values.name(&setting::REGION),
            listen: values.listen(&setting::LISTEN),
            peer: values.listen_known(&setting::PEER),
            admin: values.listen(&setting::ADMIN),
            platform: values.dial(&setting::PLATFORM),
            route_policy: ROUTE_POLICIES[values.word(&setting::ROUTE_POLICY, ROUTE_POLICIES)],
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
        values.distinct(&[
            (&setting::LISTEN, settings.listen),
            (&setting::PEER, settings.peer),
            (&setting::ADMIN, settings.admin),
        ]);
        values.finish(settings)
    }
}
