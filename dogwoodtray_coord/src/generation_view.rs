//! Configuration generations as one process sees them.

use std::collections::BTreeMap;

use crate::Generation;
use crate::Name;

/// Result of the requests to the store since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StoreStatus {
    Pending,
    Answered,
    Unavailable,
}

/// Source of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FetchSource {
    /// Peer that has the generation.
    Peer(Name),
    /// The store.
    Store,
}

/// Readiness of a new process to accept work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// The process may accept work.
    Ready,
    /// Neither the store nor all reachable peers have reported a generation yet.
    Pending,
    /// A higher generation than the active one is known.
    Outdated,
}

/// View of the highest known generation and the generation active in this process.
///
/// The active generation never decreases.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_coord::{FetchSource, Generation, GenerationView, Name, Readiness};
///
/// let mut view = GenerationView::new();
/// let peer: Name = Arc::from("entry-1");
/// view.peer_connected(&peer);
/// view.store_failed();
/// assert_eq!(view.readiness(), Readiness::Pending);
/// view.peer_reported(&peer, Generation(7));
/// assert_eq!(view.fetch_source(), Some(FetchSource::Peer(peer)));
/// assert!(view.activate(Generation(7)));
/// assert_eq!(view.readiness(), Readiness::Ready);
/// assert!(!view.activate(Generation(6)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GenerationView {
    current: Generation,
    highest_known: Generation,
    store: StoreStatus,
    /// Reachable peers and the generation that each reported.
    peers: BTreeMap<Name, Option<Generation>>,
    is_ready: bool,
}

impl Default for GenerationView {
    fn default() -> Self {
        Self::new()
    }
}

impl GenerationView {
    /// Creates the view of a new process. Its active generation is 0, which means no configuration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            current: Generation(0),
            highest_known: Generation(0),
            store: StoreStatus::Pending,
            peers: BTreeMap::new(),
            is_ready: false,
        }
    }

    /// Returns the generation active in this process.
    #[must_use]
    pub const fn current(&self) -> Generation {
        self.current
    }

    /// Returns the highest generation known to this process.
    #[must_use]
    pub const fn highest_known(&self) -> Generation {
        self.highest_known
    }

    /// Activates a generation if it is newer than the active one, and returns whether it did so.
    #[must_use]
    pub fn activate(&mut self, generation: Generation) -> bool {
        if generation <= self.current {
            return false;
        }
        self.current = generation;
        self.observe(generation);
        true
    }

    /// Returns the source to fetch from, or `None` if the active generation is the highest known.
    ///
    /// A peer that has the highest known generation is preferred, because the rate limit of the
    /// store grows more slowly than the fleet.
    #[must_use]
    pub fn fetch_source(&self) -> Option<FetchSource> {
        if self.current >= self.highest_known {
            return None;
        }
        let has_highest =
            |reported: &Option<Generation>| reported.is_some_and(|r| r >= self.highest_known);
        let peer = self.peers.iter().find(|(_, reported)| has_highest(reported));
        Some(peer.map_or(FetchSource::Store, |(name, _)| FetchSource::Peer(Name::clone(name))))
    }

    /// Returns whether a new process may accept work. Once ready, a process stays ready.
    #[must_use]
    pub const fn readiness(&self) -> Readiness {
        if self.is_ready {
            return Readiness::Ready;
        }
        if self.current.0 < self.highest_known.0 {
            return Readiness::Outdated;
        }
        Readiness::Pending
    }

    fn observe(&mut self, generation: Generation) {
        self.highest_known = self.highest_known.max(generation);
        self.is_ready |= self.has_enough_replies() && self.current >= self.highest_known;
    }

    fn has_enough_replies(&self) -> bool {
        match self.store {
            StoreStatus::Answered => true,
            StoreStatus::Pending => false,
            StoreStatus::Unavailable => {
                !self.peers.is_empty() && self.peers.values().all(Option::is_some)
            }
        }
    }
}

/// # Observations
impl GenerationView {
    /// Records the generation that the store reported.
    pub fn store_replied(&mut self, generation: Generation) {
        self.store = StoreStatus::Answered;
        self.observe(generation);
    }

    /// Records a failed request to the store.
    pub fn store_failed(&mut self) {
        if self.store == StoreStatus::Pending {
            self.store = StoreStatus::Unavailable;
        }
        self.observe(self.current);
    }

    /// Records a new link to a peer that has not reported a generation yet.
    pub fn peer_connected(&mut self, peer: &Name) {
        self.peers.entry(Name::clone(peer)).or_insert(None);
    }

    /// Records the generation in a heartbeat of a peer.
    pub fn peer_reported(&mut self, peer: &Name, generation: Generation) {
        self.peers.insert(Name::clone(peer), Some(generation));
        self.observe(generation);
    }

    /// Records the end of the link to a peer.
    pub fn peer_disconnected(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.observe(self.current);
    }

    /// Records a failed fetch from a peer. The peer is used again after its next heartbeat.
    pub fn fetch_failed(&mut self, peer: &str) {
        if let Some(reported) = self.peers.get_mut(peer) {
            *reported = None;
        }
    }
}
