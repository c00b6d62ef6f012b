//! Availability of the other processes, and selection of the one to contact.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::ServedBy;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_coord::served_share;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_wire::messages::Frame;
use tokio::sync::mpsc::UnboundedSender;

use super::links::LinkSource;
use crate::node::Node;
use crate::node::NodeRole;

/// Time for which a driver may be disconnected before another one takes over its jobs. A restart
/// takes about a second, and an earlier takeover would run its current items twice.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Time without a frame after which a process counts as unresponsive; two heartbeat intervals and a
/// margin.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Time without a frame after which a process may be served by another driver, or a driver may serve
/// others. A heartbeat interval and a margin. Two drivers may count the same gateways that long, and
/// the overrun covers 0.6 s of it with an organization whose burst is its rate of a second.
const LIMIT_SILENCE: Duration = Duration::from_millis(550);

/// Time for which a peer receives no requests after it failed to answer one.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time for which an unresponsive driver counts as a missing member of the fleet. After that, it
/// counts as removed.
const MISSING_MEMBER_TIME: Duration = Duration::from_secs(10);

/// Key for selecting the driver that assigns places and lists endpoints. It is the same for all
/// services, so that there is one such driver in a partition and not one for each service.
pub(crate) const DISPATCHER_KEY: &str = "places";

/// Process that this one has dialed.
#[derive(Debug)]
pub(super) struct DialedPeer {
    pub(super) addr: Name,
    pub(super) role: NodeRole,
    pub(super) link: Option<LinkHandle>,
    /// Time at which the last frame was received.
    pub(super) last_frame_at: Timestamp,
    /// Whether a link has ever been established.
    pub(super) was_connected: bool,
    /// Time at which the last link closed.
    pub(super) disconnected_at: Timestamp,
    pub(super) suspect_until: Timestamp,
    pub(super) leaving: bool,
    /// Whether the process reports itself as stale; see `Node::is_stale`.
    pub(super) stale: bool,
    pub(super) dial: DialHandle,
}

impl DialedPeer {
    fn is_responsive(&self, now: Timestamp) -> bool {
        self.link.is_some() && now - self.last_frame_at < SILENCE_TIMEOUT
    }

    fn is_available(&self, now: Timestamp) -> bool {
        self.is_responsive(now) && !self.leaving && now >= self.suspect_until
    }
}

/// Process that has dialed this one.
#[derive(Debug)]
pub(super) struct AcceptedPeer {
    pub(super) link: LinkHandle,
    pub(super) name: Name,
    pub(super) is_gateway: bool,
    pub(super) incarnation: u64,
    /// Driver from which the process requests places, and the time of the heartbeat that named it.
    pub(super) dispatcher: Option<(Name, Timestamp)>,
}

/// Links of a process: dialed to all drivers, accepted from all processes. A gateway that cannot
/// reach a driver dials other gateways, which then forward its requests.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(super) dialed: RefCell<HashMap<Name, DialedPeer>>,
    pub(super) accepted: RefCell<HashMap<LinkId, AcceptedPeer>>,
    pub(super) listener: RefCell<Option<LinkListener>>,
    pub(super) tx: RefCell<Option<UnboundedSender<(LinkSource, LinkEvent)>>>,
}

/// # Members
impl Peers {
    /// Returns the available drivers in order of preference for a key, stale ones last. If there
    /// are none, returns the gateways that relay instead.
    pub(crate) fn ranked(&self, node: &Node, key: &str) -> Vec<Name> {
        let now = node.now();
        self.ranked_if(node, key, |peer| peer.is_available(now))
    }

    /// Returns the processes at which a place request may wait: the one that assigns places, and those
    /// that only miss a reply and precede it otherwise.
    pub(crate) fn place_assigners(&self, node: &Node) -> Vec<Name> {
        let now = node.now();
        let first = self.ranked(node, DISPATCHER_KEY).into_iter().next();
        let is_ready = |peer: &DialedPeer| peer.is_responsive(now) && !peer.leaving;
        let mut ranked = self.ranked_if(node, DISPATCHER_KEY, is_ready);
        let count = ranked.iter().position(|name| Some(name) == first.as_ref());
        ranked.truncate(count.map_or(0, |index| index + 1));
        if ranked.is_empty() {
            ranked.push(Name::clone(&node.cfg.node));
        }
        ranked
    }

    fn ranked_if(
        &self,
        node: &Node,
        key: &str,
        accepts: impl Fn(&DialedPeer) -> bool + Copy,
    ) -> Vec<Name> {
        let dialed = self.dialed.borrow();
        let of_role = |role: NodeRole, stale: bool| {
            dialed
                .iter()
                .filter(move |(_, peer)| peer.role == role && accepts(peer))
                .filter(move |(_, peer)| peer.stale == stale)
                .map(|(name, _)| Name::clone(name))
                .collect::<Vec<_>>()
        };
        let mut fresh = of_role(NodeRole::Driver, false);
        let mut stale = of_role(NodeRole::Driver, true);
        if node.cfg.role == NodeRole::Driver && !node.draining.get() {
            let own = if node.is_stale() { &mut stale } else { &mut fresh };
            own.push(Name::clone(&node.cfg.node));
        }
        let mut ranked = choose_subset(key, &fresh, fresh.len());
        ranked.extend(choose_subset(key, &stale, stale.len()));
        if ranked.is_empty() {
            let relays = of_role(NodeRole::Gateway, false);
            ranked = choose_subset(key, &relays, relays.len());
        }
        ranked
    }

    /// Returns `true` if most connected processes request places from drivers that are unresponsive
    /// to this one. In a partition, this driver must then drive no jobs, because it does not have
    /// the requests that run at the endpoints on record.
    fn is_bypassed(&self, node: &Node) -> bool {
        let now = node.now();
        let dialed = self.dialed.borrow();
        let is_unresponsive = |name: &Name| {
            *name != node.cfg.node && !dialed.get(name).is_some_and(|peer| peer.is_responsive(now))
        };
        let accepted = self.accepted.borrow();
        let dispatchers = accepted
            .values()
            .filter_map(|accepted| accepted.dispatcher.as_ref())
            .filter(|(_, at)| now - *at < SILENCE_TIMEOUT);
        let (mut unresponsive, mut total) = (0, 0);
        for (name, _) in dispatchers {
            total += 1;
            unresponsive += usize::from(is_unresponsive(name));
        }
        unresponsive * 2 > total
    }

    /// Records that a process requests a place from this driver. Returns `true` if it named another one
    /// before, or none.
    pub(crate) fn on_place_request(&self, node: &Node, incarnation: u64) -> bool {
        let mut accepted = self.accepted.borrow_mut();
        let mut is_new = false;
        for peer in accepted.values_mut().filter(|peer| peer.incarnation == incarnation) {
            is_new |= peer.dispatcher.as_ref().is_none_or(|(name, _)| *name != node.cfg.node);
            peer.dispatcher = Some((Name::clone(&node.cfg.node), node.now()));
        }
        is_new
    }

    /// Returns the share of the limits of organizations that this driver may use.
    pub(crate) fn served_share(&self, node: &Node) -> f64 {
        let now = node.now();
        let registered = node.registered_nodes.borrow();
        let dialed = self.dialed.borrow();
        let hears_all_drivers = registered
            .iter()
            .filter(|other| other.role == NodeRole::Driver && other.name != node.cfg.node)
            .filter_map(|other| dialed.get(&other.name))
            .all(|peer| peer.link.is_some() && now - peer.last_frame_at < LIMIT_SILENCE);
        let mut gateways: HashMap<&str, Option<(&Name, Timestamp)>> = registered
            .iter()
            .filter(|other| other.role == NodeRole::Gateway)
            .map(|gateway| (&*gateway.name, None))
            .collect();
        let accepted = self.accepted.borrow();
        for peer in accepted.values().filter(|peer| peer.is_gateway) {
            let named = peer.dispatcher.as_ref().map(|(name, at)| (name, *at));
            let known = gateways.entry(&peer.name).or_default();
            // An older link of the same process may not be closed yet.
            if named.map(|(_, at)| at) >= known.map(|(_, at)| at) {
                *known = named;
            }
        }
        let served_by = gateways.into_values().map(|named| match named {
            Some((_, at)) if now - at >= LIMIT_SILENCE => ServedBy::Unknown,
            Some((name, _)) if *name == node.cfg.node => ServedBy::This,
            Some(_) => ServedBy::Other,
            None => ServedBy::Unknown,
        });
        served_share(served_by, hears_all_drivers)
    }

    /// Returns `true` if fewer than half of the other drivers are responsive. Unresponsive drivers
    /// that never connected, are leaving or count as removed are ignored.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        let dialed = self.dialed.borrow();
        let drivers = || dialed.values().filter(|peer| peer.role == NodeRole::Driver);
        let responsive = drivers().filter(|peer| peer.is_responsive(now)).count();
        let missing = drivers()
            .filter(|peer| peer.was_connected && !peer.is_responsive(now) && !peer.leaving)
            .filter(|peer| now - peer.last_frame_at < MISSING_MEMBER_TIME)
            .count();
        responsive < missing
    }

    /// Returns `true` if this process is to drive the job with this id. A driver that disconnected
    /// less than `TAKEOVER_DELAY` ago still owns its jobs.
    pub(crate) fn owns(&self, node: &Node, job: &str) -> bool {
        if node.draining.get() || self.is_bypassed(node) {
            return false;
        }
        self.preferred_driver(node, job, None).as_ref() == Some(&node.cfg.node)
    }

    /// Returns the driver that is to drive the job with this id, as seen by this process.
    pub(crate) fn owner_of(&self, node: &Node, job: &str) -> Option<Name> {
        self.preferred_driver(node, job, None)
    }

    /// Returns `true` if a driver that has just connected is to drive the job with this id.
    pub(crate) fn is_owner(&self, node: &Node, job: &str, driver: &Name) -> bool {
        self.preferred_driver(node, job, Some(driver)).as_ref() == Some(driver)
    }

    /// Returns the preferred driver of a job. The candidates include this process and `other`.
    fn preferred_driver(&self, node: &Node, job: &str, other: Option<&Name>) -> Option<Name> {
        let now = node.now();
        let dialed = self.dialed.borrow();
        let mut names: Vec<Name> = dialed
            .iter()
            .filter(|(_, peer)| peer.role == NodeRole::Driver && !peer.leaving)
            .filter(|(_, peer)| peer.link.is_some() || now - peer.disconnected_at < TAKEOVER_DELAY)
            .map(|(name, _)| Name::clone(name))
            .filter(|name| Some(name) != other)
            .collect();
        names.push(Name::clone(&node.cfg.node));
        names.extend(other.cloned());
        choose_subset(job, &names, 1).into_iter().next()
    }

    /// Returns the link to the driver that would take over a job from this one.
    pub(crate) fn backup_for(&self, node: &Node, job: &str) -> Option<LinkHandle> {
        let now = node.now();
        let dialed = self.dialed.borrow();
        let names: Vec<Name> = dialed
            .iter()
            .filter(|(_, peer)| peer.role == NodeRole::Driver)
            .filter(|(_, peer)| peer.is_responsive(now) && !peer.leaving)
            .map(|(name, _)| Name::clone(name))
            .collect();
        let backup = choose_subset(job, &names, 1).into_iter().next()?;
        dialed.get(&backup).and_then(|peer| peer.link.clone())
    }

    /// Returns `true` if a driver is connected, or was less than `TAKEOVER_DELAY` ago.
    pub(crate) fn is_present(&self, node: &Node, name: &str) -> bool {
        let now = node.now();
        self.dialed
            .borrow()
            .get(name)
            .is_some_and(|peer| peer.link.is_some() || now - peer.disconnected_at < TAKEOVER_DELAY)
    }

    /// Returns `true` if another driver that is accepted can take over work from this one.
    pub(crate) fn has_driver(&self, node: &Node, accepts: impl Fn(&Name) -> bool) -> bool {
        let now = node.now();
        self.dialed.borrow().iter().any(|(name, peer)| {
            let is_sound = peer.is_available(now) && !peer.stale;
            peer.role == NodeRole::Driver && is_sound && accepts(name)
        })
    }

    pub(crate) fn link_to(&self, name: &str) -> Option<LinkHandle> {
        self.dialed.borrow().get(name).and_then(|driver| driver.link.clone())
    }

    /// Returns the link to the preferred process for a key.
    pub(crate) fn preferred_link(&self, node: &Node, key: &str) -> Option<LinkHandle> {
        let first = self.ranked(node, key).into_iter().next()?;
        self.link_to(&first)
    }

    /// Returns the links to all drivers and to the gateways that relay instead.
    pub(crate) fn links(&self) -> Vec<LinkHandle> {
        self.dialed.borrow().values().filter_map(|peer| peer.link.clone()).collect()
    }

    /// Returns the links to all drivers.
    pub(crate) fn driver_links(&self) -> Vec<LinkHandle> {
        let dialed = self.dialed.borrow();
        let drivers = dialed.values().filter(|peer| peer.role == NodeRole::Driver);
        drivers.filter_map(|peer| peer.link.clone()).collect()
    }

    /// Returns `true` if there is a link to a process that relays for this one.
    pub(crate) fn has_links(&self) -> bool {
        self.dialed.borrow().values().any(|peer| peer.link.is_some())
    }

    /// Returns `true` if there is a link from a process that dialed this one.
    pub(crate) fn has_accepted(&self) -> bool {
        !self.accepted.borrow().is_empty()
    }

    pub(crate) fn link_of_incarnation(&self, incarnation: u64) -> Option<LinkHandle> {
        self.accepted
            .borrow()
            .values()
            .filter(|accepted| accepted.incarnation == incarnation)
            .max_by_key(|accepted| accepted.link.id())
            .map(|accepted| accepted.link.clone())
    }

    /// Marks a process as unavailable for `SUSPECT_TIME`, because it failed to answer a request.
    pub(crate) fn mark_suspect(&self, node: &Node, name: &str) {
        if let Some(driver) = self.dialed.borrow_mut().get_mut(name) {
            driver.suspect_until = node.now() + SUSPECT_TIME;
        }
    }

    /// Sends a frame to all processes that dialed this one.
    pub(crate) fn broadcast_to_accepted(&self, frame: impl Into<Frame>) {
        let frame = frame.into();
        for accepted in self.accepted.borrow().values() {
            accepted.link.send(frame.clone());
        }
    }

    /// Sends a frame on all links, dialed and accepted.
    pub(super) fn broadcast_to_all(&self, frame: &Frame) {
        self.broadcast_to_accepted(frame.clone());
        for link in self.dialed.borrow().values().filter_map(|driver| driver.link.as_ref()) {
            link.send(frame.clone());
        }
    }
}
