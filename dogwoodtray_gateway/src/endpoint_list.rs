//! Keeps the endpoints of a process up to date.
//!
//! One driver lists them and relays what has changed to all processes; a process lists them itself
//! only when the relayed list grows old. A whole list grows with the endpoints and goes to every
//! process, so it is sent only to a process that holds another list than the sender takes it to.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::Listed;
use dogwoodtray_platform::Object;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;
use tokio::time::sleep;

use crate::directory::Applied;
use crate::model::Endpoint;
use crate::model::EndpointChanges;
use crate::model::EndpointState;
use crate::model::ListDigest;
use crate::node::Node;
use crate::node::NodeRole;
use crate::places::millis;
use crate::sync::Pause;

/// Interval at which one driver lists the endpoints. A draining endpoint must get no new request
/// 2 s after it said so, and the relay adds a few milliseconds.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Age of a relayed list at which a process lists the endpoints itself.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_000);

/// Interval at which a process looks at the age of its list.
const AGE_CHECK: Duration = Duration::from_millis(200);

/// # Listing
impl Node {
    /// Lists the endpoints whenever nobody else does so for this process.
    pub(crate) async fn follow_endpoints(self: Rc<Self>) {
        let mut pause = Pause::new();
        loop {
            if !self.must_list() {
                sleep(AGE_CHECK).await;
                continue;
            }
            match self.store.list(self.dialect.names().endpoints).await {
                Listed::All { objects, revision } => {
                    pause = Pause::new();
                    self.on_endpoints(revision, &objects);
                    sleep(LIST_INTERVAL).await;
                }
                Listed::Unavailable => {
                    self.directory.borrow_mut().on_list_failed();
                    self.store_silent.notify_waiters();
                    pause.wait(&self).await;
                }
            }
        }
    }

    /// Tells whether this process has to list the endpoints: it is the driver that does so for
    /// all, or the list that it was sent is old.
    fn must_list(&self) -> bool {
        if self.lists_for_all() {
            return true;
        }
        let listed_at = self.directory.borrow().listed_at();
        listed_at.is_none_or(|at| self.now() - at >= MAX_RELAY_AGE)
    }

    fn on_endpoints(&self, revision: Version, objects: &[Object]) {
        let mut list = Vec::with_capacity(objects.len());
        for object in objects {
            match self.dialect.endpoint(&object.name, object.spec.get()) {
                Ok(endpoint) => list.push(endpoint),
                Err(err) => {
                    metrics::counter!("dogwoodtray_unreadable_entries_total").increment(1);
                    log::debug!("entry {} names no endpoint: {err}", object.name);
                }
            }
        }
        self.wake_after_silence();
        let now = self.now();
        let applied = self.directory.borrow_mut().set_endpoints(now, revision, list);
        self.on_applied(applied, "store");
        let changes = self.directory.borrow_mut().take_changes();
        self.peers.broadcast(self.encode_changes(&changes));
    }

    /// Ends watches that were sent while the store was away, as they may never be answered.
    fn wake_after_silence(&self) {
        if self.directory.borrow().has_missed() {
            self.store_silent.notify_waiters();
        }
    }

    fn on_applied(&self, applied: Applied, source: &'static str) {
        if applied != Applied::Changed {
            return;
        }
        {
            let directory = self.directory.borrow();
            let (revision, count) = (directory.revision(), directory.endpoints().count());
            let fields: [(&str, &dyn Display); 3] =
                [("revision", &revision.0), ("endpoints", &count), ("source", &source)];
            self.events.emit(&catalogue::ENDPOINTS_CHANGED, None, &fields);
        }
        self.refresh_places();
    }
}

/// # Relaying
impl Node {
    /// Sends the whole list to a process that holds another one.
    pub(crate) fn relay_endpoints_on(&self, link: &LinkHandle) {
        if self.directory.borrow().is_listed() {
            link.send(self.endpoint_set());
        }
    }

    fn list_age_ms(&self) -> u32 {
        let listed_at = self.directory.borrow().listed_at();
        millis(listed_at.map_or(Duration::ZERO, |at| self.now() - at))
    }

    fn endpoint_set(&self) -> messages::EndpointSet {
        let directory = self.directory.borrow();
        messages::EndpointSet {
            revision: directory.revision().0,
            endpoints: directory.endpoints().map(|endpoint| encode(endpoint)).collect(),
            age_ms: self.list_age_ms(),
        }
    }

    fn encode_changes(&self, changes: &EndpointChanges) -> messages::EndpointChanges {
        messages::EndpointChanges {
            revision: self.directory.borrow().revision().0,
            age_ms: self.list_age_ms(),
            base: changes.base.0,
            digest: changes.digest.0,
            changed: changes.changed.iter().map(|endpoint| encode(endpoint)).collect(),
            removed: changes.removed.iter().map(ToString::to_string).collect(),
        }
    }

    /// Takes over a whole list that another process has relayed.
    pub(crate) fn on_relayed_endpoints(&self, set: messages::EndpointSet, from: NodeRole) {
        let age = Duration::from_millis(set.age_ms.into());
        if age >= MAX_RELAY_AGE {
            return;
        }
        self.wake_after_silence();
        let list = set.endpoints.iter().filter_map(decode).collect();
        let (at, revision) = (self.now().before(age), Version(set.revision));
        let applied = self.directory.borrow_mut().set_relayed(at, revision, list);
        self.on_applied(applied, "relay");
        self.relay_further(set, from);
    }

    /// Takes over what has changed in the list of another process, or asks it for the whole list.
    pub(crate) fn on_relayed_changes(
        &self,
        frame: messages::EndpointChanges,
        from: NodeRole,
        link: &LinkHandle,
    ) {
        let age = Duration::from_millis(frame.age_ms.into());
        if age >= MAX_RELAY_AGE {
            return;
        }
        self.wake_after_silence();
        let changes = EndpointChanges {
            base: ListDigest(frame.base),
            digest: ListDigest(frame.digest),
            changed: frame.changed.iter().filter_map(decode).map(Rc::new).collect(),
            removed: frame.removed.iter().map(|id| Name::from(id.as_str())).collect(),
        };
        let (at, revision) = (self.now().before(age), Version(frame.revision));
        let applied = self.directory.borrow_mut().apply(at, revision, &changes);
        if applied == Applied::OtherList {
            metrics::counter!("dogwoodtray_endpoint_fetches_total").increment(1);
            link.send(messages::EndpointFetch {});
            return;
        }
        self.on_applied(applied, "relay");
        self.relay_further(frame, from);
    }

    /// Passes on what a driver has sent. A gateway that another one has dialled stands in for the
    /// drivers. What came from a gateway goes no further, as two may have dialled each other.
    fn relay_further(&self, frame: impl Into<messages::Frame>, from: NodeRole) {
        let first_hand = from == NodeRole::Driver;
        if self.cfg.role == NodeRole::Gateway && first_hand && self.peers.has_accepted() {
            self.peers.broadcast(frame);
        }
    }
}

fn encode(endpoint: &Endpoint) -> messages::KnownEndpoint {
    messages::KnownEndpoint {
        id: endpoint.id.to_string(),
        service: endpoint.service.to_string(),
        address: endpoint.addr.to_string(),
        data_centre: endpoint.data_centre.to_string(),
        slots: endpoint.slots,
        draining: endpoint.state == EndpointState::Draining,
    }
}

fn decode(known: &messages::KnownEndpoint) -> Option<Endpoint> {
    let state = if known.draining { EndpointState::Draining } else { EndpointState::Ready };
    Some(Endpoint {
        id: Name::from(known.id.as_str()),
        service: Name::from(known.service.as_str()),
        addr: known
            .address
            .parse()
            .inspect_err(|err| log::warn!("endpoint {} has no usable address: {err}", known.id))
            .ok()?,
        data_centre: Name::from(known.data_centre.as_str()),
        slots: known.slots,
        state,
    })
}
