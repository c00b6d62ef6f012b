//! Settings of the processes on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

const GATEWAY: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::LISTEN,
    &setting::READINESS,
    &setting::PEER,
    &setting::ADMIN,
    &setting::PLATFORM,
    &setting::GRACE_S,
    &setting::RESULTS_KEPT_S,
];

const DRIVER: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::PEER,
    &setting::ADMIN,
    &setting::PLATFORM,
    &setting::GRACE_S,
    &setting::RESULTS_KEPT_S,
];

/// Settings that gateways and drivers share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: Name,
    /// Data centre that the node stands in.
    pub data_centre: Name,
    /// Address for other processes of the fleet, as they dial it.
    pub peer: SocketAddr,
    /// Address that metrics are served on.
    pub admin: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Time between the request to stop and the kill.
    pub grace: Duration,
    /// Time after submission for which the results of a job stay readable.
    pub results_kept: Duration,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// What drivers have as well.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of readiness checks.
    pub readiness: SocketAddr,
}

/// Settings of a driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverSettings {
    /// What gateways have as well.
    pub node: NodeSettings,
}

impl NodeSettings {
    fn read(values: &mut Values) -> Self {
        let results_kept = values.number(&setting::RESULTS_KEPT_S, 1..=10_000_000);
        Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            peer: values.listen_known(&setting::PEER),
            admin: values.listen(&setting::ADMIN),
            platform: values.dial(&setting::PLATFORM),
            grace: Duration::from_secs(values.number(&setting::GRACE_S, 1..=600)),
            results_kept: Duration::from_secs(results_kept),
        }
    }
}

impl GatewaySettings {
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
        let options = setting::options_of(GATEWAY, "Serves the routes of the users' platform");
        let mut values = options.run_inner(args).map_err(SettingsFailure::Arguments)?;
        let settings = Self {
            node: NodeSettings::read(&mut values),
            listen: values.listen(&setting::LISTEN),
            readiness: values.listen(&setting::READINESS),
        };
        values.distinct(&[
            (&setting::LISTEN, settings.listen),
            (&setting::READINESS, settings.readiness),
            (&setting::PEER, settings.node.peer),
            (&setting::ADMIN, settings.node.admin),
        ]);
        values.finish(settings)
    }
}

impl DriverSettings {
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
        let options = setting::options_of(DRIVER, "Drives batch jobs on the users' platform");
        let mut values = options.run_inner(args).map_err(SettingsFailure::Arguments)?;
        let settings = Self { node: NodeSettings::read(&mut values) };
        values.distinct(&[
            (&setting::PEER, settings.node.peer),
            (&setting::ADMIN, settings.node.admin),
        ]);
        values.finish(settings)
    }
}
