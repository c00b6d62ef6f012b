//! Startup and handle of a running agent.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_config::CurrentSnapshot;
use dogwoodtray_coord::EVIDENCE_RETENTION;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_runtime::Mailbox;
use dogwoodtray_runtime::OperatorPort;
use dogwoodtray_runtime::OperatorService;
use dogwoodtray_runtime::ServiceHandle;
use dogwoodtray_runtime::ServiceRegistry;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::install_metrics;
use dogwoodtray_runtime::spawn;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::Role;
use quick_error::quick_error;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Handle;

use super::AgentSettings;
use super::EndpointKind;
use super::endpoint::EndpointClient;
use super::service::AgentService;
use super::service::AgentServiceEvent;
use super::service::PublishedState;
use crate::core::AgentConfig;
use crate::core::AgentCore;

/// Name of the service in the registry.
const SERVICE_NAME: &str = "agent";

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const FINISHED_POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Error returned when an agent fails to start.
    #[derive(Debug)]
    pub enum AgentError {
        /// A port could not be bound or a thread could not be started.
        Io(err: io::Error) {
            from()
            display("cannot start the agent: {err}")
            source(err)
        }
        /// No admission policy has this name.
        UnknownPolicy(name: Name) {
            display("no admission policy is named {name}")
        }
    }
}

/// Handle of a running agent. Dropping it closes its ports.
#[derive(Debug)]
pub struct Agent {
    mailbox: Mailbox<AgentServiceEvent>,
    listener: LinkListener,
    operator: OperatorPort,
    service: Option<ServiceHandle>,
    shared: Arc<PublishedState>,
    events: EventLog,
}

struct OperatorState {
    settings: AgentSettings,
    incarnation: Incarnation,
    shared: Arc<PublishedState>,
    mailbox: Mailbox<AgentServiceEvent>,
}

impl Agent {
    /// Binds the ports of an agent and starts it on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound, a thread cannot be started, or the admission
    /// policy is unknown.
    pub async fn bind(settings: AgentSettings) -> Result<Self, AgentError> {
        let metrics = install_metrics();
        let registry = ServiceRegistry::new();
        let clock = Clock::start_at(Timestamp::ZERO + EVIDENCE_RETENTION);
        let incarnation = Incarnation(rand::random());
        let events = EventLog::open(Name::clone(&settings.node), incarnation);
        let shared = Arc::new(PublishedState::default());
        shared.endpoint_up.store(true, Ordering::Relaxed);

        let (service, mailbox) =
            start_service(&registry, clock, &settings, incarnation, &events, &shared)?;
        let link_cfg = link_config(&settings, incarnation, &events, &shared, mailbox.clone());
        let listener = LinkListener::bind(settings.peer, link_cfg).await?;
        let operator_state = OperatorState {
            settings: settings.clone(),
            incarnation,
            shared: Arc::clone(&shared),
            mailbox: mailbox.clone(),
        };
        let operator =
            OperatorPort::bind(settings.admin, Arc::new(operator_state), events.clone(), metrics)?;
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("peer", &listener.addr())];
        events.emit(&catalogue::PROCESS_STARTED, None, &fields);
        let service = Some(service);
        Ok(Self { mailbox, listener, operator, service, shared, events })
    }

    /// Returns the address on which links are accepted.
    #[must_use]
    pub const fn peer_addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the address of the operator port.
    #[must_use]
    pub const fn operator_addr(&self) -> std::net::SocketAddr {
        self.operator.addr()
    }

    /// Returns the event log.
    #[must_use]
    pub const fn events(&self) -> &EventLog {
        &self.events
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self) {
        self.mailbox.send(AgentServiceEvent::Drain);
    }

    /// Waits until a graceful shutdown has completed.
    pub async fn finished(&self) {
        while !self.shared.finished.load(Ordering::Acquire) {
            tokio::time::sleep(FINISHED_POLL_INTERVAL).await;
        }
    }

    /// Waits for the service thread to exit. Returns `false` if it panicked.
    pub fn join(mut self) -> bool {
        self.service.take().is_none_or(ServiceHandle::join)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.mailbox.send(AgentServiceEvent::Stop);
    }
}

fn start_service(
    registry: &ServiceRegistry,
    clock: Clock,
    settings: &AgentSettings,
    incarnation: Incarnation,
    events: &EventLog,
    shared: &Arc<PublishedState>,
) -> Result<(ServiceHandle, Mailbox<AgentServiceEvent>), AgentError> {
    let cfg = AdmissionConfig { max_places: settings.max_places, ..AdmissionConfig::default() };
    let Some(admission) = dogwoodtray_policy::admission_policy(&settings.admission, cfg) else {
        return Err(AgentError::UnknownPolicy(Name::clone(&settings.admission)));
    };
    let core_cfg = AgentConfig {
        node: Name::clone(&settings.node),
        incarnation,
        models: settings.models.clone(),
        stall_timeout: settings.stall_timeout,
    };
    // The endpoint client needs the mailbox of the service, so the mailbox is created first.
    let (mailbox, receiver) = Mailbox::channel();
    let service = AgentService {
        core: AgentCore::new(core_cfg, admission),
        endpoint: EndpointClient::new(
            settings.endpoint,
            settings.kind,
            Handle::current(),
            mailbox.clone(),
        ),
        events: events.clone(),
        shared: Arc::clone(shared),
        drain_timeout: settings.drain_timeout,
        links: HashMap::new(),
        models: settings.models.clone(),
        snapshot: CurrentSnapshot::empty(),
        actions: Vec::new(),
        heartbeat_seq: 0,
        next_health_check: Timestamp::ZERO,
        drain: None,
    };
    registry.register(SERVICE_NAME, mailbox.clone());
    let handle = spawn(SERVICE_NAME, receiver, clock, TICK_INTERVAL, service)?;
    Ok((handle, mailbox))
}

fn link_config(
    settings: &AgentSettings,
    incarnation: Incarnation,
    events: &EventLog,
    shared: &Arc<PublishedState>,
    mailbox: Mailbox<AgentServiceEvent>,
) -> LinkConfig {
    let settings = settings.clone();
    let events = events.clone();
    let shared = Arc::clone(shared);
    let hello = move || Hello {
        node: settings.node.to_string(),
        incarnation: incarnation.0,
        data_centre: settings.data_centre.to_string(),
        role: Role::Agent.into(),
        models: settings.models.iter().map(ToString::to_string).collect(),
        endpoint_checks_fence: settings.checks_fence,
        generation: shared.generation.load(Ordering::Relaxed),
        clock: Some(events.clock()),
        peer_addr: settings.peer.to_string(),
        plain_service: settings.kind == EndpointKind::Service,
        transient: false,
    };
    LinkConfig::new(hello, move |event| {
        mailbox.send(AgentServiceEvent::Link(Box::new(event)));
    })
}

impl OperatorService for OperatorState {
    fn status(&self) -> Value {
        let shared = &self.shared;
        json!({
            "node": &*self.settings.node,
            "role": "agent",
            "data_centre": &*self.settings.data_centre,
            "incarnation": format!("{:016x}", self.incarnation.0),
            "generation": shared.generation.load(Ordering::Relaxed),
            "ready": self.is_ready(),
            "leaving": shared.leaving.load(Ordering::Relaxed),
            "endpoint_up": shared.endpoint_up.load(Ordering::Relaxed),
            "attempts": shared.running.load(Ordering::Relaxed),
            "links": shared.peers.load(Ordering::Relaxed),
            "peers": [],
            "jobs_open": 0,
        })
    }

    fn is_ready(&self) -> bool {
        let shared = &self.shared;
        shared.endpoint_up.load(Ordering::Relaxed) && !shared.leaving.load(Ordering::Relaxed)
    }

    fn drain(&self) {
        self.mailbox.send(AgentServiceEvent::Drain);
    }
}
