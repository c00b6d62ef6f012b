//! Changes between two lists of endpoints.

use std::rc::Rc;

use dogwoodtray_coord::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint::Endpoint;
use super::endpoint::EndpointState;

/// Digest of a list of endpoints, independent of their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListDigest(pub u64);

impl ListDigest {
    /// Adds an endpoint that is not in the list, or removes one that is.
    pub fn toggle(&mut self, endpoint: &Endpoint) {
        let Endpoint { id, service, addr, data_centre, slots, state, started_unix_ms } = endpoint;
        let draining = *state == EndpointState::Draining;
        let text = format!(
            "{id}\0{service}\0{addr}\0{data_centre}\0{slots}\0{draining}\0{started_unix_ms}"
        );
        self.0 ^= xxh3_64(text.as_bytes());
    }
}

/// Changes that transform one list of endpoints into another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// Digest of the list that the changes apply to.
    pub base: ListDigest,
    /// Digest of the resulting list.
    pub digest: ListDigest,
    /// Endpoints that were added or modified.
    pub changed: Vec<Rc<Endpoint>>,
    /// Ids of endpoints that were removed.
    pub removed: Vec<Name>,
}
