//! Settings of the processes on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::LimitTolerance;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

const GATEWAY_SETTINGS: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::LISTEN,
    &setting::READINESS,
    &setting::PEER,
    &setting::ADMIN,
    &setting::PLATFORM,
    &setting::GRACE_S,
    &setting::RESULTS_KEPT_S,
    &setting::MEMORY_MB,
    &setting::REVOKE_MS,
    &setting::STRICT_REVOKE,
    &setting::CONFIG_APPLY_MS,
    &setting::QUOTA_WINDOW_S,
    &setting::QUOTA_OVERRUN,
    &setting::QUOTA_SLACK,
];

const DRIVER_SETTINGS: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::PEER,
    &setting::ADMIN,
    &setting::PLATFORM,
    &setting::GRACE_S,
    &setting::RESULTS_KEPT_S,
    &setting::MEMORY_MB,
    &setting::REVOKE_MS,
    &setting::STRICT_REVOKE,
    &setting::CONFIG_APPLY_MS,
    &setting::QUOTA_WINDOW_S,
    &setting::QUOTA_OVERRUN,
    &setting::QUOTA_SLACK,
];

/// Settings that gateways and drivers share.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: Name,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Address that other processes of the fleet connect to.
    pub peer: SocketAddr,
    /// Address to serve metrics on.
    pub admin: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Time between the stop signal and the forced kill of the process.
    pub grace: Duration,
    /// Time after the submission of a job during which its results can be read.
    pub results_kept: Duration,
    /// Memory of the process in MiB.
    pub memory_mb: u32,
    /// Time after a key is taken away after which it is refused, also at a VM that is cut off.
    pub revocation: Option<Duration>,
    /// Time within which a configuration is in force at connected processes.
    pub config_apply: Duration,
    /// By how much the limits of organisations may be exceeded.
    pub limit_tolerance: LimitTolerance,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Settings that gateways share with drivers.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of readiness checks.
    pub readiness: SocketAddr,
}

/// Settings of a driver.
#[derive(Clone, Debug, PartialEq)]
pub struct DriverSettings {
    /// Settings that drivers share with gateways.
    pub node: NodeSettings,
}

impl NodeSettings {
    fn from_values(values: &mut Values) -> Self {
        let results_kept = values.number(&setting::RESULTS_KEPT_S, 1..=10_000_000);
        Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            peer: values.advertised_addr(&setting::PEER),
            admin: values.listen_addr(&setting::ADMIN),
            platform: values.remote_addr(&setting::PLATFORM),
            grace: Duration::from_secs(values.number(&setting::GRACE_S, 1..=600)),
            results_kept: Duration::from_secs(results_kept),
            memory_mb: values.number(&setting::MEMORY_MB, 32..=1_048_576),
            revocation: strict_revocation(values),
            config_apply: Duration::from_millis(
                values.number(&setting::CONFIG_APPLY_MS, 1..=3_600_000),
            ),
            limit_tolerance: limit_tolerance(values),
        }
    }
}

fn strict_revocation(values: &mut Values) -> Option<Duration> {
    let bound = values.optional_number(&setting::REVOKE_MS, 1..=86_400_000);
    let is_strict = values.optional_boolean(&setting::STRICT_REVOKE);
    bound.filter(|_| is_strict).map(Duration::from_millis)
}

fn limit_tolerance(values: &mut Values) -> LimitTolerance {
    let default = LimitTolerance::default();
    let window = values.optional_number(&setting::QUOTA_WINDOW_S, 0.001..=86_400.0);
    let overrun = values.optional_number(&setting::QUOTA_OVERRUN, 0.0..=1_000.0);
    let slack = values.optional_number(&setting::QUOTA_SLACK, 0.0..=1_000_000.0);
    LimitTolerance {
        window: window.map_or(default.window, Duration::from_secs_f64),
        overrun: overrun.unwrap_or(default.overrun),
        slack: slack.unwrap_or(default.slack),
    }
}

impl GatewaySettings {
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
    /// use dogwoodtray_cli::settings::GatewaySettings;
    ///
    /// let args = [
    ///     "--node=g1", "--data-centre=zutphen", "--listen=10.0.0.7:80", "--readiness=10.0.0.7:81",
    ///     "--peer=10.0.0.7:82", "--admin=10.0.0.7:83", "--platform=10.0.0.1:80",
    /// ];
    /// let settings = GatewaySettings::parse(args.as_slice()).unwrap();
    /// assert_eq!(settings.node.grace.as_secs(), 8);
    /// ```
    pub fn parse<'a>(args: impl Into<Args<'a>>) -> Result<Self, SettingsFailure> {
        let options =
            setting::option_parser(GATEWAY_SETTINGS, "Serves the routes of the users' platform");
        let mut values = options.run_inner(args).map_err(SettingsFailure::Arguments)?;
        let settings = Self {
            node: NodeSettings::from_values(&mut values),
            listen: values.listen_addr(&setting::LISTEN),
            readiness: values.listen_addr(&setting::READINESS),
        };
        values.check_distinct_addrs(&[
            (&setting::LISTEN, settings.listen),
            (&setting::READINESS, settings.readiness),
            (&setting::PEER, settings.node.peer),
            (&setting::ADMIN, settings.node.admin),
        ]);
        values.finish(settings)
    }
}

impl DriverSettings {
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
    /// use dogwoodtray_cli::settings::DriverSettings;
    ///
    /// let args = [
    ///     "--node=d1", "--data-centre=zutphen", "--peer=10.0.0.7:82", "--admin=10.0.0.7:83",
    ///     "--platform=10.0.0.1:80",
    /// ];
    /// let settings = DriverSettings::parse(args.as_slice()).unwrap();
    /// assert_eq!(settings.node.results_kept.as_secs(), 120);
    /// ```
    pub fn parse<'a>(args: impl Into<Args<'a>>) -> Result<Self, SettingsFailure> {
        let options =
            setting::option_parser(DRIVER_SETTINGS, "Drives batch jobs on the users' platform");
        let mut values = options.run_inner(args).map_err(SettingsFailure::Arguments)?;
        let settings = Self { node: NodeSettings::from_values(&mut values) };
        values.check_distinct_addrs(&[
            (&setting::PEER, settings.node.peer),
            (&setting::ADMIN, settings.node.admin),
        ]);
        values.finish(settings)
    }
}
