//! Synchronization of the list of endpoints.
//!
//! One driver lists the endpoints and relays the changes to all processes. A process lists them
//! itself only when its relayed list is too old. The size of a full list grows with the number of
//! endpoints, so it is sent only on request: every process says on a new link which list it has, by
//! its digest, and a process that has another one requests it from one of the others. After a
//! restart of all processes, each of them then receives one full list and not one from each driver.

use std::collections::HashSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::ListResult;
use dogwoodtray_platform::Object;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use tokio::time::sleep;

use crate::directory::Applied;
use crate::ignored_entries::loggable;
use crate::model::Endpoint;
use crate::model::EndpointChanges;
use crate::model::EndpointState;
use crate::model::ListDigest;
use crate::node::Node;
use crate::node::NodeRole;
use crate::sync::Backoff;

/// Interval between lists of the endpoints. A draining endpoint must receive no new requests 2 s
/// after it has announced the drain, and the relay adds a few milliseconds.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Age of a relayed list at which a process lists the endpoints itself.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_000);

/// Interval at which a process checks the age of its list.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a request for a full list in which no other one is requested. A list of 3,000 endpoints
/// takes a tenth of a second on a slow link.
const LIST_FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// # Listing
impl Node {
    /// Lists the endpoints whenever no recent list is relayed to this process.
    pub(crate) async fn sync_endpoints(self: Rc<Self>) {
        let mut backoff = Backoff::new();
        loop {
            if !self.should_list() {
                sleep(AGE_CHECK_INTERVAL).await;
                continue;
            }
            match self.store.list(self.dialect.names().endpoints).await {
                ListResult::All { objects, revision } => {
                    backoff = Backoff::new();
                    self.on_endpoints(revision, &objects);
                    sleep(LIST_INTERVAL).await;
                }
                ListResult::Unavailable => {
                    self.directory.borrow_mut().on_list_failed();
                    self.restart_store_calls.notify_waiters();
                    backoff.wait(&self).await;
                }
            }
        }
    }

    /// Returns `true` if this process has to list the endpoints: it is the driver that lists them
    /// for all processes, or its relayed list is too old.
    fn should_list(&self) -> bool {
        if self.is_listing_driver() {
            return true;
        }
        let listed_at = self.directory.borrow().listed_at();
        listed_at.is_none_or(|at| self.now() - at >= MAX_RELAY_AGE)
    }

    fn on_endpoints(&self, revision: Version, objects: &[Object]) {
        let list = self.decode_entries(objects);
        self.restart_watches_after_outage();
        let now = self.now();
        let applied = self.directory.borrow_mut().set_endpoints(now, revision, list);
        self.on_endpoints_applied(applied, "store");
        let changes = self.directory.borrow_mut().take_changes();
        if changes.base == ListDigest::default() {
            // The first list is as large as all endpoints; the others may have it already.
            self.peers.broadcast_to_accepted(self.list_announcement());
            return;
        }
        self.peers.broadcast_to_accepted(self.encode_changes(&changes));
    }

    /// Decodes the entries that name endpoints. Logs each of the others once, up to a limit.
    fn decode_entries(&self, objects: &[Object]) -> Vec<Endpoint> {
        let mut list = Vec::with_capacity(objects.len());
        let mut ignored = HashSet::new();
        let mut entries = self.ignored_entries.borrow_mut();
        for object in objects {
            let err = match self.dialect.endpoint(&object.name, object.spec.get()) {
                Ok(endpoint) => {
                    list.push(endpoint);
                    continue;
                }
                Err(err) => err,
            };
            if entries.should_log(&object.name) {
                let (name, error) = (loggable(&object.name), loggable(&err.to_string()));
                let fields: [(&str, &dyn Display); 3] =
                    [("entry", &name), ("revision", &object.revision.0), ("error", &error)];
                self.events.emit(&catalogue::ENTRY_IGNORED, None, &fields);
            }
            ignored.insert(&object.name);
        }
        entries.retain(&ignored);
        metrics::counter!("dogwoodtray_unreadable_entries_total").increment(ignored.len() as u64);
        metrics::gauge!("dogwoodtray_unreadable_entries").set(ignored.len() as f64);
        list
    }

    /// Restarts watches that were started during a store outage, as they may never complete.
    fn restart_watches_after_outage(&self) {
        if self.directory.borrow().has_list_failed() {
            self.restart_store_calls.notify_waiters();
        }
    }

    fn on_endpoints_applied(&self, applied: Applied, source: &'static str) {
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
    /// Says on a link which list this process has.
    pub(crate) fn announce_endpoints(&self, link: &LinkHandle) {
        if self.directory.borrow().is_listed() {
            link.send(self.list_announcement());
        }
    }

    /// Returns changes that contain none, by which the receiver learns whether it has the same list.
    fn list_announcement(&self) -> messages::EndpointChanges {
        let digest = self.directory.borrow().digest();
        self.encode_changes(&EndpointChanges { base: digest, digest, ..Default::default() })
    }

    /// Sends the full list on a link.
    pub(crate) fn send_endpoints(&self, link: &LinkHandle) {
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

    /// Applies a full list that was relayed by another process.
    pub(crate) fn on_relayed_endpoints(&self, set: messages::EndpointSet, from: NodeRole) {
        let age = Duration::from_millis(set.age_ms.into());
        if age >= MAX_RELAY_AGE {
            return;
        }
        self.endpoint_fetched_at.set(None);
        self.restart_watches_after_outage();
        let list = set.endpoints.iter().filter_map(decode).collect();
        let (at, revision) = (self.now().saturating_sub(age), Version(set.revision));
        let applied = self.directory.borrow_mut().set_relayed_endpoints(at, revision, list);
        self.on_endpoints_applied(applied, "relay");
        self.relay_driver_frame(set, from);
    }

    /// Applies relayed changes, or requests the full list if they are based on a different list.
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
        self.restart_watches_after_outage();
        let changes = EndpointChanges {
            base: ListDigest(frame.base),
            digest: ListDigest(frame.digest),
            changed: frame.changed.iter().filter_map(decode).map(Rc::new).collect(),
            removed: frame.removed.iter().map(|id| Name::from(id.as_str())).collect(),
        };
        let (at, revision) = (self.now().saturating_sub(age), Version(frame.revision));
        let applied = self.directory.borrow_mut().apply(at, revision, &changes);
        if applied == Applied::BaseMismatch {
            return self.fetch_endpoints(link);
        }
        self.on_endpoints_applied(applied, "relay");
        self.relay_driver_frame(frame, from);
    }

    /// Requests the full list, unless one was requested shortly before.
    fn fetch_endpoints(&self, link: &LinkHandle) {
        let now = self.now();
        let is_requested =
            self.endpoint_fetched_at.get().is_some_and(|at| now - at < LIST_FETCH_INTERVAL);
        if !is_requested {
            self.endpoint_fetched_at.set(Some(now));
            metrics::counter!("dogwoodtray_endpoint_fetches_total").increment(1);
            link.send(messages::EndpointFetch {});
        }
    }

    /// Relays a frame from a driver to the gateways that dialed this one because they cannot reach
    /// a driver. Frames from a gateway are not relayed, as two gateways may have dialed each other.
    pub(crate) fn relay_driver_frame(&self, frame: impl Into<messages::Frame>, from: NodeRole) {
        let from_driver = from == NodeRole::Driver;
        if self.cfg.role == NodeRole::Gateway && from_driver && self.peers.has_accepted() {
            self.peers.broadcast_to_accepted(frame);
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
        started_unix_ms: endpoint.started_unix_ms,
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
            .inspect_err(|err| log::warn!("invalid address of endpoint {}: {err}", known.id))
            .ok()?,
        data_centre: Name::from(known.data_centre.as_str()),
        slots: known.slots,
        state,
        started_unix_ms: known.started_unix_ms,
    })
}
