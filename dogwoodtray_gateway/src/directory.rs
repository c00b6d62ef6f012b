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
use crate::model::EndpointState;
use crate::model::SiteConfig;

/// Time after the store returned in which entries that lapsed meanwhile may still come back. The
/// platform says about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Age of the last list up to which no entry can have lapsed unseen. A process that the store turns
/// away but that others keep up to date has missed nothing; entries lapse after several seconds.
const MAX_SEEN_GAP: Duration = Duration::from_millis(1_500);

/// Holds the newest configuration and the list of endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    config: Option<Rc<SiteConfig>>,
    endpoints: HashMap<Name, Rc<Endpoint>>,
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

    /// Takes a list of endpoints over. Returns whether anything changed.
    pub fn set_endpoints(
        &mut self,
        now: Timestamp,
        revision: Version,
        list: Vec<Endpoint>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let blind = self.listed_at.is_none_or(|at| now - at >= MAX_SEEN_GAP);
        if std::mem::take(&mut self.missed) && blind {
            self.lapse_until = now + LAPSE_GRACE;
        }
        self.revision = revision;
        self.listed_at = Some(now);
        let mut next: HashMap<Name, Rc<Endpoint>> = list
            .into_iter()
            .map(|endpoint| (Name::clone(&endpoint.id), Rc::new(endpoint)))
            .collect();
        if now < self.lapse_until {
            for (id, endpoint) in &self.endpoints {
                next.entry(Name::clone(id)).or_insert_with(|| Rc::clone(endpoint));
            }
        }
        if next == self.endpoints {
            return false;
        }
        self.endpoints = next;
        true
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
