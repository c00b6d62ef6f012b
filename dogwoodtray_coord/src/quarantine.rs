//! Requests that are suspected of crashing endpoints.

use std::collections::BTreeMap;

use crate::ContentHash;

/// Deaths after which a request is refused for good.
const FINAL_DEATHS: usize = 2;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Run it like any other.
    Clear,
    /// Run it only as the sole suspect on an endpoint.
    Suspect,
    /// Never run it again.
    Refused,
}

/// What is known about one request. Travels with heartbeats.
///
/// Two deaths decide, so only the two smallest death ids are kept. That keeps the merge
/// independent of order and bounds the size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspicion {
    /// Content of the request.
    pub content: ContentHash,
    /// Ids of the deaths that happened while the request ran, in ascending order.
    pub deaths: Vec<u64>,
    /// Whether the request completed after its first death.
    pub completed: bool,
}

impl Suspicion {
    /// Creates the suspicion that follows from one death.
    #[must_use]
    pub fn new(content: ContentHash, death: u64) -> Self {
        Self { content, deaths: vec![death], completed: false }
    }

    /// Returns what to do with the request.
    ///
    /// A completion clears the first death only. The second death is final, because a request that
    /// crashes some of the endpoints that run it would otherwise crash any number of them.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        if self.deaths.len() >= FINAL_DEATHS {
            return Verdict::Refused;
        }
        if self.completed || self.deaths.is_empty() {
            return Verdict::Clear;
        }
        Verdict::Suspect
    }

    /// Adds what another process knows, and tells whether that was news.
    fn merge(&mut self, other: &Self) -> bool {
        let mut deaths = self.deaths.clone();
        deaths.extend_from_slice(&other.deaths);
        deaths.sort_unstable();
        deaths.dedup();
        deaths.truncate(FINAL_DEATHS);
        let completed = self.completed || other.completed;
        let changed = deaths != self.deaths || completed != self.completed;
        self.deaths = deaths;
        self.completed = completed;
        changed
    }
}

/// A suspicion and when it last changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    suspicion: Suspicion,
    order: u64,
}

/// Table of suspects, bounded in size.
///
/// Merging is commutative, associative and idempotent as long as the table does not overflow.
/// When it overflows, cleared entries go first, then suspects, then refused requests, and within
/// each group the one whose last change is oldest.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{ContentHash, Quarantine, Verdict};
///
/// let mut table = Quarantine::new(1_000);
/// let content = ContentHash::of(b"request");
/// table.record_death(content, 1);
/// table.record_death(content, 1); // the same death, heard twice
/// assert_eq!(table.verdict(content), Verdict::Suspect);
/// table.record_death(content, 2);
/// assert_eq!(table.verdict(content), Verdict::Refused);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quarantine {
    capacity: usize,
    entries: BTreeMap<ContentHash, Entry>,
    next_order: u64,
    /// Last change that went out at least once.
    told: u64,
    /// Where the round through the table stands.
    gossiped: u64,
}

impl Quarantine {
    /// Creates an empty table that holds at most `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self { capacity, entries: BTreeMap::new(), next_order: 1, told: 0, gossiped: 0 }
    }

    /// Returns what to do with a request.
    #[must_use]
    pub fn verdict(&self, content: ContentHash) -> Verdict {
        self.entries.get(&content).map_or(Verdict::Clear, |entry| entry.suspicion.verdict())
    }

    /// Records that an endpoint died while the request ran inside it, and tells whether that was
    /// news.
    pub fn record_death(&mut self, content: ContentHash, death: u64) -> bool {
        self.merge(&[Suspicion::new(content, death)])
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

    /// Tells whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// # Gossip
impl Quarantine {
    /// Adds what another process knows, and tells whether any of it was news.
    pub fn merge(&mut self, suspicions: &[Suspicion]) -> bool {
        let mut news = false;
        for suspicion in suspicions {
            news |= self.merge_one(suspicion);
        }
        while self.entries.len() > self.capacity {
            self.evict();
        }
        news
    }

    /// Returns up to `limit` suspicions for the next heartbeat: news first, then successive calls
    /// go round the whole table.
    pub fn gossip(&mut self, limit: usize) -> Vec<Suspicion> {
        let mut entries: Vec<_> = self.entries.values().collect();
        let (told, gossiped) = (self.told, self.gossiped);
        entries.sort_unstable_by_key(|e| (e.order <= told, e.order <= gossiped, e.order));
        entries.truncate(limit);
        if let Some(last) = entries.iter().rfind(|entry| entry.order <= told) {
            self.gossiped = last.order;
        }
        if let Some(newest) = entries.iter().map(|entry| entry.order).max() {
            self.told = told.max(newest);
        }
        entries.into_iter().map(|entry| entry.suspicion.clone()).collect()
    }

    fn merge_one(&mut self, suspicion: &Suspicion) -> bool {
        let order = self.next_order;
        self.next_order += 1;
        let Some(entry) = self.entries.get_mut(&suspicion.content) else {
            let mut known = Suspicion { deaths: Vec::new(), ..suspicion.clone() };
            known.merge(suspicion);
            self.entries.insert(suspicion.content, Entry { suspicion: known, order });
            return true;
        };
        let news = entry.suspicion.merge(suspicion);
        if news {
            entry.order = order;
        }
        news
    }

    fn evict(&mut self) {
        let first = self
            .entries
            .values()
            .min_by_key(|entry| (entry.suspicion.verdict(), entry.order))
            .map(|entry| entry.suspicion.content);
        if let Some(content) = first {
            self.entries.remove(&content);
        }
    }
}
