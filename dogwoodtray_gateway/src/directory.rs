//! Configuration and endpoints as this process knows them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_policy::EndpointPlaces;

use crate::model::Endpoint;
use crate::model::EndpointChanges;
use crate::model::EndpointState;
use crate::model::ListDigest;
use crate::model::SiteConfig;

/// Time after the store returned in which entries that lapsed meanwhile may still come back. The
/// platform says about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Age of the last list up to which no entry can have lapsed unseen. A process that the store turns
/// away but that others keep up to date has missed nothing; entries lapse after several seconds.
const MAX_SEEN_GAP: Duration = Duration::from_millis(1_500);

/// Endpoints by id.
type List = HashMap<Name, Rc<Endpoint>>;

/// What became of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Other endpoints are known now.
    Changed,
    /// The same endpoints are known as before.
    Same,
    /// A newer list is known.
    Older,
    /// The changes belong to another list than the last one that was relayed here.
    OtherList,
}

/// Holds the newest configuration and the list of endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    config: Option<Rc<SiteConfig>>,
    endpoints: List,
    /// List that other processes hold: the last one that was relayed, in either direction.
    relayed: List,
    relayed_digest: ListDigest,
    /// Whether the relayed list is in force as it is, without lapsed entries that are kept.
    has_relayed_in_force: bool,
    revision: Version,
    listed_at: Option<Timestamp>,
    /// Whether a list failed since the last one that succeeded.
    missed: bool,
    /// Time until which missing entries count as lapsed and not as gone.
    lapse_until: Timestamp,
}

impl Directory {
    /// Creates a directory that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<SiteConfig>> {
        self.config.as_ref()
    }

    /// Returns the generation of the configuration in force.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.config.as_ref().map_or(Generation::default(), |config| config.generation)
    }

    /// Takes a configuration over unless it is older than the one in force.
    pub fn set_config(&mut self, config: SiteConfig) -> bool {
        if self.config.is_some() && config.generation <= self.generation() {
            return false;
        }
        self.config = Some(Rc::new(config));
        true
    }

    /// Returns an endpoint that takes requests.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id).filter(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Tells whether the endpoints have been listed.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Returns the time of the last list of endpoints.
    #[must_use]
    pub const fn listed_at(&self) -> Option<Timestamp> {
        self.listed_at
    }

    /// Returns the revision of the store that the endpoints were listed at.
    #[must_use]
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Returns all known endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    /// Tells whether a list failed since the last one that succeeded.
    #[must_use]
    pub const fn has_missed(&self) -> bool {
        self.missed
    }

    /// Notes that the endpoints could not be listed.
    pub const fn on_list_failed(&mut self) {
        self.missed = true;
    }

    /// Takes over a list that was read from the store.
    pub fn set_endpoints(
        &mut self,
        now: Timestamp,
        revision: Version,
        list: Vec<Endpoint>,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Older;
        }
        let applied = self.put_in_force(now, revision, by_id(list));
        self.has_relayed_in_force &= applied != Applied::Changed;
        applied
    }

    /// Takes over a list that another process has relayed.
    pub fn set_relayed(
        &mut self,
        now: Timestamp,
        revision: Version,
        list: Vec<Endpoint>,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Older;
        }
        self.relayed = by_id(list);
        self.relayed_digest = list_digest(&self.relayed);
        self.put_relayed_in_force(now, revision)
    }

    /// Takes over changes that another process has relayed.
    pub fn apply(
        &mut self,
        now: Timestamp,
        revision: Version,
        changes: &EndpointChanges,
    ) -> Applied {
        if revision < self.revision {
            return Applied::Older;
        }
        if self.listed_at.is_none() || changes.base != self.relayed_digest {
            return Applied::OtherList;
        }
        for id in &changes.removed {
            if let Some(gone) = self.relayed.remove(id) {
                self.relayed_digest.toggle(&gone);
            }
        }
        for endpoint in &changes.changed {
            self.relayed_digest.toggle(endpoint);
            let id = Name::clone(&endpoint.id);
            if let Some(before) = self.relayed.insert(id, Rc::clone(endpoint)) {
                self.relayed_digest.toggle(&before);
            }
        }
        // An endpoint that could not be decoded is missing here.
        if self.relayed_digest != changes.digest {
            self.has_relayed_in_force = false;
            return Applied::OtherList;
        }
        let unchanged = changes.changed.is_empty() && changes.removed.is_empty();
        if unchanged && self.has_relayed_in_force {
            self.note_list(now, revision);
            return Applied::Same;
        }
        self.put_relayed_in_force(now, revision)
    }

    /// Returns what has changed since the last list that was relayed, and takes the endpoints in
    /// force for relayed.
    pub fn take_changes(&mut self) -> EndpointChanges {
        let digest = self.relayed_digest;
        let mut changes = EndpointChanges { base: digest, digest, ..Default::default() };
        if self.has_relayed_in_force {
            return changes;
        }
        for (id, endpoint) in &self.endpoints {
            if self.relayed.get(id) != Some(endpoint) {
                changes.changed.push(Rc::clone(endpoint));
            }
        }
        let gone = self.relayed.keys().filter(|id| !self.endpoints.contains_key(*id));
        changes.removed = gone.cloned().collect();
        if !changes.changed.is_empty() || !changes.removed.is_empty() {
            self.relayed = self.endpoints.clone();
            self.relayed_digest = list_digest(&self.relayed);
        }
        self.has_relayed_in_force = true;
        changes.digest = self.relayed_digest;
        changes
    }

    fn note_list(&mut self, now: Timestamp, revision: Version) {
        let blind = self.listed_at.is_none_or(|at| now - at >= MAX_SEEN_GAP);
        if std::mem::take(&mut self.missed) && blind {
            self.lapse_until = now + LAPSE_GRACE;
        }
        self.revision = revision;
        self.listed_at = Some(now);
    }

    fn put_relayed_in_force(&mut self, now: Timestamp, revision: Version) -> Applied {
        let applied = self.put_in_force(now, revision, self.relayed.clone());
        self.has_relayed_in_force = self.endpoints.len() == self.relayed.len();
        applied
    }

    fn put_in_force(&mut self, now: Timestamp, revision: Version, mut next: List) -> Applied {
        self.note_list(now, revision);
        if now < self.lapse_until {
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

    /// Returns the places of all endpoints that take requests.
    #[must_use]
    pub fn places(&self) -> Vec<EndpointPlaces> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ready)
            .map(|endpoint| EndpointPlaces {
                name: Name::clone(&endpoint.id),
                service: Name::clone(&endpoint.service),
                slots: endpoint.slots,
            })
            .collect()
    }
}

fn by_id(list: Vec<Endpoint>) -> List {
    list.into_iter().map(|endpoint| (Name::clone(&endpoint.id), Rc::new(endpoint))).collect()
}

fn list_digest(list: &List) -> ListDigest {
    let mut digest = ListDigest::default();
    list.values().for_each(|endpoint| digest.toggle(endpoint));
    digest
}
