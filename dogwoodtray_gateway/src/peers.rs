//! Links to the other processes, and who of them is there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::dial;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::Heartbeat;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::Role;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::node::Node;
use crate::node::NodeRole;

/// Interval of heartbeats; a quarter of the time after which a link counts as silent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a driver may be away before another one drives its jobs. A restart takes about a
/// second, and the items that run would be run twice.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Time that a driver gets no asks after it failed to answer one.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time that the places of a process stay reserved after its link ended.
const ORPHAN_TIME: Duration = Duration::from_secs(1);

/// Where a link event comes from.
#[derive(Debug)]
enum Source {
    Dialled(Name),
    Accepted,
}

#[derive(Debug)]
struct Driver {
    addr: Name,
    link: Option<LinkHandle>,
    /// Time since which there is no link.
    lost_at: Timestamp,
    suspect_until: Timestamp,
    leaving: bool,
    _dial: Option<DialHandle>,
}

#[derive(Debug)]
struct Accepted {
    link: LinkHandle,
    incarnation: u64,
}

/// Links of a process: dialled to all drivers, accepted from all processes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    drivers: RefCell<HashMap<Name, Driver>>,
    accepted: RefCell<HashMap<LinkId, Accepted>>,
    listener: RefCell<Option<LinkListener>>,
    tx: RefCell<Option<UnboundedSender<(Source, LinkEvent)>>>,
}

/// # Members
impl Peers {
    /// Returns the drivers in order of preference for a key, those that cannot be asked left out.
    pub(crate) fn ranked(&self, node: &Node, key: &str) -> Vec<Name> {
        let now = node.now();
        let drivers = self.drivers.borrow();
        let mut names: Vec<Name> = drivers
            .iter()
            .filter(|(_, d)| d.link.is_some() && !d.leaving && now >= d.suspect_until)
            .map(|(name, _)| Name::clone(name))
            .collect();
        if node.cfg.role == NodeRole::Driver && !node.draining.get() {
            names.push(Name::clone(&node.cfg.node));
        }
        choose_subset(key, &names, names.len())
    }

    /// Tells whether this process drives the job with this id. A driver that was lost a moment ago
    /// still counts.
    pub(crate) fn owns(&self, node: &Node, job: &str) -> bool {
        if node.draining.get() {
            return false;
        }
        let now = node.now();
        let drivers = self.drivers.borrow();
        let mut names: Vec<Name> = drivers
            .iter()
            .filter(|(_, d)| !d.leaving && (d.link.is_some() || now - d.lost_at < TAKEOVER_DELAY))
            .map(|(name, _)| Name::clone(name))
            .collect();
        names.push(Name::clone(&node.cfg.node));
        choose_subset(job, &names, 1).first() == Some(&node.cfg.node)
    }

    /// Tells whether there is a link to a driver, or was one a moment ago.
    pub(crate) fn is_there(&self, node: &Node, name: &str) -> bool {
        let now = node.now();
        self.drivers
            .borrow()
            .get(name)
            .is_some_and(|d| d.link.is_some() || now - d.lost_at < TAKEOVER_DELAY)
    }

    pub(crate) fn link_to(&self, name: &str) -> Option<LinkHandle> {
        self.drivers.borrow().get(name).and_then(|driver| driver.link.clone())
    }

    /// Returns the links to all drivers.
    pub(crate) fn links(&self) -> Vec<LinkHandle> {
        self.drivers.borrow().values().filter_map(|driver| driver.link.clone()).collect()
    }

    /// Tells whether any driver can be asked.
    pub(crate) fn has_links(&self) -> bool {
        self.drivers.borrow().values().any(|driver| driver.link.is_some())
    }

    pub(crate) fn link_of_incarnation(&self, incarnation: u64) -> Option<LinkHandle> {
        self.accepted
            .borrow()
            .values()
            .filter(|accepted| accepted.incarnation == incarnation)
            .max_by_key(|accepted| accepted.link.id())
            .map(|accepted| accepted.link.clone())
    }

    pub(crate) fn suspect(&self, node: &Node, name: &str) {
        if let Some(driver) = self.drivers.borrow_mut().get_mut(name) {
            driver.suspect_until = node.now() + SUSPECT_TIME;
        }
    }

    /// Sends a frame on all links.
    pub(crate) fn broadcast(&self, frame: impl Into<Frame>) {
        let frame = frame.into();
        for accepted in self.accepted.borrow().values() {
            accepted.link.send(frame.clone());
        }
    }

    fn broadcast_everywhere(&self, frame: &Frame) {
        self.broadcast(frame.clone());
        for link in self.drivers.borrow().values().filter_map(|driver| driver.link.as_ref()) {
            link.send(frame.clone());
        }
    }
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
        Heartbeat { seq, generation, leaving: self.draining.get(), ..Heartbeat::default() }
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
                let source = match &source {
                    Source::Dialled(name) => Source::Dialled(Name::clone(name)),
                    Source::Accepted => Source::Accepted,
                };
                // The receiver lives as long as the process.
                let _ = tx.send((source, event));
            },
        )
    }

    /// Replaces the list of drivers and dials those that are new.
    pub(crate) fn set_drivers(&self, list: &[(Name, Name)]) {
        let now = self.now();
        let mut drivers = self.peers.drivers.borrow_mut();
        drivers.retain(|name, driver| {
            list.iter().any(|(other, addr)| other == name && *addr == driver.addr)
        });
        for (name, addr) in list {
            if *name == self.cfg.node || drivers.contains_key(name) {
                continue;
            }
            let Some(tx) = self.peers.tx.borrow().clone() else { return };
            let cfg = self.link_config(Source::Dialled(Name::clone(name)), tx);
            let driver = Driver {
                addr: Name::clone(addr),
                link: None,
                lost_at: now,
                suspect_until: Timestamp::ZERO,
                leaving: false,
                _dial: Some(dial(&Handle::current(), Name::clone(addr), cfg)),
            };
            drivers.insert(Name::clone(name), driver);
        }
    }

    fn on_link(self: &Rc<Self>, source: Source, event: LinkEvent) {
        match (source, event) {
            (Source::Dialled(name), LinkEvent::Up { link, .. }) => {
                if let Some(driver) = self.peers.drivers.borrow_mut().get_mut(&name) {
                    driver.link = Some(link);
                    driver.leaving = false;
                    driver.suspect_until = Timestamp::ZERO;
                }
                self.events.emit(&catalogue::LINK_UP, None, &[("peer", &name)]);
            }
            (Source::Dialled(name), LinkEvent::Down { link, reason }) => {
                let now = self.now();
                if let Some(driver) = self.peers.drivers.borrow_mut().get_mut(&name)
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
            (Source::Dialled(name), LinkEvent::Frame { link, kind }) => {
                self.on_driver_frame(&name, link, kind);
            }
            (Source::Accepted, LinkEvent::Up { link, hello }) => {
                // Places of the same process on an older link are told again.
                self.drop_places_of(hello.incarnation);
                let id = link.id();
                let accepted = Accepted { link, incarnation: hello.incarnation };
                self.peers.accepted.borrow_mut().insert(id, accepted);
                self.relay_on_link(id);
            }
            (Source::Accepted, LinkEvent::Down { link, .. }) => {
                let gone = self.peers.accepted.borrow_mut().remove(&link);
                let Some(gone) = gone else { return };
                let node = Rc::clone(self);
                spawn_local(async move {
                    sleep(ORPHAN_TIME).await;
                    if node.peers.link_of_incarnation(gone.incarnation).is_none() {
                        node.drop_places_of(gone.incarnation);
                    }
                });
            }
            (Source::Accepted, LinkEvent::Frame { link, kind }) => {
                let accepted = self.peers.accepted.borrow();
                let Some(from) = accepted.get(&link) else { return };
                let (incarnation, link) = (from.incarnation, from.link.clone());
                drop(accepted);
                self.on_peer_frame(incarnation, &link, kind);
            }
        }
    }

    /// Handles a frame from a driver that this process dialled.
    fn on_driver_frame(self: &Rc<Self>, name: &Name, link: LinkId, kind: Kind) {
        match kind {
            Kind::Heartbeat(beat) => {
                if let Some(driver) = self.peers.drivers.borrow_mut().get_mut(name) {
                    driver.leaving = beat.leaving;
                }
            }
            Kind::ConfigSet(set) => self.on_relayed_config(&set),
            Kind::EndpointSet(set) => self.on_relayed_endpoints(set),
            kind => self.on_place_reply(link, kind),
        }
    }

    /// Returns the link handle of an accepted link.
    pub(crate) fn accepted_link(&self, id: LinkId) -> Option<LinkHandle> {
        self.peers.accepted.borrow().get(&id).map(|accepted| accepted.link.clone())
    }
}
