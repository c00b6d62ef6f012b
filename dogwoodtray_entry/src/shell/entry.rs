//! A running entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_coord::EVIDENCE_RETENTION;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
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
use tokio::task::JoinHandle;

use super::EntrySettings;
use super::EntryState;
use super::JOBS;
use super::ONCE;
use super::ROUTER;
use super::RouterInput;
use super::config;
use super::jobs::JobsService;
use super::once::OnceService;
use super::router::RouterService;
use super::store::StoreRunner;
use super::vm_list;
use crate::http::CallerServer;
use crate::jobs::EntryIdentity;
use crate::jobs::JobConfig;
use crate::jobs::JobCore;
use crate::online::OnlineConfig;
use crate::online::OnlineCore;

/// Writes per commit: one for a segment of outcomes, one for the header that lists it.
const WRITES_PER_COMMIT: f64 = 2.0;

/// Reads per scan of the index of unfinished jobs, which has this many pages with 2,500 jobs.
const READS_PER_SCAN: f64 = 5.0;

const ROUTER_TICK: Duration = Duration::from_millis(10);
const JOBS_TICK: Duration = Duration::from_millis(20);
const ONCE_TICK: Duration = Duration::from_millis(10);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Error returned when an entry cannot be started.
    #[derive(Debug)]
    pub enum EntryError {
        /// A port could not be bound or a thread could not be started.
        Io(err: io::Error) {
            from()
            display("cannot start the entry: {err}")
            source(err)
        }
        /// No routing policy has this name.
        UnknownPolicy(name: Name) {
            display("no routing policy is named {name}")
        }
    }
}

/// Handle to a running entry. Dropping it closes the ports.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<EntryState>,
    caller_server: CallerServer,
    links: LinkListener,
    operator: OperatorPort,
    services: Vec<ServiceHandle>,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Binds the ports of an entry and starts it on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound, a thread cannot be started, or the routing
    /// policy is unknown.
    pub async fn bind(settings: EntrySettings) -> Result<Self, EntryError> {
        let metrics = install_metrics();
        let incarnation = Incarnation(rand::random());
        let events = EventLog::open(Name::clone(&settings.node), incarnation);
        let shared = Arc::new(EntryState::new(
            settings.clone(),
            incarnation,
            ServiceRegistry::new(),
            events.clone(),
        ));
        let store_config =
            HttpStoreConfig::new(settings.platform.to_string()).budget(settings.budget);
        let store: Arc<dyn Store> = Arc::new(HttpStore::open(store_config));

        let services = start_services(&shared, &store)?;
        let links = LinkListener::bind(settings.peer, link_config(&shared)).await?;
        let caller_server = CallerServer::bind(settings.listen, Arc::clone(&shared)).await?;
        let operator = OperatorPort::bind(
            settings.admin,
            Arc::new(EntryOperator { shared: Arc::clone(&shared) }),
            events.clone(),
            metrics,
        )?;
        let tasks = vec![
            tokio::spawn(vm_list::poll(Arc::clone(&shared), Arc::clone(&store))),
            tokio::spawn(config::watch(Arc::clone(&shared), store)),
        ];
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("listen", &caller_server.addr())];
        events.emit(&catalogue::PROCESS_STARTED, None, &fields);
        Ok(Self { shared, caller_server, links, operator, services, tasks })
    }

    /// Returns the address that accepts requests of callers.
    #[must_use]
    pub const fn caller_addr(&self) -> SocketAddr {
        self.caller_server.addr()
    }

    /// Returns the address that accepts links from other processes.
    #[must_use]
    pub const fn peer_addr(&self) -> SocketAddr {
        self.links.addr()
    }

    /// Returns the address of the operator port.
    #[must_use]
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator.addr()
    }

    /// Returns `true` if the entry is ready and has links to at least `agents` agents.
    #[must_use]
    pub fn has_agent_links(&self, agents: usize) -> bool {
        self.shared.is_ready() && self.shared.agents.load(Ordering::Relaxed) >= agents as u64
    }

    /// Returns the event log.
    #[must_use]
    pub fn events(&self) -> &EventLog {
        &self.shared.events
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self) {
        self.shared.send_to_router(RouterInput::Drain);
    }

    /// Waits until a graceful shutdown has ended.
    pub async fn finished(&self) {
        while !self.shared.finished.load(Ordering::Acquire) {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }

    /// Waits for the service threads to end. Returns `false` if any of them panicked.
    pub fn join(mut self) -> bool {
        let services = std::mem::take(&mut self.services);
        let joined: Vec<bool> = services.into_iter().map(ServiceHandle::join).collect();
        joined.into_iter().all(|ok| ok)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.finished.store(true, Ordering::Release);
    }
}

fn start_services(
    shared: &Arc<EntryState>,
    store: &Arc<dyn Store>,
) -> Result<Vec<ServiceHandle>, EntryError> {
    let settings = &shared.settings;
    let Some(routing) = dogwoodtray_policy::route_policy(&settings.routing) else {
        return Err(EntryError::UnknownPolicy(Name::clone(&settings.routing)));
    };
    let clock = Clock::start_at(Timestamp::ZERO + EVIDENCE_RETENTION);
    let runtime = Handle::current();
    // The job core numbers its attempts itself, so online attempts use a separate incarnation to
    // keep the ids unique.
    let mut online = OnlineConfig::new(Incarnation(rand::random()), rand::random());
    online.started_at = clock.now();
    online.hedging = settings.hedging;
    online.max_requests = settings.max_requests;
    let router = RouterService::new(
        OnlineCore::new(online, routing),
        Arc::clone(shared),
        runtime.clone(),
        link_config(shared),
    );
    let identity = EntryIdentity {
        name: Name::clone(&settings.node),
        addr: Name::from(settings.peer.to_string()),
        incarnation: shared.incarnation,
    };
    let store_runner = StoreRunner { store: Arc::clone(store), runtime };
    let once = OnceService::new(Arc::clone(shared), store_runner.clone());
    let core = JobCore::new(job_config(settings), identity, rand::random());
    let jobs = JobsService::new(core, Arc::clone(shared), store_runner);

    let (router_mailbox, router_rx) = Mailbox::channel();
    let (jobs_mailbox, jobs_rx) = Mailbox::channel();
    shared.registry.register(ROUTER, router_mailbox);
    let (once_mailbox, once_rx) = Mailbox::channel();
    shared.registry.register(JOBS, jobs_mailbox);
    shared.registry.register(ONCE, once_mailbox);
    Ok(vec![
        spawn(ROUTER, router_rx, clock, ROUTER_TICK, router)?,
        spawn(JOBS, jobs_rx, clock, JOBS_TICK, jobs)?,
        spawn(ONCE, once_rx, clock, ONCE_TICK, once)?,
    ])
}

/// Sets the intervals of commits and index scans so that jobs use at most half of the writes and a
/// third of the reads in the budget of this entry.
fn job_config(settings: &EntrySettings) -> JobConfig {
    let default = JobConfig::default();
    let commit_spacing = WRITES_PER_COMMIT / (settings.budget.writes_per_second / 2.0);
    let scan_interval = READS_PER_SCAN / (settings.budget.reads_per_second / 3.0);
    JobConfig {
        commit_spacing: default.commit_spacing.max(Duration::from_secs_f64(commit_spacing)),
        scan_interval: default.scan_interval.max(Duration::from_secs_f64(scan_interval)),
        ..default
    }
}

impl EntryState {
    pub(super) fn hello(&self) -> Hello {
        let settings = &self.settings;
        Hello {
            node: settings.node.to_string(),
            incarnation: self.incarnation.0,
            data_centre: settings.data_centre.to_string(),
            role: Role::Entry.into(),
            generation: self.generation.load(Ordering::Relaxed),
            clock: Some(self.events.clock()),
            peer_addr: settings.peer.to_string(),
            ..Hello::default()
        }
    }
}

fn link_config(shared: &Arc<EntryState>) -> LinkConfig {
    let hello_source = Arc::clone(shared);
    let shared = Arc::clone(shared);
    LinkConfig::new(
        move || hello_source.hello(),
        move |event| {
            shared.send_to_router(RouterInput::Link(Box::new(event)));
        },
    )
}

struct EntryOperator {
    shared: Arc<EntryState>,
}

impl OperatorService for EntryOperator {
    fn status(&self) -> Value {
        let shared = &self.shared;
        json!({
            "node": &*shared.settings.node,
            "role": "entry",
            "data_centre": &*shared.settings.data_centre,
            "region": &*shared.settings.region,
            "incarnation": format!("{:016x}", shared.incarnation.0),
            "generation": shared.generation.load(Ordering::Relaxed),
            "ready": shared.is_ready(),
            "leaving": shared.leaving.load(Ordering::Relaxed),
            "peers": shared.peers(),
            "jobs_open": shared.jobs_open.load(Ordering::Relaxed),
            "requests": shared.requests.load(Ordering::Relaxed),
            "attempts": shared.attempts.load(Ordering::Relaxed),
        })
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    fn drain(&self) {
        self.shared.send_to_router(RouterInput::Drain);
    }
}
