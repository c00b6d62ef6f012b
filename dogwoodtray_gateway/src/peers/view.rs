//! Which processes there are, and whom to ask.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_wire::messages::Frame;
use tokio::sync::mpsc::UnboundedSender;

use super::links::Source;
use crate::node::Node;
use crate::node::NodeRole;

/// Time that a driver may be away before another one drives its jobs. A restart takes about a
/// second, and the items that run would be run twice.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Time since the last frame after which a process is not asked; two heartbeats and a margin.
pub(super) const QUIET_TIME: Duration = Duration::from_millis(1_250);

/// Time that a driver gets no asks after it failed to answer one.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time for which a driver that was lost counts among those that should be there. One that is
/// gone for longer was taken away.
const MISSED_TIME: Duration = Duration::from_secs(10);

/// Key by which the driver that gives places and lists endpoints is chosen. It is the same for all
/// services, so that a partition leaves one such driver and not one for each service.
pub(crate) const DISPATCHER_KEY: &str = "places";

/// Process that this one has dialled.
#[derive(Debug)]
pub(super) struct Dialled {
    pub(super) addr: Name,
    pub(super) role: NodeRole,
    pub(super) link: Option<LinkHandle>,
    /// Time of the last frame.
    pub(super) heard_at: Timestamp,
    /// Whether there ever was a link.
    pub(super) was_heard: bool,
    /// Time since which there is no link.
    pub(super) lost_at: Timestamp,
    pub(super) suspect_until: Timestamp,
    pub(super) leaving: bool,
    /// Whether the process says that it has lost touch with the store.
    pub(super) stale: bool,
    pub(super) dial: DialHandle,
}

impl Dialled {
    fn is_heard(&self, now: Timestamp) -> bool {
        self.link.is_some() && now - self.heard_at < QUIET_TIME
    }

    fn can_be_asked(&self, now: Timestamp) -> bool {
        self.is_heard(now) && !self.leaving && now >= self.suspect_until
    }
}

#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) link: LinkHandle,
    pub(super) incarnation: u64,
    /// Driver that a gateway asks for places, and when it said so.
    pub(super) dispatcher: Option<(Name, Timestamp)>,
}

/// Links of a process: dialled to all drivers, accepted from all processes. A gateway that reaches
/// no driver dials other gateways, which then pass its asks on.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(super) dialled: RefCell<HashMap<Name, Dialled>>,
    pub(super) accepted: RefCell<HashMap<LinkId, Accepted>>,
    pub(super) listener: RefCell<Option<LinkListener>>,
    pub(super) tx: RefCell<Option<UnboundedSender<(Source, LinkEvent)>>>,
}

/// # Members
impl Peers {
    /// Returns the drivers in order of preference for a key, those that cannot be asked left out.
    /// Drivers that have lost touch come last. Without a driver, gateways stand in for them.
    pub(crate) fn ranked(&self, node: &Node, key: &str) -> Vec<Name> {
        let now = node.now();
        let dialled = self.dialled.borrow();
        let of_role = |role: NodeRole, stale: bool| {
            dialled
                .iter()
                .filter(move |(_, peer)| peer.role == role && peer.can_be_asked(now))
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

    /// Tells whether most gateways ask a driver that this one does not hear. In a partition the
    /// drivers on the other side cannot know what runs at the endpoints, and leave them alone.
    fn is_passed_over(&self, node: &Node) -> bool {
        let now = node.now();
        let dialled = self.dialled.borrow();
        let unheard = |name: &Name| {
            *name != node.cfg.node && !dialled.get(name).is_some_and(|peer| peer.is_heard(now))
        };
        let accepted = self.accepted.borrow();
        let told = accepted
            .values()
            .filter_map(|accepted| accepted.dispatcher.as_ref())
            .filter(|(_, at)| now - *at < QUIET_TIME);
        let (mut elsewhere, mut all) = (0, 0);
        for (name, _) in told {
            all += 1;
            elsewhere += usize::from(unheard(name));
        }
        elsewhere * 2 > all
    }

    /// Tells whether this driver hears fewer than half of the others that should be there.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        let dialled = self.dialled.borrow();
        let drivers = || dialled.values().filter(|peer| peer.role == NodeRole::Driver);
        let heard = drivers().filter(|peer| peer.is_heard(now)).count();
        let missed = drivers()
            .filter(|peer| peer.was_heard && !peer.is_heard(now) && !peer.leaving)
            .filter(|peer| now - peer.heard_at < MISSED_TIME)
            .count();
        heard < missed
    }

    /// Tells whether this process drives the job with this id. A driver that was lost a moment ago
    /// still counts.
    pub(crate) fn owns(&self, node: &Node, job: &str) -> bool {
        if node.draining.get() || self.is_passed_over(node) {
            return false;
        }
        self.preferred(node, job, None).as_ref() == Some(&node.cfg.node)
    }

    /// Tells whether a driver that has just linked drives the job with this id.
    pub(crate) fn is_owner(&self, node: &Node, job: &str, of: &Name) -> bool {
        self.preferred(node, job, Some(of)).as_ref() == Some(of)
    }

    /// Returns the driver that comes first for a job, this process and another one among them.
    fn preferred(&self, node: &Node, job: &str, other: Option<&Name>) -> Option<Name> {
        let now = node.now();
        let dialled = self.dialled.borrow();
        let mut names: Vec<Name> = dialled
            .iter()
            .filter(|(_, d)| d.role == NodeRole::Driver && !d.leaving)
            .filter(|(_, d)| d.link.is_some() || now - d.lost_at < TAKEOVER_DELAY)
            .map(|(name, _)| Name::clone(name))
            .filter(|name| Some(name) != other)
            .collect();
        names.push(Name::clone(&node.cfg.node));
        names.extend(other.cloned());
        choose_subset(job, &names, 1).into_iter().next()
    }

    /// Returns the link to the driver that would take a job over from this one.
    pub(crate) fn backup_for(&self, node: &Node, job: &str) -> Option<LinkHandle> {
        let now = node.now();
        let dialled = self.dialled.borrow();
        let names: Vec<Name> = dialled
            .iter()
            .filter(|(_, peer)| peer.role == NodeRole::Driver)
            .filter(|(_, peer)| peer.is_heard(now) && !peer.leaving)
            .map(|(name, _)| Name::clone(name))
            .collect();
        let backup = choose_subset(job, &names, 1).into_iter().next()?;
        dialled.get(&backup).and_then(|peer| peer.link.clone())
    }

    /// Tells whether there is a link to a driver, or was one a moment ago.
    pub(crate) fn is_there(&self, node: &Node, name: &str) -> bool {
        let now = node.now();
        self.dialled
            .borrow()
            .get(name)
            .is_some_and(|d| d.link.is_some() || now - d.lost_at < TAKEOVER_DELAY)
    }

    pub(crate) fn link_to(&self, name: &str) -> Option<LinkHandle> {
        self.dialled.borrow().get(name).and_then(|driver| driver.link.clone())
    }

    /// Returns the link to the first in order of preference for a key.
    pub(crate) fn first_link(&self, node: &Node, key: &str) -> Option<LinkHandle> {
        let first = self.ranked(node, key).into_iter().next()?;
        self.link_to(&first)
    }

    /// Returns the links to all drivers and to the gateways that stand in for them.
    pub(crate) fn links(&self) -> Vec<LinkHandle> {
        self.dialled.borrow().values().filter_map(|peer| peer.link.clone()).collect()
    }

    /// Returns the links to all drivers.
    pub(crate) fn driver_links(&self) -> Vec<LinkHandle> {
        let dialled = self.dialled.borrow();
        let drivers = dialled.values().filter(|peer| peer.role == NodeRole::Driver);
        drivers.filter_map(|peer| peer.link.clone()).collect()
    }

    /// Tells whether any process relays for this one.
    pub(crate) fn has_links(&self) -> bool {
        self.dialled.borrow().values().any(|peer| peer.link.is_some())
    }

    /// Tells whether any process has dialled this one.
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

    pub(crate) fn suspect(&self, node: &Node, name: &str) {
        if let Some(driver) = self.dialled.borrow_mut().get_mut(name) {
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

    pub(super) fn broadcast_everywhere(&self, frame: &Frame) {
        self.broadcast(frame.clone());
        for link in self.dialled.borrow().values().filter_map(|driver| driver.link.as_ref()) {
            link.send(frame.clone());
        }
    }
}
