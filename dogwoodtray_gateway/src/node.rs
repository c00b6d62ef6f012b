//! State that all tasks of a process share.
//!
//! A process runs on one thread, because its VM has a fraction of a core: an event then wakes one
//! task and no second thread. Tasks share the state through `Rc`, and no borrow is held across an
//! `await`.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_platform::ObjectStore;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_wire::messages;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::calls::Calls;
use crate::carry::Carried;
use crate::directory::Directory;
use crate::driver::Driver;
use crate::model::Dialect;
use crate::peers::Peers;
use crate::places::Places;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    Gateway,
    /// Drives batch jobs and gives places at endpoints.
    Driver,
}

/// Process that has made itself known in the store.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    pub(crate) name: Name,
    pub(crate) addr: Name,
    pub(crate) role: NodeRole,
}

/// Settings that both roles share.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the VM.
    pub node: Name,
    /// What the process does.
    pub role: NodeRole,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address for links of other processes, as they dial it.
    pub peer: std::net::SocketAddr,
    /// Address that metrics are served on.
    pub admin: std::net::SocketAddr,
    /// Time between the request to stop and the kill.
    pub grace: Duration,
    /// Time after submission for which the results of a job stay readable.
    pub results_kept: Duration,
}

/// State that all tasks of a process share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) events: EventLog,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) peers: Peers,
    pub(crate) places: Places,
    /// Set once a planned stop has begun.
    pub(crate) draining: Cell<bool>,
    /// Newest configuration, as it is relayed on links.
    pub(crate) relayed_config: RefCell<Option<messages::ConfigSet>>,
    /// Processes that have made themselves known in the store.
    pub(crate) known_nodes: RefCell<Vec<KnownNode>>,
    /// Places that this process holds for others.
    pub(crate) carried: RefCell<HashMap<PlaceId, Carried>>,
    pub(crate) calls: Calls,
    /// Job side of a driver; empty in a gateway.
    pub(crate) driver: OnceCell<Rc<Driver>>,
    /// Notified when a call to the store timed out, because other connections to it may have gone
    /// silent as well.
    pub(crate) store_silent: Notify,
}

impl Node {
    pub(crate) fn new(
        cfg: NodeConfig,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn ObjectStore>,
    ) -> Rc<Self> {
        let incarnation = Incarnation(rand::random());
        let events = EventLog::open(Name::clone(&cfg.node), incarnation);
        Rc::new(Self {
            cfg,
            dialect,
            store,
            clock: Clock::start(),
            incarnation,
            events,
            directory: RefCell::new(Directory::new()),
            peers: Peers::default(),
            places: Places::new(incarnation),
            draining: Cell::new(false),
            relayed_config: RefCell::new(None),
            known_nodes: RefCell::new(Vec::new()),
            carried: RefCell::new(HashMap::new()),
            calls: Calls::default(),
            driver: OnceCell::new(),
            store_silent: Notify::new(),
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }
}
