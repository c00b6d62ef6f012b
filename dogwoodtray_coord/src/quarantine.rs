//! Requests that are suspected of crashing endpoints.

use std::collections::BTreeMap;

use crate::ContentHash;

/// Number of crashes after which a request is permanently refused.
const REFUSAL_CRASHES: usize = 2;

/// Treatment of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request runs without restrictions.
    Clear,
    /// The request runs only as the sole suspect on an endpoint.
    Suspect,
    /// The request is never run again.
    Refused,
}

/// Record of the endpoint crashes associated with one request, distributed with heartbeats.
///
/// Two crashes are decisive, so only the two smallest crash ids are kept. This makes the merge
/// independent of order and bounds the size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspicion {
    /// Hash of the content of the request.
    pub content: ContentHash,
    /// Ids of the endpoint crashes that occurred while the request ran, in ascending order.
    pub crashes: Vec<u64>,
    /// Whether the request completed after its first crash.
    pub completed: bool,
}

impl Suspicion {
    /// Creates the suspicion after one crash.
    #[must_use]
    pub fn new(content: ContentHash, crash_id: u64) -> Self {
        Self { content, crashes: vec![crash_id], completed: false }
    }

    /// Returns the treatment of the request.
    ///
    /// A completion clears only the first crash. The second crash is final; otherwise a request
    /// that crashes only some of the endpoints that run it could crash any number of them.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        if self.crashes.len() >= REFUSAL_CRASHES {
            return Verdict::Refused;
        }
        if self.completed || self.crashes.is_empty() {
            return Verdict::Clear;
        }
        Verdict::Suspect
    }

    /// Merges the suspicion of another process and returns whether this one changed.
    fn merge(&mut self, other: &Self) -> bool {
        let mut crashes = self.crashes.clone();
        crashes.extend_from_slice(&other.crashes);
        crashes.sort_unstable();
        crashes.dedup();
        crashes.truncate(REFUSAL_CRASHES);
        let completed = self.completed || other.completed;
        let changed = crashes != self.crashes || completed != self.completed;
        self.crashes = crashes;
        self.completed = completed;
        changed
    }
}

/// Suspicion with the sequence number of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    suspicion: Suspicion,
    change: u64,
}

/// Table of suspects, bounded in size.
///
/// Merging is commutative, associative and idempotent as long as the table does not overflow.
/// On overflow it evicts cleared entries first, then suspects, then refused requests, and within
/// each group the least recently changed entry.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{ContentHash, Quarantine, Verdict};
///
/// let mut table = Quarantine::new(1_000);
/// let content = ContentHash::of(b"request");
/// table.record_crash(content, 1);
/// table.record_crash(content, 1); // the same crash, reported twice
/// assert_eq!(table.verdict(content), Verdict::Suspect);
/// table.record_crash(content, 2);
/// assert_eq!(table.verdict(content), Verdict::Refused);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quarantine {
    capacity: usize,
    entries: BTreeMap<ContentHash, Entry>,
    next_change: u64,
    /// Newest change that was sent at least once.
    last_sent: u64,
    /// Last change that was sent in the current round through the table.
    cursor: u64,
}

impl Quarantine {
    /// Creates an empty table that holds at most `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self { capacity, entries: BTreeMap::new(), next_change: 1, last_sent: 0, cursor: 0 }
    }

    /// Returns the treatment of a request.
    #[must_use]
    pub fn verdict(&self, content: ContentHash) -> Verdict {
        self.entries.get(&content).map_or(Verdict::Clear, |entry| entry.suspicion.verdict())
    }

    /// Records that an endpoint crashed while running the request, and returns whether the table
    /// changed.
    pub fn record_crash(&mut self, content: ContentHash, crash_id: u64) -> bool {
        self.merge(&[Suspicion::new(content, crash_id)])
    }

    /// Records that the request completed.
    pub fn record_completion(&mut self, content: ContentHash) {
        let Some(entry) = self.entries.get(&content) else {
            return;
        };
        let completed = Suspicion { completed: true, ..entry.suspicion.clone() };
        self.merge(&[completed]);
    }

    /// Returns the number of requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// # Gossip
impl Quarantine {
    /// Merges suspicions of another process and returns whether the table changed.
    pub fn merge(&mut self, suspicions: &[Suspicion]) -> bool {
        let mut changed = false;
        for suspicion in suspicions {
            changed |= self.merge_one(suspicion);
        }
        while self.entries.len() > self.capacity {
            self.evict();
        }
        changed
    }

    /// Returns up to `limit` suspicions for the next heartbeat: unsent changes first, and then the
    /// rest of the table in turn over successive calls.
    pub fn next_suspicions(&mut self, limit: usize) -> Vec<Suspicion> {
        let mut entries: Vec<_> = self.entries.values().collect();
        let (last_sent, cursor) = (self.last_sent, self.cursor);
        entries.sort_unstable_by_key(|e| (e.change <= last_sent, e.change <= cursor, e.change));
        entries.truncate(limit);
        if let Some(last) = entries.iter().rfind(|entry| entry.change <= last_sent) {
            self.cursor = last.change;
        }
        if let Some(newest) = entries.iter().map(|entry| entry.change).max() {
            self.last_sent = last_sent.max(newest);
        }
        entries.into_iter().map(|entry| entry.suspicion.clone()).collect()
    }

    fn merge_one(&mut self, suspicion: &Suspicion) -> bool {
        let change = self.next_change;
        self.next_change += 1;
        let Some(entry) = self.entries.get_mut(&suspicion.content) else {
            let mut merged = Suspicion { crashes: Vec::new(), ..suspicion.clone() };
            merged.merge(suspicion);
            self.entries.insert(suspicion.content, Entry { suspicion: merged, change });
            return true;
        };
        let changed = entry.suspicion.merge(suspicion);
        if changed {
            entry.change = change;
        }
        changed
    }

    fn evict(&mut self) {
        let victim = self
            .entries
            .values()
            .min_by_key(|entry| (entry.suspicion.verdict(), entry.change))
            .map(|entry| entry.suspicion.content);
        if let Some(content) = victim {
            self.entries.remove(&content);
        }
    }
}
