//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Args;
use dogwoodtray_coord::Name;

use super::error::SettingsFailure;
use super::setting;
use super::setting::Setting;
use super::values::Values;

/// Names of the admission policies.
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
    /// An engine with continuous batching.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the node.
    pub node: Name,
    /// Data centre that the node stands in.
    pub data_centre: Name,
    /// Address for other processes of the fleet, as they dial it.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub admin: SocketAddr,
    /// Address of the engine or plain service.
    pub endpoint: SocketAddr,
    /// Kind of the endpoint.
    pub endpoint_kind: EndpointKind,
    /// Models of the engine, or the name of the plain service.
    pub models: Vec<Name>,
    /// Whether the endpoint refuses orders with an old fencing token.
    pub endpoint_checks_fence: bool,
    /// Name of the admission policy.
    pub admission_policy: &'static str,
    /// Most requests inside the endpoint at a time.
    pub max_places: u32,
    /// Longest wait for open requests after a drain began.
    pub drain_timeout: Duration,
}

impl AgentSettings {
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
    pub fn parse<'a>(args: impl Into<Args<'a>>) -> Result<Self, SettingsFailure> {
        let options = setting::options_of(SETTINGS, "Guards one engine or plain service");
        Self::check(options.run_inner(args).map_err(SettingsFailure::Arguments)?)
    }

    fn check(mut values: Values) -> Result<Self, SettingsFailure> {
        let settings = Self {
            node: values.name(&setting::NODE),
            data_centre: values.name(&setting::DATA_CENTRE),
            peer: values.listen_known(&setting::PEER),
            admin: values.listen(&setting::ADMIN),
            endpoint: values.dial(&setting::ENDPOINT),
            endpoint_kind: match values.word(&setting::ENDPOINT_KIND, ENDPOINT_KINDS) {
                0 => EndpointKind::Engine,
                _ => EndpointKind::Service,
            },
            models: values.names(&setting::MODELS),
            endpoint_checks_fence: values.flag(&setting::ENDPOINT_CHECKS_FENCE),
            admission_policy: ADMISSION_POLICIES
                [values.word(&setting::ADMISSION_POLICY, ADMISSION_POLICIES)],
            max_places: values.number(&setting::MAX_PLACES, 1..=65_536),
            drain_timeout: Duration::from_secs(values.number(&setting::DRAIN_TIMEOUT_S, 1..=600)),
        };
        if settings.endpoint_kind == EndpointKind::Service && settings.models.len() > 1 {
            values.refuse(&setting::MODELS, "one name, because the endpoint is a plain service");
        }
        values.distinct(&[(&setting::PEER, settings.peer), (&setting::ADMIN, settings.admin)]);
        values.finish(settings)
    }
}
