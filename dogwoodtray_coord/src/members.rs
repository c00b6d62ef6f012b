//! State of each peer, as its heartbeats show it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Incarnation;
use crate::Name;
use crate::Timestamp;

/// State of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The VM list names it, and it has not been heard.
    Unknown,
    /// Heard within the silence deadline.
    Live,
    /// Not heard within the silence deadline, or its link closed.
    Silent,
    /// It announced that it is leaving; it gets no new work.
    Leaving,
    /// Not heard within the death deadline.
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
    /// Returns deadlines of four and twenty heartbeat intervals of 500 ms.
    fn default() -> Self {
        Self { silent_after: Duration::from_secs(2), dead_after: Duration::from_secs(10) }
    }
}

/// What was heard from one peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard {
    incarnation: Incarnation,
    /// A late heartbeat of the run before this one must not bring that run back.
    former: Option<Incarnation>,
    at: Timestamp,
    leaving: bool,
    closed: bool,
}

impl Heard {
    const fn new(now: Timestamp, incarnation: Incarnation) -> Self {
        Self { incarnation, former: None, at: now, leaving: false, closed: false }
    }
}

/// State of each peer derived from direct heartbeats.
///
/// The VM list lags, so it says only where to look: it neither makes a peer live nor kills one. A
/// leaving notice holds until the peer comes back with another incarnation.
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
/// view.list([peer.clone()]);
/// assert_eq!(view.state(Timestamp::ZERO, &peer), Some(MemberState::Unknown));
/// view.heard(Timestamp::ZERO, &peer, Incarnation(1), false);
/// assert_eq!(view.state(Timestamp::ZERO, &peer), Some(MemberState::Live));
/// let later = Timestamp::ZERO + Duration::from_secs(3);
/// assert_eq!(view.state(later, &peer), Some(MemberState::Silent));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberView {
    config: MemberConfig,
    listed: BTreeSet<Name>,
    heard: BTreeMap<Name, Heard>,
}

impl MemberView {
    /// Creates a view without peers.
    #[must_use]
    pub const fn new(config: MemberConfig) -> Self {
        Self { config, listed: BTreeSet::new(), heard: BTreeMap::new() }
    }

    /// Returns the state of a peer, or `None` for a peer that is neither listed nor heard.
    #[must_use]
    pub fn state(&self, now: Timestamp, peer: &str) -> Option<MemberState> {
        if let Some(heard) = self.heard.get(peer) {
            return Some(self.judge(now, heard));
        }
        self.listed.contains(peer).then_some(MemberState::Unknown)
    }

    /// Returns each known peer and its state, in order of name.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = (&Name, MemberState)> {
        let names: BTreeSet<_> = self.listed.iter().chain(self.heard.keys()).collect();
        names.into_iter().filter_map(move |name| Some((name, self.state(now, name)?)))
    }

    /// Returns the incarnation that was last heard of a peer.
    #[must_use]
    pub fn incarnation(&self, peer: &str) -> Option<Incarnation> {
        self.heard.get(peer).map(|heard| heard.incarnation)
    }

    fn judge(&self, now: Timestamp, heard: &Heard) -> MemberState {
        let silence = now - heard.at;
        if silence >= self.config.dead_after {
            return MemberState::Dead;
        }
        if heard.leaving {
            return MemberState::Leaving;
        }
        if heard.closed || silence >= self.config.silent_after {
            return MemberState::Silent;
        }
        MemberState::Live
    }
}

/// # Observations
impl MemberView {
    /// Takes a heartbeat, or a leaving notice, of a peer.
    pub fn heard(
        &mut self,
        now: Timestamp,
        peer: &Name,
        incarnation: Incarnation,
        is_leaving: bool,
    ) {
        let heard =
            self.heard.entry(Name::clone(peer)).or_insert_with(|| Heard::new(now, incarnation));
        if heard.former == Some(incarnation) {
            return;
        }
        if heard.incarnation != incarnation {
            let former = Some(heard.incarnation);
            *heard = Heard { former, ..Heard::new(now, incarnation) };
        }
        heard.at = heard.at.max(now);
        heard.closed = false;
        heard.leaving |= is_leaving;
    }

    /// Takes the end of the link to a peer. The peer is silent until it is heard again.
    pub fn closed(&mut self, peer: &str, incarnation: Incarnation) {
        let Some(heard) = self.heard.get_mut(peer) else {
            return;
        };
        if heard.incarnation == incarnation {
            heard.closed = true;
        }
    }

    /// Replaces the VM list.
    pub fn list(&mut self, peers: impl IntoIterator<Item = Name>) {
        self.listed = peers.into_iter().collect();
    }

    /// Forgets dead peers that the VM list no longer names, and returns them.
    pub fn forget_dead(&mut self, now: Timestamp) -> Vec<Name> {
        let gone: Vec<_> = self
            .heard
            .iter()
            .filter(|(name, _)| !self.listed.contains(*name))
            .filter(|(_, heard)| self.judge(now, heard) == MemberState::Dead)
            .map(|(name, _)| Name::clone(name))
            .collect();
        for name in &gone {
            self.heard.remove(name);
        }
        gone
    }
}
