//! Links to the other processes.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::dial;
use dogwoodtray_wire::messages::Heartbeat;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::Role;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::view::Accepted;
use super::view::DISPATCHER_KEY;
use super::view::Dialled;
use super::view::QUIET_TIME;
use crate::node::KnownNode;
use crate::node::Node;
use crate::node::NodeRole;

/// Interval of heartbeats; a quarter of the time after which a link counts as silent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the list of endpoints at which a driver has lost touch: the list is made every 0.4 s,
/// and the store takes a quarter of a second when it is slow.
const STALE_AGE: Duration = Duration::from_millis(2_000);

/// Gateways that a gateway dials while it reaches no driver.
const MAX_RELAYS: usize = 4;

/// Interval at which a gateway looks whether it reaches a driver.
const RELAY_CHECK: Duration = Duration::from_millis(200);

/// Time that the places of a process stay reserved after its link ended.
const ORPHAN_TIME: Duration = Duration::from_secs(1);

/// Where a link event comes from.
#[derive(Clone, Debug)]
pub(super) enum Source {
    Dialled(Name, NodeRole),
    Accepted,
}

/// # Links
impl Node {
    /// Binds the address for links and starts to exchange heartbeats.
    pub(crate) async fn open_links(self: &Rc<Self>) -> io::Result<()> {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let cfg = self.link_config(Source::Accepted, tx.clone());
        let listener = LinkListener::bind(self.cfg.peer, cfg).await?;
        *self.peers.listener.borrow_mut() = Some(listener);
        *self.peers.tx.borrow_mut() = Some(tx);
        let node = Rc::clone(self);
        spawn_local(async move {
            while let Some((source, event)) = rx.recv().await {
                node.on_link(source, event);
            }
        });
        if self.cfg.role == NodeRole::Gateway {
            let node = Rc::clone(self);
            spawn_local(async move {
                loop {
                    sleep(RELAY_CHECK).await;
                    node.check_relays();
                }
            });
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let mut seq = 0;
            loop {
                seq += 1;
                node.peers.broadcast_everywhere(&node.heartbeat(seq).into());
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        Ok(())
    }

    /// Tells all processes that this one is about to stop.
    pub(crate) fn announce_leaving(&self) {
        self.peers.broadcast_everywhere(&self.heartbeat(0).into());
    }

    fn heartbeat(&self, seq: u64) -> Heartbeat {
        let generation = self.directory.borrow().generation().0;
        let dispatcher = self.dispatcher();
        let stale = match self.cfg.role {
            NodeRole::Driver => self.is_stale(),
            NodeRole::Gateway => dispatcher.is_none(),
        };
        Heartbeat {
            seq,
            generation,
            leaving: self.draining.get(),
            stale,
            dispatcher: dispatcher.map(|name| name.to_string()).unwrap_or_default(),
            ..Heartbeat::default()
        }
    }

    fn link_config(&self, source: Source, tx: UnboundedSender<(Source, LinkEvent)>) -> LinkConfig {
        let hello = Hello {
            node: self.cfg.node.to_string(),
            incarnation: self.incarnation.0,
            data_centre: self.cfg.data_centre.to_string(),
            role: match self.cfg.role {
                NodeRole::Gateway => Role::Gateway.into(),
                NodeRole::Driver => Role::Driver.into(),
            },
            peer_addr: self.cfg.peer.to_string(),
            ..Hello::default()
        };
        LinkConfig::new(
            move || hello.clone(),
            move |event| {
                // The receiver lives as long as the process.
                let _ = tx.send((source.clone(), event));
            },
        )
    }

    /// Returns the driver that gives places, if one is reached.
    pub(crate) fn dispatcher(&self) -> Option<Name> {
        let first = self.peers.ranked(self, DISPATCHER_KEY).into_iter().next()?;
        let dialled = self.peers.dialled.borrow();
        let relay = dialled.get(&first).is_some_and(|peer| peer.role == NodeRole::Gateway);
        (!relay).then_some(first)
    }

    /// Tells whether this driver has lost touch with the store and with whoever relays for it, or
    /// with most of the other drivers.
    pub(crate) fn is_stale(&self) -> bool {
        let now = self.now();
        let listed_at = self.directory.borrow().listed_at();
        let old = listed_at.is_none_or(|at| now - at >= STALE_AGE);
        old || self.peers.is_isolated(now)
    }

    /// Dials the drivers that are new, and forgets those that are gone.
    pub(crate) fn dial_drivers(&self) {
        let known = self.known_nodes.borrow();
        self.peers.dialled.borrow_mut().retain(|name, peer| {
            known.iter().any(|node| node.name == *name && node.addr == peer.addr)
        });
        for node in known.iter().filter(|node| node.role == NodeRole::Driver) {
            self.dial(node);
        }
    }

    fn dial(&self, to: &KnownNode) {
        let mut dialled = self.peers.dialled.borrow_mut();
        if to.name == self.cfg.node || dialled.contains_key(&to.name) {
            return;
        }
        let Some(tx) = self.peers.tx.borrow().clone() else { return };
        let cfg = self.link_config(Source::Dialled(Name::clone(&to.name), to.role), tx);
        let now = self.now();
        let peer = Dialled {
            addr: Name::clone(&to.addr),
            role: to.role,
            link: None,
            heard_at: now,
            was_heard: false,
            lost_at: now,
            suspect_until: Timestamp::ZERO,
            leaving: false,
            stale: false,
            dial: dial(&Handle::current(), Name::clone(&to.addr), cfg),
        };
        dialled.insert(Name::clone(&to.name), peer);
    }

    /// Dials other gateways while no driver is heard, and leaves them when one is.
    fn check_relays(&self) {
        let now = self.now();
        let (reached, relays) = {
            let dialled = self.peers.dialled.borrow();
            let drivers = dialled.values().filter(|peer| peer.role == NodeRole::Driver);
            let waited = |peer: &Dialled| now - peer.heard_at < QUIET_TIME;
            let reached = drivers.clone().count() == 0 || drivers.clone().any(waited);
            (reached, dialled.values().any(|peer| peer.role == NodeRole::Gateway))
        };
        if reached != relays {
            return;
        }
        if reached {
            let is_relay = |_: &Name, peer: &mut Dialled| peer.role == NodeRole::Driver;
            self.peers.dialled.borrow_mut().retain(is_relay);
            return;
        }
        let known = self.known_nodes.borrow();
        let gateways: Vec<Name> = known
            .iter()
            .filter(|node| node.role == NodeRole::Gateway && node.name != self.cfg.node)
            .map(|node| Name::clone(&node.name))
            .collect();
        let chosen = choose_subset(&self.cfg.node, &gateways, MAX_RELAYS);
        for node in known.iter().filter(|node| chosen.contains(&node.name)) {
            self.dial(node);
        }
    }

    fn on_link(self: &Rc<Self>, source: Source, event: LinkEvent) {
        match (source, event) {
            (Source::Dialled(name, _), LinkEvent::Up { link, .. }) => {
                if let Some(driver) = self.peers.dialled.borrow_mut().get_mut(&name) {
                    driver.link = Some(link);
                    driver.heard_at = self.now();
                    driver.was_heard = true;
                    driver.leaving = false;
                    driver.suspect_until = Timestamp::ZERO;
                }
                self.events.emit(&catalogue::LINK_UP, None, &[("peer", &name)]);
            }
            (Source::Dialled(name, _), LinkEvent::Down { link, reason }) => {
                let now = self.now();
                if let Some(driver) = self.peers.dialled.borrow_mut().get_mut(&name)
                    && driver.link.as_ref().is_some_and(|known| known.id() == link)
                {
                    driver.link = None;
                    driver.lost_at = now;
                }
                self.places_link_lost(link);
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("peer", &name), ("reason", &reason)];
                self.events.emit(&catalogue::LINK_DOWN, None, &fields);
            }
            (Source::Dialled(name, role), LinkEvent::Frame { link, kind }) => {
                self.on_dialled_frame(&name, role, link, kind);
            }
            (Source::Accepted, LinkEvent::Up { link, hello }) => {
                // Places of the same process on an older link are told again.
                self.drop_places_of(hello.incarnation);
                // A process that has just dialled learns at once whether this one can help it.
                link.send(self.heartbeat(0));
                self.relay_on(&link);
                let name = Name::from(&*hello.node);
                if let Some(peer) = self.peers.dialled.borrow().get(&name) {
                    peer.dial.retry();
                }
                if let Some(driver) = self.driver.get().filter(|_| hello.role() == Role::Driver) {
                    driver.hand_back(self, &name, &link);
                }
                let id = link.id();
                let accepted = Accepted { link, incarnation: hello.incarnation, dispatcher: None };
                self.peers.accepted.borrow_mut().insert(id, accepted);
            }
            (Source::Accepted, LinkEvent::Down { link, .. }) => {
                let gone = self.peers.accepted.borrow_mut().remove(&link);
                let Some(gone) = gone else { return };
                self.drop_carried(gone.incarnation);
                let node = Rc::clone(self);
                spawn_local(async move {
                    sleep(ORPHAN_TIME).await;
                    if node.peers.link_of_incarnation(gone.incarnation).is_none() {
                        node.drop_places_of(gone.incarnation);
                    }
                });
            }
            (Source::Accepted, LinkEvent::Frame { link, kind }) => {
                let mut accepted = self.peers.accepted.borrow_mut();
                let Some(from) = accepted.get_mut(&link) else { return };
                if let Kind::Heartbeat(beat) = &kind {
                    let name = (!beat.dispatcher.is_empty()).then(|| Name::from(&*beat.dispatcher));
                    from.dispatcher = name.map(|name| (name, self.now()));
                    return;
                }
                let (incarnation, link) = (from.incarnation, from.link.clone());
                drop(accepted);
                self.on_peer_frame(incarnation, &link, kind);
            }
        }
    }

    /// Handles a frame from a process that this one dialled.
    fn on_dialled_frame(self: &Rc<Self>, name: &Name, role: NodeRole, link: LinkId, kind: Kind) {
        if let Some(peer) = self.peers.dialled.borrow_mut().get_mut(name) {
            peer.heard_at = self.now();
            if let Kind::Heartbeat(beat) = &kind {
                peer.leaving = beat.leaving;
                peer.stale = beat.stale;
            }
        }
        match kind {
            Kind::Heartbeat(_) => {}
            Kind::ConfigSet(set) => self.on_relayed_config(&set),
            Kind::ItemProgress(progress) => {
                if let Some(driver) = self.driver.get() {
                    driver.on_progress(progress);
                }
            }
            Kind::EndpointSet(set) => self.on_relayed_endpoints(set, role),
            Kind::EndpointChanges(changes) => {
                if let Some(link) = self.peers.link_to(name) {
                    self.on_relayed_changes(changes, role, &link);
                }
            }
            kind => self.on_place_reply(link, kind),
        }
    }
}
