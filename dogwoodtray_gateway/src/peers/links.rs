//! Creation of links to the other processes and handling of their events.

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

use super::view::AcceptedPeer;
use super::view::DISPATCHER_KEY;
use super::view::DialedPeer;
use super::view::SILENCE_TIMEOUT;
use crate::node::Node;
use crate::node::NodeRole;
use crate::node::RegisteredNode;

/// Interval of heartbeats; a quarter of the time after which a silent link is closed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the list of endpoints at which a driver counts as stale. The list is refreshed every
/// 0.4 s, and a slow store call takes 0.25 s.
const STALE_LIST_AGE: Duration = Duration::from_millis(2_000);

/// Maximum number of gateways that a gateway dials while it cannot reach a driver.
const MAX_RELAYS: usize = 4;

/// Interval at which a gateway checks whether it can reach a driver.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the places of a process stay reserved after its link has closed.
const RESERVATION_TIME: Duration = Duration::from_secs(1);

/// Origin of a link event.
#[derive(Clone, Debug)]
pub(super) enum LinkSource {
    Dialed(Name, NodeRole),
    Accepted,
}

/// # Links
impl Node {
    /// Binds the address for links and starts sending heartbeats.
    pub(crate) async fn open_links(self: &Rc<Self>) -> io::Result<()> {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let cfg = self.link_config(LinkSource::Accepted, tx.clone());
        let listener = LinkListener::bind(self.cfg.peer, cfg).await?;
        *self.peers.listener.borrow_mut() = Some(listener);
        *self.peers.tx.borrow_mut() = Some(tx);
        let node = Rc::clone(self);
        spawn_local(async move {
            while let Some((source, event)) = rx.recv().await {
                node.on_link_event(source, event);
            }
        });
        if self.cfg.role == NodeRole::Gateway {
            let node = Rc::clone(self);
            spawn_local(async move {
                loop {
                    sleep(RELAY_CHECK_INTERVAL).await;
                    node.update_relays();
                }
            });
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let mut seq = 0;
            loop {
                seq += 1;
                node.peers.broadcast_to_all(&node.heartbeat(seq).into());
                node.reassign_place_requests();
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        Ok(())
    }

    /// Notifies all connected processes that this one is about to stop.
    pub(crate) fn announce_leaving(&self) {
        self.peers.broadcast_to_all(&self.heartbeat(0).into());
    }

    /// Tells all connected processes at once which driver this one requests places from.
    pub(crate) fn announce_dispatcher(&self) {
        self.peers.broadcast_to_all(&self.heartbeat(0).into());
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

    fn link_config(
        &self,
        source: LinkSource,
        tx: UnboundedSender<(LinkSource, LinkEvent)>,
    ) -> LinkConfig {
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

    /// Returns the driver that assigns places, if one is available.
    pub(crate) fn dispatcher(&self) -> Option<Name> {
        let first = self.peers.ranked(self, DISPATCHER_KEY).into_iter().next()?;
        let dialed = self.peers.dialed.borrow();
        let is_relay = dialed.get(&first).is_some_and(|peer| peer.role == NodeRole::Gateway);
        (!is_relay).then_some(first)
    }

    /// Returns `true` if this driver has no recent list of endpoints, neither from the store nor
    /// relayed, or has lost its links to most of the other drivers.
    pub(crate) fn is_stale(&self) -> bool {
        let now = self.now();
        let listed_at = self.directory.borrow().listed_at();
        let is_outdated = listed_at.is_none_or(|at| now - at >= STALE_LIST_AGE);
        is_outdated || self.peers.is_isolated(now)
    }

    /// Dials newly registered drivers and removes those that are no longer registered.
    pub(crate) fn dial_drivers(&self) {
        let registered = self.registered_nodes.borrow();
        self.peers.dialed.borrow_mut().retain(|name, peer| {
            registered.iter().any(|node| node.name == *name && node.addr == peer.addr)
        });
        for node in registered.iter().filter(|node| node.role == NodeRole::Driver) {
            self.dial(node);
        }
    }

    fn dial(&self, to: &RegisteredNode) {
        let mut dialed = self.peers.dialed.borrow_mut();
        if to.name == self.cfg.node || dialed.contains_key(&to.name) {
            return;
        }
        let Some(tx) = self.peers.tx.borrow().clone() else { return };
        let cfg = self.link_config(LinkSource::Dialed(Name::clone(&to.name), to.role), tx);
        let now = self.now();
        let peer = DialedPeer {
            addr: Name::clone(&to.addr),
            role: to.role,
            link: None,
            last_frame_at: now,
            was_connected: false,
            disconnected_at: now,
            suspect_until: Timestamp::ZERO,
            leaving: false,
            stale: false,
            dial: dial(&Handle::current(), Name::clone(&to.addr), cfg),
        };
        dialed.insert(Name::clone(&to.name), peer);
    }

    /// Dials other gateways while no driver responds, and closes these links once one does.
    fn update_relays(&self) {
        let now = self.now();
        let (is_reached, has_relays) = {
            let dialed = self.peers.dialed.borrow();
            let drivers = dialed.values().filter(|peer| peer.role == NodeRole::Driver);
            let is_recent = |peer: &DialedPeer| now - peer.last_frame_at < SILENCE_TIMEOUT;
            let is_reached = drivers.clone().count() == 0 || drivers.clone().any(is_recent);
            (is_reached, dialed.values().any(|peer| peer.role == NodeRole::Gateway))
        };
        if is_reached != has_relays {
            return;
        }
        if is_reached {
            let is_driver = |_: &Name, peer: &mut DialedPeer| peer.role == NodeRole::Driver;
            self.peers.dialed.borrow_mut().retain(is_driver);
            return;
        }
        let registered = self.registered_nodes.borrow();
        let gateways: Vec<Name> = registered
            .iter()
            .filter(|node| node.role == NodeRole::Gateway && node.name != self.cfg.node)
            .map(|node| Name::clone(&node.name))
            .collect();
        let chosen = choose_subset(&self.cfg.node, &gateways, MAX_RELAYS);
        for node in registered.iter().filter(|node| chosen.contains(&node.name)) {
            self.dial(node);
        }
    }

    fn on_link_event(self: &Rc<Self>, source: LinkSource, event: LinkEvent) {
        match (source, event) {
            (LinkSource::Dialed(name, _), LinkEvent::Up { link, .. }) => {
                // The driver may have restarted and lost its list.
                self.send_blocks(&link);
                self.send_cancellations(&link);
                if let Some(driver) = self.peers.dialed.borrow_mut().get_mut(&name) {
                    driver.link = Some(link);
                    driver.last_frame_at = self.now();
                    driver.was_connected = true;
                    driver.leaving = false;
                    driver.suspect_until = Timestamp::ZERO;
                }
                self.events.emit(&catalogue::LINK_UP, None, &[("peer", &name)]);
                self.announce_changed_driver();
            }
            (LinkSource::Dialed(name, _), LinkEvent::Down { link, reason }) => {
                let now = self.now();
                if let Some(driver) = self.peers.dialed.borrow_mut().get_mut(&name)
                    && driver.link.as_ref().is_some_and(|current| current.id() == link)
                {
                    driver.link = None;
                    driver.disconnected_at = now;
                }
                self.announce_changed_driver();
                self.on_place_link_lost(link);
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("peer", &name), ("reason", &reason)];
                self.events.emit(&catalogue::LINK_DOWN, None, &fields);
            }
            (LinkSource::Dialed(name, role), LinkEvent::Frame { link, kind }) => {
                self.on_dialed_frame(&name, role, link, kind);
            }
            (LinkSource::Accepted, LinkEvent::Up { link, hello }) => {
                // The process reports its places again on the new link.
                self.remove_places_of(hello.incarnation);
                // Informs the new peer at once whether this process is stale or leaving.
                link.send(self.heartbeat(0));
                self.announce_endpoints(&link);
                self.send_blocks(&link);
                let name = Name::from(&*hello.node);
                if let Some(peer) = self.peers.dialed.borrow().get(&name) {
                    peer.dial.retry();
                }
                if let Some(driver) = self.driver.get().filter(|_| hello.role() == Role::Driver) {
                    driver.send_outputs_to(self, &name, &link);
                    self.send_cancellations(&link);
                }
                let id = link.id();
                let accepted = AcceptedPeer {
                    link,
                    name,
                    is_gateway: hello.role() == Role::Gateway,
                    incarnation: hello.incarnation,
                    dispatcher: None,
                };
                self.peers.accepted.borrow_mut().insert(id, accepted);
            }
            (LinkSource::Accepted, LinkEvent::Down { link, .. }) => {
                let closed = self.peers.accepted.borrow_mut().remove(&link);
                let Some(closed) = closed else { return };
                self.drop_forwarded_places(closed.incarnation);
                let node = Rc::clone(self);
                spawn_local(async move {
                    sleep(RESERVATION_TIME).await;
                    if node.peers.link_of_incarnation(closed.incarnation).is_none() {
                        node.remove_places_of(closed.incarnation);
                    }
                });
            }
            (LinkSource::Accepted, LinkEvent::Frame { link, kind }) => {
                let mut accepted = self.peers.accepted.borrow_mut();
                let Some(from) = accepted.get_mut(&link) else { return };
                if let Kind::Heartbeat(heartbeat) = &kind {
                    let name = (!heartbeat.dispatcher.is_empty())
                        .then(|| Name::from(&*heartbeat.dispatcher));
                    let is_other = name.as_ref() != from.dispatcher.as_ref().map(|(name, _)| name);
                    from.dispatcher = name.map(|name| (name, self.now()));
                    drop(accepted);
                    if is_other {
                        self.on_gateway_changed();
                    }
                    return;
                }
                let (incarnation, link) = (from.incarnation, from.link.clone());
                drop(accepted);
                self.on_peer_frame(incarnation, &link, kind);
            }
        }
    }

    /// Handles a frame from a process that this one dialed.
    fn on_dialed_frame(self: &Rc<Self>, name: &Name, role: NodeRole, link: LinkId, kind: Kind) {
        if let Some(peer) = self.peers.dialed.borrow_mut().get_mut(name) {
            peer.last_frame_at = self.now();
            if let Kind::Heartbeat(heartbeat) = &kind {
                peer.leaving = heartbeat.leaving;
                peer.stale = heartbeat.stale;
            }
        }
        if matches!(kind, Kind::Heartbeat(_)) {
            self.announce_changed_driver();
        }
        match kind {
            Kind::Heartbeat(heartbeat) => {
                if let Some(link) = self.peers.link_to(name) {
                    self.on_peer_generation(heartbeat.generation, &link);
                }
            }
            Kind::ConfigSet(set) => self.on_relayed_config(&set),
            Kind::ConfigProof(proof) => {
                self.on_config_proof(&proof, self.peers.link_to(name).as_ref());
            }
            Kind::ItemProgress(progress) => {
                if let Some(driver) = self.driver.get() {
                    driver.on_item_progress(self, progress);
                }
            }
            Kind::JobCancelled(cancelled) => {
                if let Some(driver) = self.driver.get() {
                    driver.cancel_job(self, Name::from(cancelled.job));
                }
            }
            Kind::BlockSet(set) => self.on_block_set(set, role),
            Kind::EndpointLeaving(leaving) => self.on_endpoint_leaving(&leaving, role),
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
