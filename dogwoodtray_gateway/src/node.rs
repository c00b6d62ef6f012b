//! State shared by all tasks of a process.
//!
//! A process runs on one thread, because its VM has a fraction of a core and an event should not
//! wake a second thread. Tasks share the state through `Rc`, and no `RefCell` borrow is held across
//! an `await`.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::LimitTolerance;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_platform::ObjectStore;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_wire::messages;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::buffer_parts::BufferParts;
use crate::calls::PendingCalls;
use crate::cancelled_jobs::CancelledJobs;
use crate::config_age::ProvenAge;
use crate::crashes::Crashes;
use crate::directory::Directory;
use crate::drain::Drain;
use crate::driver::Driver;
use crate::forward::ForwardedPlace;
use crate::ignored_entries::IgnoredEntries;
use crate::model::Dialect;
use crate::open_hosts::OpenHosts;
use crate::peers::Peers;
use crate::places::Places;
use crate::routing::Routing;
use crate::sync::ConfigFetch;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    Gateway,
    /// Runs batch jobs and assigns places at endpoints.
    Driver,
}

/// Process that is registered in the store.
#[derive(Clone, Debug)]
pub(crate) struct RegisteredNode {
    pub(crate) name: Name,
    pub(crate) addr: Name,
    pub(crate) role: NodeRole,
}

/// Settings shared by both roles.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the VM.
    pub node: Name,
    /// Role of the process.
    pub role: NodeRole,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address on which links of other processes are accepted, as dialed by them.
    pub peer: std::net::SocketAddr,
    /// Address on which metrics are served.
    pub admin: std::net::SocketAddr,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// Time after submission during which the results of a job can be read.
    pub results_kept: Duration,
    /// Limit of the bytes that the process buffers for all its requests.
    pub buffer_bytes: usize,
    /// Time after a key is taken away after which no process accepts it, even if it is cut off from
    /// the others. `None` if keys are only taken away as configurations arrive.
    pub revocation: Option<Duration>,
    /// Time within which a configuration is in force at processes that reach the store or each other.
    pub config_apply: Duration,
    /// By how much the limits of organizations may be exceeded.
    pub limit_tolerance: LimitTolerance,
}

/// State shared by all tasks of a process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) clock: Clock,
    /// Bytes that are buffered for all requests.
    pub(crate) buffers: ByteBudget,
    /// Parts of `buffers` that the organizations of callers have.
    pub(crate) buffer_parts: BufferParts,
    pub(crate) incarnation: Incarnation,
    pub(crate) events: EventLog,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) peers: Peers,
    pub(crate) places: Places,
    pub(crate) routing: Routing,
    pub(crate) crashes: Crashes,
    /// Whether a graceful stop has started.
    pub(crate) draining: Cell<bool>,
    /// Requests that a graceful stop still takes and waits for.
    pub(crate) drain: Drain,
    /// Newest configuration, as it is relayed on links.
    pub(crate) relayed_config: RefCell<Option<messages::ConfigSet>>,
    pub(crate) config_fetch: Cell<ConfigFetch>,
    /// Time of the last request for a full list of endpoints that has not been answered.
    pub(crate) endpoint_fetched_at: Cell<Option<Timestamp>>,
    pub(crate) config_age: ProvenAge,
    /// Processes that are registered in the store.
    pub(crate) registered_nodes: RefCell<Vec<RegisteredNode>>,
    /// Entries in the list of endpoints that name none.
    pub(crate) ignored_entries: RefCell<IgnoredEntries>,
    /// Hosts that had batch routes without a key until recently.
    pub(crate) open_hosts: RefCell<OpenHosts>,
    /// Places that this process requests or holds for others.
    pub(crate) forwarded_places: RefCell<HashMap<PlaceId, ForwardedPlace>>,
    pub(crate) calls: PendingCalls,
    /// Cancelled jobs; in a gateway, those that it cancelled or relayed itself.
    pub(crate) cancelled_jobs: RefCell<CancelledJobs>,
    /// Batch job state; empty in a gateway.
    pub(crate) driver: OnceCell<Rc<Driver>>,
    /// Notified when listing the endpoints fails, and when a list is received again. Watches on
    /// other connections may be stalled and are restarted; failed calls are retried at once.
    pub(crate) restart_store_calls: Notify,
}

impl Node {
    pub(crate) fn new(
        cfg: NodeConfig,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn ObjectStore>,
    ) -> Rc<Self> {
        let incarnation = Incarnation(rand::random());
        let events = EventLog::open(Name::clone(&cfg.node), incarnation);
        let config_age = ProvenAge::new(cfg.revocation, incarnation.0);
        let buffers = ByteBudget::new(cfg.buffer_bytes);
        let clock = Clock::start();
        let places = Places::new(incarnation, cfg.limit_tolerance, clock.now());
        Rc::new(Self {
            cfg,
            buffers,
            buffer_parts: BufferParts::default(),
            dialect,
            store,
            clock,
            incarnation,
            events,
            directory: RefCell::new(Directory::new()),
            peers: Peers::default(),
            places,
            routing: Routing::new(),
            crashes: Crashes::new(),
            draining: Cell::new(false),
            drain: Drain::default(),
            relayed_config: RefCell::new(None),
            config_fetch: Cell::default(),
            endpoint_fetched_at: Cell::default(),
            config_age,
            registered_nodes: RefCell::new(Vec::new()),
            ignored_entries: RefCell::default(),
            open_hosts: RefCell::default(),
            forwarded_places: RefCell::new(HashMap::new()),
            calls: PendingCalls::default(),
            cancelled_jobs: RefCell::default(),
            driver: OnceCell::new(),
            restart_store_calls: Notify::new(),
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }
}
