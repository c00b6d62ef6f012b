//! What changes from one list of endpoints to the next.

use std::rc::Rc;

use dogwoodtray_coord::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint::Endpoint;
use super::endpoint::EndpointState;

/// Digest of a list of endpoints in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListDigest(pub u64);

impl ListDigest {
    /// Adds an endpoint that is not in the list, or takes out one that is.
    pub fn toggle(&mut self, endpoint: &Endpoint) {
        let Endpoint { id, service, addr, data_centre, slots, state } = endpoint;
        let draining = *state == EndpointState::Draining;
        let text = format!("{id}\0{service}\0{addr}\0{data_centre}\0{slots}\0{draining}");
        self.0 ^= xxh3_64(text.as_bytes());
    }
}

/// Changes that lead from one list of endpoints to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// Digest of the list that they apply to.
    pub base: ListDigest,
    /// Digest of the list that results.
    pub digest: ListDigest,
    /// Endpoints that are new or differ.
    pub changed: Vec<Rc<Endpoint>>,
    /// Endpoints that are gone.
    pub removed: Vec<Name>,
}
