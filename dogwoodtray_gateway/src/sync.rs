//! Synchronization of the configuration, the endpoints and the drivers with the store.
//!
//! Every store call counts towards the budget of the whole fleet. The endpoints change frequently
//! and are therefore listed by one driver and relayed on links; see `endpoint_list`. Objects that
//! change rarely are watched.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::Change;
use dogwoodtray_platform::CreateResult;
use dogwoodtray_platform::ListResult;
use dogwoodtray_platform::Object;
use dogwoodtray_platform::UpdateResult;
use dogwoodtray_platform::WatchResult;
use dogwoodtray_platform::listening_addr;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ignored_entries::loggable;
use crate::model::Organization;
use crate::node::Node;
use crate::node::NodeRole;
use crate::node::RegisteredNode;

/// Kind of the objects with which processes register.
const NODES_KIND: &str = "nodes";

/// Wait time of a watch of the configuration while no process relays it. A stalled connection can
/// go unnoticed for that long, and a change must be active after 2 s.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Wait time of a watch whose changes are also relayed on links, or are not urgent.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time for which a gateway collects changes of the registered processes. A process that restarts
/// keeps its address, so only new addresses wait for it.
const NODES_WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a process waits for a configuration that its peers have before it requests it.
/// The store and the driver that lists the endpoints normally deliver it sooner.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(300);

/// Interval between requests for a configuration. It has thousands of routes at most and takes a
/// tenth of a second on a slow link.
const CONFIG_FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a process checks whether it is to watch a kind again.
const ACTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after the first failed call; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum delay between failed calls of a process that receives no relayed updates and must detect
/// the end of a store outage itself.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Maximum delay between failed calls of a process that receives relayed updates. Rejected calls
/// count as well, and several hundred such processes would make most of them.
const MAX_RELAYED_BACKOFF: Duration = Duration::from_secs(4);

/// Maximum number of organizations of one configuration that are logged.
const MAX_LOGGED_ORGANIZATIONS: usize = 20;

/// Specification of the store entry of a process.
#[derive(Debug, Serialize, Deserialize)]
struct NodeSpec {
    role: NodeRole,
    address: Name,
    incarnation: u64,
}

/// When and how a kind is watched.
pub(crate) struct WatchConfig<A, W> {
    /// Whether this process watches the kind now.
    pub(crate) is_active: A,
    /// Maximum time that a watch waits for a change.
    pub(crate) wait: W,
    /// Time after a change before the next watch starts, so that one call returns the changes of
    /// that time.
    pub(crate) pause: Duration,
}

/// Requests for a configuration that peers have and this process does not.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigFetch {
    behind_since: Option<Timestamp>,
    requested_at: Option<Timestamp>,
}

impl ConfigFetch {
    /// Returns `true` if the configuration is to be requested now: this process has been behind for
    /// `delay`, and the last request is not recent.
    fn is_due(&mut self, now: Timestamp, is_behind: bool, delay: Duration) -> bool {
        if !is_behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_recent = self.requested_at.is_some_and(|at| now - at < CONFIG_FETCH_INTERVAL);
        let is_due = now - since >= delay && !is_recent;
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }
}

/// Update of the objects of a watched kind.
pub(crate) enum Update {
    /// All objects of the kind.
    All(Vec<Object>),
    /// A change of one object.
    One(Change),
}

/// Exponential delay between failed calls.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) const fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    /// Waits until the delay has passed or store calls are to be restarted.
    pub(crate) async fn wait(&mut self, node: &Node) {
        let is_relayed = node.peers.has_links() && !node.is_listing_driver();
        // Half of the delay is random, so that calls spread out after an outage.
        let delay = self.0.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        // A notification and a timeout are handled alike.
        let _ = timeout(delay, node.restart_store_calls.notified()).await;
        self.0 = (self.0 * 2).min(if is_relayed { MAX_RELAYED_BACKOFF } else { MAX_BACKOFF });
    }
}

/// # Watching
impl Node {
    /// Starts the tasks that synchronize the configuration, the endpoints and the drivers.
    pub(crate) fn spawn_sync(self: &Rc<Self>) {
        let (kind, _) = self.dialect.names().config;
        self.spawn_watch(kind, Self::config_watch_wait, Self::on_config_update);
        let cfg = WatchConfig {
            is_active: |_: &Self| true,
            wait: |_: &Self| LONG_WATCH_WAIT,
            pause: match self.cfg.role {
                NodeRole::Gateway => NODES_WATCH_PAUSE,
                // Two drivers that do not know each other drive the same jobs.
                NodeRole::Driver => Duration::ZERO,
            },
        };
        self.spawn_configured_watch(NODES_KIND, cfg, Self::on_nodes_update);
        let node = Rc::clone(self);
        spawn_local(async move { node.sync_endpoints().await });
        let node = Rc::clone(self);
        spawn_local(async move { node.register().await });
    }

    fn config_watch_wait(&self) -> Duration {
        let is_relayed = self.peers.has_links() && !self.is_listing_driver();
        if is_relayed { LONG_WATCH_WAIT } else { CONFIG_WATCH_WAIT }
    }

    /// Returns `true` if this is the driver that assigns places, and lists the endpoints, for all
    /// processes.
    pub(crate) fn is_listing_driver(&self) -> bool {
        self.dispatcher().as_ref() == Some(&self.cfg.node)
    }

    /// Lists the objects of a kind and watches them for changes.
    pub(crate) fn spawn_watch(
        self: &Rc<Self>,
        kind: &'static str,
        wait: impl Fn(&Self) -> Duration + 'static,
        apply: impl FnMut(&Rc<Self>, Update) + 'static,
    ) {
        let cfg = WatchConfig { is_active: |_: &Self| true, wait, pause: Duration::ZERO };
        self.spawn_configured_watch(kind, cfg, apply);
    }

    /// Lists the objects of a kind and watches them for changes while the configuration is active.
    /// Lists them again when it is so after a break.
    pub(crate) fn spawn_configured_watch(
        self: &Rc<Self>,
        kind: &'static str,
        cfg: WatchConfig<impl Fn(&Self) -> bool + 'static, impl Fn(&Self) -> Duration + 'static>,
        mut apply: impl FnMut(&Rc<Self>, Update) + 'static,
    ) {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                let mut backoff = Backoff::new();
                let mut at = loop {
                    match node.store.list(kind).await {
                        ListResult::All { objects, revision } => {
                            apply(&node, Update::All(objects));
                            break revision;
                        }
                        ListResult::Unavailable => backoff.wait(&node).await,
                    }
                };
                node.watch_from(kind, &mut at, &cfg, &mut apply).await;
                while !(cfg.is_active)(&node) {
                    sleep(ACTIVITY_CHECK_INTERVAL).await;
                }
            }
        });
    }

    /// Watches a kind until the store no longer has the history of its changes, or the configuration
    /// is not active.
    async fn watch_from(
        self: &Rc<Self>,
        kind: &'static str,
        at: &mut Version,
        cfg: &WatchConfig<impl Fn(&Self) -> bool, impl Fn(&Self) -> Duration>,
        apply: &mut impl FnMut(&Rc<Self>, Update),
    ) {
        let mut backoff = Backoff::new();
        while (cfg.is_active)(self) {
            let watched = tokio::select! {
                watched = self.store.watch(kind, *at, (cfg.wait)(self)) => watched,
                // Another connection to the store stalled, and this one may have as well.
                () = self.restart_store_calls.notified() => continue,
            };
            match watched {
                WatchResult::Changes { changes, revision } => {
                    backoff = Backoff::new();
                    *at = revision;
                    let is_changed = !changes.is_empty();
                    for change in changes {
                        apply(self, Update::One(change));
                    }
                    if is_changed && !cfg.pause.is_zero() {
                        sleep(cfg.pause).await;
                    }
                }
                WatchResult::HistoryLost => return,
                WatchResult::Unavailable => backoff.wait(self).await,
            }
        }
    }
}

/// # Configuration
impl Node {
    fn on_config_update(self: &Rc<Self>, update: Update) {
        let (_, name) = self.dialect.names().config;
        match update {
            Update::All(objects) => {
                if let Some(object) = objects.iter().find(|object| *object.name == *name) {
                    self.on_config(object.spec.get(), "store");
                }
            }
            Update::One(Change::Put(object)) if *object.name == *name => {
                self.on_config(object.spec.get(), "store");
            }
            Update::One(_) => {}
        }
    }

    /// Puts a configuration in force if it is newer. Returns its generation, or `None` if it is
    /// unreadable.
    pub(crate) fn on_config(&self, spec: &str, source: &'static str) -> Option<Generation> {
        let config = match self.dialect.config(spec) {
            Ok(config) => config,
            Err(err) => {
                let fields: [(&str, &dyn Display); 2] = [("source", &source), ("error", &err)];
                self.events.emit(&catalogue::CONFIG_REJECTED, None, &fields);
                return None;
            }
        };
        let generation = config.generation;
        let routes = config.routes().len();
        let replaced = self.directory.borrow().config().cloned();
        if !self.directory.borrow_mut().set_config(config) {
            return Some(generation);
        }
        if let Some(replaced) = replaced {
            self.open_hosts.borrow_mut().on_replaced(self.now(), &replaced);
        }
        self.config_age.on_config(generation);
        let fields: [(&str, &dyn Display); 3] =
            [("generation", &generation.0), ("routes", &routes), ("source", &source)];
        self.events.emit(&catalogue::CONFIG_APPLIED, None, &fields);
        self.report_unsendable_organizations();
        self.routing.on_config();
        self.apply_limits();
        let snapshot = spec.to_owned().into_bytes().into();
        let set = messages::ConfigSet { generation: generation.0, snapshot };
        self.relayed_config.replace(Some(set.clone()));
        // One driver sends it. A process that misses it learns the generation from heartbeats.
        if self.is_listing_driver() {
            self.peers.broadcast_to_accepted(set);
        }
        Some(generation)
    }

    /// Logs organizations whose requests cannot run because no endpoint can be told their name.
    fn report_unsendable_organizations(&self) {
        let Some(config) = self.directory.borrow().config().cloned() else { return };
        let is_unsendable = |name: &&Name| Organization::name_header(name).is_none();
        let names = config.organizations().iter().map(|organization| &organization.name);
        for name in names.filter(is_unsendable).take(MAX_LOGGED_ORGANIZATIONS) {
            let name = loggable(name);
            self.events.emit(&catalogue::ORGANIZATION_UNSENDABLE, None, &[("organization", &name)]);
        }
    }

    /// Handles the generation in a heartbeat. If the configuration here is older for a while, it is
    /// requested on the link of the heartbeat.
    pub(crate) fn on_peer_generation(&self, generation: u64, link: &LinkHandle) {
        let now = self.now();
        let is_behind = generation > self.directory.borrow().generation().0;
        let has_config = self.directory.borrow().config().is_some();
        let delay = if has_config { CONFIG_FETCH_DELAY } else { Duration::ZERO };
        let mut fetch = self.config_fetch.get();
        if fetch.is_due(now, is_behind, delay) {
            link.send(messages::ConfigFetch { generation });
        }
        self.config_fetch.set(fetch);
    }

    /// Sends the configuration to a process that requests it.
    pub(crate) fn on_config_fetch(&self, link: &LinkHandle) {
        if let Some(set) = self.relayed_config.borrow().clone() {
            link.send(set);
        }
    }

    pub(crate) fn on_relayed_config(&self, set: &messages::ConfigSet) {
        if set.generation <= self.directory.borrow().generation().0 {
            return;
        }
        match std::str::from_utf8(&set.snapshot) {
            Ok(spec) => {
                self.on_config(spec, "relay");
            }
            Err(err) => log::warn!("relayed configuration is not valid UTF-8: {err}"),
        }
    }
}

/// # Processes
impl Node {
    /// Registers this process in the store.
    async fn register(self: Rc<Self>) {
        let spec = NodeSpec {
            role: self.cfg.role,
            address: Name::from(self.cfg.peer.to_string()),
            incarnation: self.incarnation.0,
        };
        let spec = serde_json::to_string(&spec).unwrap_or_default();
        debug_assert!(!spec.is_empty(), "the entry of a process is serializable");
        let mut backoff = Backoff::new();
        loop {
            let name = &self.cfg.node;
            match self.store.create(NODES_KIND, name, spec.clone()).await {
                CreateResult::Done => return,
                CreateResult::Exists => {
                    let replaced = self.store.replace(NODES_KIND, name, spec.clone()).await;
                    if replaced == UpdateResult::Done {
                        return;
                    }
                }
                CreateResult::TooLarge => debug_assert!(false, "the entry of a process is small"),
                CreateResult::Unavailable | CreateResult::Unknown => {}
            }
            backoff.wait(&self).await;
        }
    }

    fn on_nodes_update(self: &Rc<Self>, update: Update) {
        {
            let mut registered = self.registered_nodes.borrow_mut();
            match update {
                Update::All(objects) => {
                    registered.clear();
                    registered.extend(objects.iter().filter_map(decode_node));
                }
                Update::One(Change::Put(object)) => {
                    registered.retain(|node| node.name != object.name);
                    registered.extend(decode_node(&object));
                }
                Update::One(Change::Removed(name)) => registered.retain(|node| node.name != name),
            }
        }
        self.dial_drivers();
    }
}

fn decode_node(object: &Object) -> Option<RegisteredNode> {
    let spec: NodeSpec = serde_json::from_str(object.spec.get())
        .inspect_err(|err| log::warn!("failed to decode process entry {}: {err}", object.name))
        .ok()?;
    if listening_addr(&spec.address).is_none() {
        log::warn!("process entry {} has no usable address", object.name);
        return None;
    }
    Some(RegisteredNode { name: Name::clone(&object.name), addr: spec.address, role: spec.role })
}
