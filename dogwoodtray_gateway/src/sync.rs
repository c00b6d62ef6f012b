//! Keeps the configuration, the endpoints and the drivers of a process up to date.
//!
//! Every call to the store is counted for the whole fleet. The endpoints, which change all the
//! time, are therefore listed by one driver and relayed on links; see `endpoint_list`. Objects that
//! change rarely are watched.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::Change;
use dogwoodtray_platform::Created;
use dogwoodtray_platform::Listed;
use dogwoodtray_platform::Object;
use dogwoodtray_platform::Updated;
use dogwoodtray_platform::Watched;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::node::KnownNode;
use crate::node::Node;
use crate::node::NodeRole;

/// Kind of the objects with which processes make themselves known.
const NODES_KIND: &str = "nodes";

/// Wait of a watch of the configuration without a relay. A connection can go silent unnoticed, and
/// a change has to be in force after 2 s.
const CONFIG_WAIT: Duration = Duration::from_millis(2_500);

/// Wait of a watch whose changes arrive on links as well, or can wait.
const LONG_WAIT: Duration = Duration::from_secs(10);

/// Pause after the first failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls of a process that has to find out for itself when the store
/// returns.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause of a process that is told on its links. Refused calls are counted as well, and
/// some hundred processes would make most of them.
const MAX_TOLD_PAUSE: Duration = Duration::from_secs(4);

/// Entry of a process in the store.
#[derive(Debug, Serialize, Deserialize)]
struct NodeSpec {
    role: NodeRole,
    address: Name,
    incarnation: u64,
}

/// What a followed kind holds.
pub(crate) enum Update {
    /// All its objects.
    All(Vec<Object>),
    /// A change of one.
    One(Change),
}

/// Pause between calls that fail.
pub(crate) struct Pause(Duration);

impl Pause {
    pub(crate) const fn new() -> Self {
        Self(FIRST_PAUSE)
    }

    /// Waits until the pause is over or the store is known to be back.
    pub(crate) async fn wait(&mut self, node: &Node) {
        let told = node.peers.has_links() && !node.lists_for_all();
        // Half of the pause is random, so that processes spread out when the store returns.
        let pause = self.0.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        // An early end shows the same state as a late one.
        let _ = timeout(pause, node.store_silent.notified()).await;
        self.0 = (self.0 * 2).min(if told { MAX_TOLD_PAUSE } else { MAX_PAUSE });
    }
}

/// # Following
impl Node {
    /// Starts to follow the configuration, the endpoints and the drivers.
    pub(crate) fn spawn_sync(self: &Rc<Self>) {
        let (kind, _) = self.dialect.names().config;
        self.spawn_follow(kind, Self::config_wait, Self::on_config_update);
        self.spawn_follow(NODES_KIND, |_| LONG_WAIT, Self::on_nodes_update);
        let node = Rc::clone(self);
        spawn_local(async move { node.follow_endpoints().await });
        let node = Rc::clone(self);
        spawn_local(async move { node.register().await });
    }

    fn config_wait(&self) -> Duration {
        let relayed = self.peers.has_links() && !self.lists_for_all();
        if relayed { LONG_WAIT } else { CONFIG_WAIT }
    }

    /// Tells whether this is the driver that keeps all others up to date.
    pub(crate) fn lists_for_all(&self) -> bool {
        self.dispatcher().as_ref() == Some(&self.cfg.node)
    }

    /// Lists a kind and watches it from there on.
    pub(crate) fn spawn_follow(
        self: &Rc<Self>,
        kind: &'static str,
        wait: impl Fn(&Self) -> Duration + 'static,
        mut apply: impl FnMut(&Rc<Self>, Update) + 'static,
    ) {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                let mut pause = Pause::new();
                let mut at = loop {
                    match node.store.list(kind).await {
                        Listed::All { objects, revision } => {
                            apply(&node, Update::All(objects));
                            break revision;
                        }
                        Listed::Unavailable => pause.wait(&node).await,
                    }
                };
                node.follow_from(kind, &mut at, &wait, &mut apply).await;
            }
        });
    }

    /// Watches a kind until its history is lost.
    async fn follow_from(
        self: &Rc<Self>,
        kind: &'static str,
        at: &mut Version,
        wait: &impl Fn(&Self) -> Duration,
        apply: &mut impl FnMut(&Rc<Self>, Update),
    ) {
        let mut pause = Pause::new();
        loop {
            let watched = tokio::select! {
                watched = self.store.watch(kind, *at, wait(self)) => watched,
                // Another connection to the store went silent, and this one may have as well.
                () = self.store_silent.notified() => continue,
            };
            match watched {
                Watched::Changes { changes, revision } => {
                    pause = Pause::new();
                    *at = revision;
                    for change in changes {
                        apply(self, Update::One(change));
                    }
                }
                Watched::HistoryLost => return,
                Watched::Unavailable => pause.wait(self).await,
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

    fn on_config(&self, spec: &str, source: &'static str) {
        let config = match self.dialect.config(spec) {
            Ok(config) => config,
            Err(err) => {
                let fields: [(&str, &dyn Display); 2] = [("source", &source), ("error", &err)];
                return self.events.emit(&catalogue::CONFIG_REJECTED, None, &fields);
            }
        };
        let generation = config.generation;
        let routes = config.routes().len();
        if !self.directory.borrow_mut().set_config(config) {
            return;
        }
        let fields: [(&str, &dyn Display); 3] =
            [("generation", &generation.0), ("routes", &routes), ("source", &source)];
        self.events.emit(&catalogue::CONFIG_APPLIED, None, &fields);
        let snapshot = spec.to_owned().into_bytes().into();
        let set = messages::ConfigSet { generation: generation.0, snapshot };
        self.relayed_config.replace(Some(set.clone()));
        self.peers.broadcast(set);
    }

    pub(crate) fn on_relayed_config(&self, set: &messages::ConfigSet) {
        if set.generation <= self.directory.borrow().generation().0 {
            return;
        }
        match std::str::from_utf8(&set.snapshot) {
            Ok(spec) => self.on_config(spec, "relay"),
            Err(err) => log::warn!("a relayed configuration is not text: {err}"),
        }
    }

    /// Sends what this process knows to a process that has just connected.
    pub(crate) fn relay_on(&self, link: &LinkHandle) {
        if let Some(set) = self.relayed_config.borrow().clone() {
            link.send(set);
        }
        self.relay_endpoints_on(link);
    }
}

/// # Processes
impl Node {
    /// Makes this process known in the store.
    async fn register(self: Rc<Self>) {
        let spec = NodeSpec {
            role: self.cfg.role,
            address: Name::from(self.cfg.peer.to_string()),
            incarnation: self.incarnation.0,
        };
        let spec = serde_json::to_string(&spec).unwrap_or_default();
        debug_assert!(!spec.is_empty(), "the entry of a process is serializable");
        let mut pause = Pause::new();
        loop {
            let name = &self.cfg.node;
            match self.store.create(NODES_KIND, name, spec.clone()).await {
                Created::Done => return,
                Created::Exists => {
                    let replaced = self.store.replace(NODES_KIND, name, spec.clone()).await;
                    if replaced == Updated::Done {
                        return;
                    }
                }
                Created::TooLarge => debug_assert!(false, "the entry of a process is small"),
                Created::Unavailable | Created::Unknown => {}
            }
            pause.wait(&self).await;
        }
    }

    fn on_nodes_update(self: &Rc<Self>, update: Update) {
        {
            let mut known = self.known_nodes.borrow_mut();
            match update {
                Update::All(objects) => {
                    known.clear();
                    known.extend(objects.iter().filter_map(known_node));
                }
                Update::One(Change::Put(object)) => {
                    known.retain(|node| node.name != object.name);
                    known.extend(known_node(&object));
                }
                Update::One(Change::Removed(name)) => known.retain(|node| node.name != name),
            }
        }
        self.dial_drivers();
    }
}

fn known_node(object: &Object) -> Option<KnownNode> {
    let spec: NodeSpec = serde_json::from_str(object.spec.get())
        .inspect_err(|err| log::warn!("entry {} of a process cannot be read: {err}", object.name))
        .ok()?;
    Some(KnownNode { name: Name::clone(&object.name), addr: spec.address, role: spec.role })
}
