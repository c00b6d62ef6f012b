//! Settings of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

const ENGINE_SETTINGS: &[&Setting] =
    &[&setting::LISTEN, &setting::MODELS, &setting::ENDPOINT_CHECKS_FENCE, &setting::STEP_MS];

const SERVICE_SETTINGS: &[&Setting] = &[&setting::LISTEN, &setting::STEP_MS];

const PLATFORM_SETTINGS: &[&Setting] =
    &[&setting::LISTEN, &setting::READS_PER_S, &setting::WRITES_PER_S];

/// Settings of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandinSettings {
    /// Settings of an engine stand-in.
    Engine(EngineStandinSettings),
    /// Settings of a plain service stand-in.
    Service(ServiceStandinSettings),
    /// Settings of a platform stand-in.
    Platform(PlatformStandinSettings),
}

/// Settings of an engine stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStandinSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Models that the stand-in serves.
    pub models: Vec<Name>,
    /// Whether the stand-in rejects requests with an outdated fencing token.
    pub checks_fence: bool,
    /// Duration of one engine step.
    pub step: Duration,
}

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceStandinSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of one service call.
    pub step: Duration,
}

/// Settings of a platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformStandinSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Reads per second that the stand-in serves.
    pub reads_per_s: u32,
    /// Writes per second that the stand-in serves.
    pub writes_per_s: u32,
}

/// Values of one subcommand, and the function that validates them.
type ParsedSubcommand = (Values, fn(Values) -> Result<StandinSettings, SettingsFailure>);

impl StandinSettings {
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
    pub fn parse<'a>(args: impl Into<Args<'a>>) -> Result<Self, SettingsFailure> {
        let (values, validate) = options().run_inner(args).map_err(SettingsFailure::Arguments)?;
        validate(values)
    }
}

fn options() -> OptionParser<ParsedSubcommand> {
    let engine = setting::option_parser(ENGINE_SETTINGS, "Stands in for an engine")
        .command("engine")
        .map(|values| -> ParsedSubcommand { (values, engine_settings) });
    let service = setting::option_parser(SERVICE_SETTINGS, "Stands in for a plain service")
        .command("service")
        .map(|values| -> ParsedSubcommand { (values, service_settings) });
    let platform = setting::option_parser(PLATFORM_SETTINGS, "Stands in for the platform")
        .command("platform")
        .map(|values| -> ParsedSubcommand { (values, platform_settings) });
    construct!([engine, service, platform])
        .to_options()
        .descr("Stands in for parts of the outside in tests")
        .version(env!("CARGO_PKG_VERSION"))
}

fn engine_settings(mut values: Values) -> Result<StandinSettings, SettingsFailure> {
    let settings = EngineStandinSettings {
        listen: values.listen_addr(&setting::LISTEN),
        models: values.names(&setting::MODELS),
        checks_fence: values.boolean(&setting::ENDPOINT_CHECKS_FENCE),
        step: step_duration(&mut values),
    };
    values.finish(StandinSettings::Engine(settings))
}

fn service_settings(mut values: Values) -> Result<StandinSettings, SettingsFailure> {
    let listen = values.listen_addr(&setting::LISTEN);
    let settings = ServiceStandinSettings { listen, step: step_duration(&mut values) };
    values.finish(StandinSettings::Service(settings))
}

fn platform_settings(mut values: Values) -> Result<StandinSettings, SettingsFailure> {
    let settings = PlatformStandinSettings {
        listen: values.listen_addr(&setting::LISTEN),
        reads_per_s: values.number(&setting::READS_PER_S, 1..=1_000_000),
        writes_per_s: values.number(&setting::WRITES_PER_S, 1..=1_000_000),
    };
    values.finish(StandinSettings::Platform(settings))
}

fn step_duration(values: &mut Values) -> Duration {
    Duration::from_millis(values.number(&setting::STEP_MS, 0..=60_000))
}
