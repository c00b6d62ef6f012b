//! What one process knows about generations.

use std::collections::BTreeMap;

use crate::Generation;
use crate::Name;

/// What the store has said since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StoreAnswer {
    Pending,
    Answered,
    Down,
}

/// Where to fetch a generation from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FetchFrom {
    /// A peer that has it.
    Peer(Name),
    /// The store.
    Store,
}

/// Whether a new process may take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Readiness {
    /// It may.
    Ready,
    /// Neither the store nor every reachable peer has answered.
    Asking,
    /// A higher generation than the own one is known.
    Behind,
}

/// Highest generation known, and the generation in force in this process, which never steps back.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_coord::{FetchFrom, Generation, GenerationView, Name, Readiness};
///
/// let mut view = GenerationView::new();
/// let peer: Name = Arc::from("entry-1");
/// view.peer_linked(&peer);
/// view.store_failed();
/// assert_eq!(view.readiness(), Readiness::Asking);
/// view.peer_reported(&peer, Generation(7));
/// assert_eq!(view.fetch_from(), Some(FetchFrom::Peer(peer)));
/// assert!(view.adopt(Generation(7)));
/// assert_eq!(view.readiness(), Readiness::Ready);
/// assert!(!view.adopt(Generation(6)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GenerationView {
    held: Generation,
    known: Generation,
    store: StoreAnswer,
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
    /// Creates the view of a new process, which holds generation 0: no configuration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            held: Generation(0),
            known: Generation(0),
            store: StoreAnswer::Pending,
            peers: BTreeMap::new(),
            is_ready: false,
        }
    }

    /// Returns the generation in force in this process.
    #[must_use]
    pub const fn held(&self) -> Generation {
        self.held
    }

    /// Returns the highest generation that this process has heard of.
    #[must_use]
    pub const fn known(&self) -> Generation {
        self.known
    }

    /// Puts a generation in force, unless the own one is as new. Tells whether it did.
    #[must_use]
    pub fn adopt(&mut self, generation: Generation) -> bool {
        if generation <= self.held {
            return false;
        }
        self.held = generation;
        self.learn(generation);
        true
    }

    /// Returns where to fetch from if this process is behind.
    ///
    /// A peer that has the highest known generation comes before the store, whose rate of calls
    /// grows more slowly than the fleet.
    #[must_use]
    pub fn fetch_from(&self) -> Option<FetchFrom> {
        if self.held >= self.known {
            return None;
        }
        let has_known = |reported: &Option<Generation>| reported.is_some_and(|r| r >= self.known);
        let peer = self.peers.iter().find(|(_, reported)| has_known(reported));
        Some(peer.map_or(FetchFrom::Store, |(name, _)| FetchFrom::Peer(Name::clone(name))))
    }

    /// Returns whether a new process may take work. Once ready, it stays ready.
    #[must_use]
    pub const fn readiness(&self) -> Readiness {
        if self.is_ready {
            return Readiness::Ready;
        }
        if self.held.0 < self.known.0 {
            return Readiness::Behind;
        }
        Readiness::Asking
    }

    fn learn(&mut self, generation: Generation) {
        self.known = self.known.max(generation);
        self.is_ready |= self.has_asked_enough() && self.held >= self.known;
    }

    fn has_asked_enough(&self) -> bool {
        match self.store {
            StoreAnswer::Answered => true,
            StoreAnswer::Pending => false,
            StoreAnswer::Down => !self.peers.is_empty() && self.peers.values().all(Option::is_some),
        }
    }
}

/// # Observations
impl GenerationView {
    /// Takes the generation that the store has in force.
    pub fn store_answered(&mut self, generation: Generation) {
        self.store = StoreAnswer::Answered;
        self.learn(generation);
    }

    /// Takes a failure to ask the store.
    pub fn store_failed(&mut self) {
        if self.store == StoreAnswer::Pending {
            self.store = StoreAnswer::Down;
        }
        self.learn(self.held);
    }

    /// Takes a new link to a peer, which has not reported a generation yet.
    pub fn peer_linked(&mut self, peer: &Name) {
        self.peers.entry(Name::clone(peer)).or_insert(None);
    }

    /// Takes the generation on a heartbeat of a peer.
    pub fn peer_reported(&mut self, peer: &Name, generation: Generation) {
        self.peers.insert(Name::clone(peer), Some(generation));
        self.learn(generation);
    }

    /// Takes the end of the link to a peer.
    pub fn peer_lost(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.learn(self.held);
    }

    /// Takes a failure to fetch from a peer. It is asked again after its next heartbeat.
    pub fn fetch_failed(&mut self, peer: &str) {
        if let Some(reported) = self.peers.get_mut(peer) {
            *reported = None;
        }
    }
}
