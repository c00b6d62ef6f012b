//! A running entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::Kernel;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_runtime::Mailbox;
use dogwoodtray_runtime::OperatorPort;
use dogwoodtray_runtime::OperatorService;
use dogwoodtray_runtime::ServiceHandle;
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
use super::JOBS;
use super::ONCE;
use super::ROUTER;
use super::RouterInput;
use super::Shared;
use super::config;
use super::jobs::JobsService;
use super::members;
use super::once::OnceService;
use super::router::RouterService;
use super::store::StoreRunner;
use crate::http::CallerPort;
use crate::jobs::JobConfig;
use crate::jobs::JobCore;
use crate::jobs::Me;
use crate::online::OnlineConfig;
use crate::online::OnlineCore;

/// A commit writes a segment of outcomes and the header that lists it.
const WRITES_PER_COMMIT: f64 = 2.0;

/// Pages of the index of unfinished jobs at 2,500 of them.
const READS_PER_SCAN: f64 = 5.0;

const ROUTER_TICK: Duration = Duration::from_millis(10);
const JOBS_TICK: Duration = Duration::from_millis(20);
const ONCE_TICK: Duration = Duration::from_millis(10);
const JOIN_POLL: Duration = Duration::from_millis(20);

quick_error! {
    /// Error of starting an entry.
    #[derive(Debug)]
    pub enum EntryError {
        /// A port could not be bound or a thread not be started.
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

/// Handle of a running entry. Dropping it closes its ports.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    callers: CallerPort,
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
    /// Fails if a port cannot be bound, a thread not be started, or the routing policy is unknown.
    pub async fn bind(settings: EntrySettings) -> Result<Self, EntryError> {
        let metrics = install_metrics();
        let incarnation = Incarnation(rand::random());
        let events = EventLog::open(Name::clone(&settings.node), incarnation);
        let shared =
            Arc::new(Shared::new(settings.clone(), incarnation, Kernel::new(), events.clone()));
        let store_cfg = HttpStoreConfig::new(settings.platform.to_string()).budget(settings.budget);
        let store: Arc<dyn Store> = Arc::new(HttpStore::open(store_cfg));

        let services = start_services(&shared, &store)?;
        let links = LinkListener::bind(settings.peer, link_config(&shared)).await?;
        let callers = CallerPort::bind(settings.listen, Arc::clone(&shared)).await?;
        let operator = OperatorPort::bind(
            settings.admin,
            Arc::new(Status { shared: Arc::clone(&shared) }),
            events.clone(),
            metrics,
        )?;
        let tasks = vec![
            tokio::spawn(members::follow(Arc::clone(&shared), Arc::clone(&store))),
            tokio::spawn(config::follow(Arc::clone(&shared), store)),
        ];
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("listen", &callers.addr())];
        events.emit(&catalogue::PROCESS_STARTED, None, &fields);
        Ok(Self { shared, callers, links, operator, services, tasks })
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for links.
    #[must_use]
    pub const fn peer_addr(&self) -> SocketAddr {
        self.links.addr()
    }

    /// Returns the address of the operator port.
    #[must_use]
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator.addr()
    }

    /// Tells whether the entry is ready and has links to at least this many agents.
    #[must_use]
    pub fn is_linked(&self, agents: usize) -> bool {
        self.shared.is_ready() && self.shared.agents.load(Ordering::Relaxed) >= agents as u64
    }

    /// Returns the event log.
    #[must_use]
    pub fn events(&self) -> &EventLog {
        &self.shared.events
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self) {
        self.shared.tell_router(RouterInput::Drain);
    }

    /// Waits until a graceful shutdown has ended.
    pub async fn finished(&self) {
        while !self.shared.finished.load(Ordering::Acquire) {
            tokio::time::sleep(JOIN_POLL).await;
        }
    }

    /// Waits for the threads of the services. Returns `false` if one panicked.
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
    shared: &Arc<Shared>,
    store: &Arc<dyn Store>,
) -> Result<Vec<ServiceHandle>, EntryError> {
    let settings = &shared.settings;
    let Some(routing) = dogwoodtray_policy::route_policy(&settings.routing) else {
        return Err(EntryError::UnknownPolicy(Name::clone(&settings.routing)));
    };
    let clock = Clock::start();
    let runtime = Handle::current();
    // Attempts of jobs are numbered by the job core, so online attempts get an incarnation of
    // their own.
    let mut online = OnlineConfig::new(Incarnation(rand::random()), rand::random());
    online.hedging = settings.hedging;
    online.max_requests = settings.max_requests;
    let router = RouterService::new(
        OnlineCore::new(online, routing),
        Arc::clone(shared),
        runtime.clone(),
        link_config(shared),
    );
    let me = Me {
        name: Name::clone(&settings.node),
        addr: Name::from(settings.peer.to_string()),
        incarnation: shared.incarnation,
    };
    let runner = StoreRunner { store: Arc::clone(store), runtime };
    let once = OnceService::new(Arc::clone(shared), runner.clone());
    let core = JobCore::new(job_config(settings), me, rand::random());
    let jobs = JobsService::new(core, Arc::clone(shared), runner);

    let (router_mailbox, router_rx) = Mailbox::channel();
    let (jobs_mailbox, jobs_rx) = Mailbox::channel();
    shared.kernel.register(ROUTER, router_mailbox);
    let (once_mailbox, once_rx) = Mailbox::channel();
    shared.kernel.register(JOBS, jobs_mailbox);
    shared.kernel.register(ONCE, once_mailbox);
    Ok(vec![
        spawn(ROUTER, router_rx, clock, ROUTER_TICK, router)?,
        spawn(JOBS, jobs_rx, clock, JOBS_TICK, jobs)?,
        spawn(ONCE, once_rx, clock, ONCE_TICK, once)?,
    ])
}

/// Spaces out commits and looks at the index, so that jobs stay within half of the writes and a
/// third of the reads that this entry may use.
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

impl Shared {
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

fn link_config(shared: &Arc<Shared>) -> LinkConfig {
    let greeter = Arc::clone(shared);
    let shared = Arc::clone(shared);
    LinkConfig::new(
        move || greeter.hello(),
        move |event| {
            shared.tell_router(RouterInput::Link(Box::new(event)));
        },
    )
}

struct Status {
    shared: Arc<Shared>,
}

impl OperatorService for Status {
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
            "jobs_open": shared.jobs_driven.load(Ordering::Relaxed),
            "requests": shared.requests.load(Ordering::Relaxed),
            "attempts": shared.attempts.load(Ordering::Relaxed),
        })
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    fn drain(&self) {
        self.shared.tell_router(RouterInput::Drain);
    }
}
