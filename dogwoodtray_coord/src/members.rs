//! State of each peer, derived from its heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Incarnation;
use crate::Name;
use crate::Timestamp;

/// State of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The VM list contains the peer, and no heartbeat has been received.
    Unknown,
    /// A heartbeat was received within the silence deadline.
    Live,
    /// No heartbeat was received within the silence deadline, or the link is closed.
    Silent,
    /// The peer announced that it is leaving; it gets no new work.
    Leaving,
    /// No heartbeat was received within the death deadline.
    Dead,
}

/// Settings of a [`MemberView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberConfig {
    /// Time without a heartbeat after which a peer is silent.
    pub silent_after: Duration,
    /// Time without a heartbeat after which a peer is dead.
    pub dead_after: Duration,
}

impl Default for MemberConfig {
    /// Returns deadlines of 4 and 20 heartbeat intervals of 500 ms.
    fn default() -> Self {
        Self { silent_after: Duration::from_secs(2), dead_after: Duration::from_secs(10) }
    }
}

/// Observed state of one peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PeerRecord {
    incarnation: Incarnation,
    /// Previous incarnation. Its late heartbeats are ignored, so that they do not revive it.
    previous: Option<Incarnation>,
    last_heartbeat: Timestamp,
    is_leaving: bool,
    is_closed: bool,
}

impl PeerRecord {
    const fn new(now: Timestamp, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            previous: None,
            last_heartbeat: now,
            is_leaving: false,
            is_closed: false,
        }
    }
}

/// View of the state of each peer, derived from direct heartbeats.
///
/// The VM list lags, so it only provides the names of peers: it never makes a peer live or dead. A
/// leaving notice remains in effect until the peer returns with another incarnation.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::{Incarnation, MemberConfig, MemberState, MemberView, Name, Timestamp};
///
/// let mut view = MemberView::new(MemberConfig::default());
/// let peer: Name = Arc::from("agent-7");
/// view.set_listed([peer.clone()]);
/// assert_eq!(view.state(Timestamp::ZERO, &peer), Some(MemberState::Unknown));
/// view.record_heartbeat(Timestamp::ZERO, &peer, Incarnation(1), false);
/// assert_eq!(view.state(Timestamp::ZERO, &peer), Some(MemberState::Live));
/// let later = Timestamp::ZERO + Duration::from_secs(3);
/// assert_eq!(view.state(later, &peer), Some(MemberState::Silent));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberView {
    config: MemberConfig,
    listed: BTreeSet<Name>,
    records: BTreeMap<Name, PeerRecord>,
}

impl MemberView {
    /// Creates a view without peers.
    #[must_use]
    pub const fn new(config: MemberConfig) -> Self {
        Self { config, listed: BTreeSet::new(), records: BTreeMap::new() }
    }

    /// Returns the state of a peer, or `None` if it is not listed and has sent no heartbeat.
    #[must_use]
    pub fn state(&self, now: Timestamp, peer: &str) -> Option<MemberState> {
        if let Some(record) = self.records.get(peer) {
            return Some(self.state_of(now, record));
        }
        self.listed.contains(peer).then_some(MemberState::Unknown)
    }

    /// Returns an iterator over each known peer and its state, in order of name.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = (&Name, MemberState)> {
        let names: BTreeSet<_> = self.listed.iter().chain(self.records.keys()).collect();
        names.into_iter().filter_map(move |name| Some((name, self.state(now, name)?)))
    }

    /// Returns the incarnation in the last heartbeat of a peer.
    #[must_use]
    pub fn incarnation(&self, peer: &str) -> Option<Incarnation> {
        self.records.get(peer).map(|record| record.incarnation)
    }

    fn state_of(&self, now: Timestamp, record: &PeerRecord) -> MemberState {
        let silence = now - record.last_heartbeat;
        if silence >= self.config.dead_after {
            return MemberState::Dead;
        }
        if record.is_leaving {
            return MemberState::Leaving;
        }
        if record.is_closed || silence >= self.config.silent_after {
            return MemberState::Silent;
        }
        MemberState::Live
    }
}

/// # Observations
impl MemberView {
    /// Records a heartbeat or a leaving notice of a peer.
    pub fn record_heartbeat(
        &mut self,
        now: Timestamp,
        peer: &Name,
        incarnation: Incarnation,
        is_leaving: bool,
    ) {
        let record = self
            .records
            .entry(Name::clone(peer))
            .or_insert_with(|| PeerRecord::new(now, incarnation));
        if record.previous == Some(incarnation) {
            return;
        }
        if record.incarnation != incarnation {
            let previous = Some(record.incarnation);
            *record = PeerRecord { previous, ..PeerRecord::new(now, incarnation) };
        }
        record.last_heartbeat = record.last_heartbeat.max(now);
        record.is_closed = false;
        record.is_leaving |= is_leaving;
    }

    /// Records the end of the link to a peer. The peer is silent until its next heartbeat.
    pub fn record_link_closed(&mut self, peer: &str, incarnation: Incarnation) {
        let Some(record) = self.records.get_mut(peer) else {
            return;
        };
        if record.incarnation == incarnation {
            record.is_closed = true;
        }
    }

    /// Replaces the VM list.
    pub fn set_listed(&mut self, peers: impl IntoIterator<Item = Name>) {
        self.listed = peers.into_iter().collect();
    }

    /// Removes dead peers that are no longer in the VM list, and returns them.
    pub fn remove_dead(&mut self, now: Timestamp) -> Vec<Name> {
        let dead: Vec<_> = self
            .records
            .iter()
            .filter(|(name, _)| !self.listed.contains(*name))
            .filter(|(_, record)| self.state_of(now, record) == MemberState::Dead)
            .map(|(name, _)| Name::clone(name))
            .collect();
        for name in &dead {
            self.records.remove(name);
        }
        dead
    }
}
