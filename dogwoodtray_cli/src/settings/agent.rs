//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

const ADMISSION_POLICIES: &[&str] = &["adaptive", "fixed-limit", "fifo"];

const ENDPOINT_KINDS: &[&str] = &["engine", "service"];

const SETTINGS: &[&Setting] = &[
    &setting::NODE,
    &setting::DATA_CENTRE,
    &setting::PEER,
    &setting::ADMIN,
    &setting::ENDPOINT,
    &setting::ENDPOINT_KIND,
    &setting::MODELS,
    &setting::ENDPOINT_CHECKS_FENCE,
    &setting::ADMISSION_POLICY,
    &setting::MAX_PLACES,
    &setting::DRAIN_TIMEOUT_S,
];

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine with continuous batching.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the node.
    pub node: Name,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Address that other processes of the fleet connect to.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the engine or plain service.
    pub endpoint: SocketAddr,
    /// Kind of the endpoint.
    pub endpoint_kind: EndpointKind,
    /// Models of the engine, or the name of the plain service.
    pub models: Vec<Name>,
    /// Whether the endpoint rejects requests with an outdated fencing token.
    pub endpoint_checks_fence: bool,
    /// Name of the admission policy.
    pub admission_policy: &'static str,
    /// Maximum number of concurrent requests at the endpoint.
    pub max_places: u32,
    /// Maximum time that a drain waits for open requests.
    pub drain_timeout: Duration,
}

impl AgentSettings {
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
        let options = setting::option_parser(SETTINGS, "Guards one engine or plain service");
        Self::from_values(options.run_inner(args).map_err(SettingsFailure::Arguments)?)
    }

    fn from_values(mut values: Values) -> Result<Self, SettingsFailure> {
        let settings = Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            peer: values.advertised_addr(&setting::PEER),
            admin: values.listen_addr(&setting::ADMIN),
            endpoint: values.remote_addr(&setting::ENDPOINT),
            endpoint_kind: match values.choice_index(&setting::ENDPOINT_KIND, ENDPOINT_KINDS) {
                0 => EndpointKind::Engine,
                _ => EndpointKind::Service,
            },
            models: values.names(&setting::MODELS),
            endpoint_checks_fence: values.boolean(&setting::ENDPOINT_CHECKS_FENCE),
            admission_policy: ADMISSION_POLICIES
                [values.choice_index(&setting::ADMISSION_POLICY, ADMISSION_POLICIES)],
            max_places: values.number(&setting::MAX_PLACES, 1..=65_536),
            drain_timeout: Duration::from_secs(values.number(&setting::DRAIN_TIMEOUT_S, 1..=600)),
        };
        if settings.endpoint_kind == EndpointKind::Service && settings.models.len() > 1 {
            values.reject(&setting::MODELS, "one name, because the endpoint is a plain service");
        }
        values.check_distinct_addrs(&[
            (&setting::PEER, settings.peer),
            (&setting::ADMIN, settings.admin),
        ]);
        values.finish(settings)
    }
}
