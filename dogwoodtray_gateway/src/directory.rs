//! Configuration and endpoints as known to this process.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_policy::EndpointPlaces;

use crate::leaving::LeavingMarks;
use crate::model::Endpoint;
use crate::model::EndpointChanges;
use crate::model::EndpointState;
use crate::model::ListDigest;
use crate::model::SiteConfig;

/// Time after a store outage during which entries that expired in the outage may reappear. The
/// platform specifies about two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_300);

/// Maximum gap between lists in which no entry can have expired unnoticed. Entries expire after
/// several seconds, so a process whose own store calls fail but that receives relayed lists misses
/// no expiry.
const MAX_LIST_GAP: Duration = Duration::from_millis(1_500);

/// Endpoints by id.
type EndpointMap = HashMap<Name, Rc<Endpoint>>;

/// Outcome of applying a list of endpoints or changes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The known endpoints changed.
    Changed,
    /// The known endpoints are the same as before.
    Same,
    /// A newer list has been applied before.
    Outdated,
    /// The changes are based on a list other than the last relayed one.
    BaseMismatch,
}

/// Newest configuration and list of endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    config: Option<Rc<SiteConfig>>,
    endpoints: EndpointMap,
    /// Last list that was relayed, in either direction; other processes hold the same list.
    relayed: EndpointMap,
    relayed_digest: ListDigest,
    /// Whether `endpoints` equals the relayed list, without expired entries that are retained.
    is_relayed_active: bool,
    revision: Version,
    listed_at: Option<Timestamp>,
    /// Whether a list call has failed since the last successful one.
    list_failed: bool,
    /// Time until which missing entries are treated as expired in an outage, not as removed.
    retain_missing_until: Timestamp,
    /// Endpoints that said that they are leaving, whatever the list says.
    leaving: LeavingMarks,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<SiteConfig>> {
        self.config.as_ref()
    }

    /// Returns the generation of the active configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.config.as_ref().map_or(Generation::default(), |config| config.generation)
    }

    /// Activates a configuration and returns `true`, unless the active one is at least as new.
    pub fn set_config(&mut self, config: SiteConfig) -> bool {
        if self.config.is_some() && config.generation <= self.generation() {
            return false;
        }
        self.config = Some(Rc::new(config));
        true
    }

    /// Returns the endpoint with this id if it accepts requests.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id).filter(|endpoint| self.accepts_requests(endpoint))
    }

    /// Returns the endpoint with this id, whether it accepts requests or not.
    #[must_use]
    pub fn known_endpoint(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Records that an endpoint said that it is leaving. Returns `true` if this was not known.
    pub fn mark_leaving(&mut self, now: Timestamp, endpoint: &Endpoint) -> bool {
        self.leaving.mark(now, endpoint)
    }

    /// Returns `true` if an endpoint said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        self.leaving.has(endpoint)
    }

    fn accepts_requests(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Ready && !self.is_leaving(endpoint)
    }

    /// Returns `true` if a list of endpoints has been applied.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Returns the time of the last list of endpoints.
    #[must_use]
    pub const fn listed_at(&self) -> Option<Timestamp> {
        self.listed_at
    }

    /// Returns the store revision of the last list of endpoints.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Returns all known endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the digest of the known endpoints.
    #[must_use]
    pub fn digest(&self) -> ListDigest {
        map_digest(&self.endpoints)
    }

    /// Returns `true` if a list call has failed since the last successful one.
    #[must_use]
    pub const fn has_list_failed(&self) -> bool {
        self.list_failed
    }

    /// Records that a list call failed.
    pub const fn on_list_failed(&mut self) {
        self.list_failed = true;
    }

    /// Applies a list that was read from the store.
    pub fn set_endpoints(
        &mut self,
        now: Timestamp,
        revision: Version,
        list: Vec<Endpoint>,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Outdated;
        }
        let applied = self.activate(now, revision, index_by_id(list));
        self.is_relayed_active &= applied != Applied::Changed;
        applied
    }

    /// Applies a list that was relayed by another process.
    pub fn set_relayed_endpoints(
        &mut self,
        now: Timestamp,
        revision: Version,
        list: Vec<Endpoint>,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Outdated;
        }
        self.relayed = index_by_id(list);
        self.relayed_digest = map_digest(&self.relayed);
        self.activate_relayed(now, revision)
    }

    /// Applies changes that were relayed by another process.
    pub fn apply(
        &mut self,
        now: Timestamp,
        revision: Version,
        changes: &EndpointChanges,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Outdated;
        }
        if self.listed_at.is_none() || changes.base != self.relayed_digest {
            return Applied::BaseMismatch;
        }
        for id in &changes.removed {
            if let Some(removed) = self.relayed.remove(id) {
                self.relayed_digest.toggle(&removed);
            }
        }
        for endpoint in &changes.changed {
            self.relayed_digest.toggle(endpoint);
            let id = Name::clone(&endpoint.id);
            if let Some(before) = self.relayed.insert(id, Rc::clone(endpoint)) {
                self.relayed_digest.toggle(&before);
            }
        }
        // The digests differ if an endpoint could not be decoded.
        if self.relayed_digest != changes.digest {
            self.is_relayed_active = false;
            return Applied::BaseMismatch;
        }
        let unchanged = changes.changed.is_empty() && changes.removed.is_empty();
        if unchanged && self.is_relayed_active {
            self.record_list(now, revision);
            return Applied::Same;
        }
        self.activate_relayed(now, revision)
    }

    /// Returns the changes since the last relayed list, and records the active endpoints as the
    /// relayed list.
    pub fn take_changes(&mut self) -> EndpointChanges {
        let digest = self.relayed_digest;
        let mut changes = EndpointChanges { base: digest, digest, ..Default::default() };
        if self.is_relayed_active {
            return changes;
        }
        for (id, endpoint) in &self.endpoints {
            if self.relayed.get(id) != Some(endpoint) {
                changes.changed.push(Rc::clone(endpoint));
            }
        }
        let removed = self.relayed.keys().filter(|id| !self.endpoints.contains_key(*id));
        changes.removed = removed.cloned().collect();
        if !changes.changed.is_empty() || !changes.removed.is_empty() {
            self.relayed = self.endpoints.clone();
            self.relayed_digest = map_digest(&self.relayed);
        }
        self.is_relayed_active = true;
        changes.digest = self.relayed_digest;
        changes
    }

    fn record_list(&mut self, now: Timestamp, revision: Version) {
        let may_have_missed_expiry = self.listed_at.is_none_or(|at| now - at >= MAX_LIST_GAP);
        if std::mem::take(&mut self.list_failed) && may_have_missed_expiry {
            self.retain_missing_until = now + EXPIRY_GRACE;
        }
        self.leaving.expire(now);
        self.revision = revision;
        self.listed_at = Some(now);
    }

    fn activate_relayed(&mut self, now: Timestamp, revision: Version) -> Applied {
        let applied = self.activate(now, revision, self.relayed.clone());
        self.is_relayed_active = self.endpoints.len() == self.relayed.len();
        applied
    }

    fn activate(&mut self, now: Timestamp, revision: Version, mut next: EndpointMap) -> Applied {
        self.record_list(now, revision);
        if now < self.retain_missing_until {
            for (id, endpoint) in &self.endpoints {
                next.entry(Name::clone(id)).or_insert_with(|| Rc::clone(endpoint));
            }
        }
        if next == self.endpoints {
            return Applied::Same;
        }
        self.endpoints = next;
        Applied::Changed
    }

    /// Returns the places of all endpoints that accept requests.
    #[must_use]
    pub fn places(&self) -> Vec<EndpointPlaces> {
        self.endpoints
            .values()
            .filter(|endpoint| self.accepts_requests(endpoint))
            .map(|endpoint| EndpointPlaces {
                name: Name::clone(&endpoint.id),
                service: Name::clone(&endpoint.service),
                slots: endpoint.slots,
            })
            .collect()
    }
}

fn index_by_id(list: Vec<Endpoint>) -> EndpointMap {
    list.into_iter().map(|endpoint| (Name::clone(&endpoint.id), Rc::new(endpoint))).collect()
}

fn map_digest(map: &EndpointMap) -> ListDigest {
    let mut digest = ListDigest::default();
    map.values().for_each(|endpoint| digest.toggle(endpoint));
    digest
}
