//! LRU cache of prompt prefixes.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Cache of the most recently used prefixes, with a fixed capacity.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Number of accesses so far.
    clock: u64,
    /// Last access of each prefix.
    last_used: HashMap<String, u64>,
    /// Prefixes by their last access.
    by_last_use: BTreeMap<u64, String>,
}

/// Result of an access to the cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CacheAccess {
    pub(crate) hit: bool,
    pub(crate) evicted: Option<String>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, last_used: HashMap::new(), by_last_use: BTreeMap::new() }
    }

    /// Returns `true` if the prefix is cached, without marking it as used.
    pub(crate) fn contains(&self, prefix: &str) -> bool {
        self.last_used.contains_key(prefix)
    }

    /// Returns the number of cached prefixes.
    pub(crate) fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Marks a prefix as the most recently used one and adds it if it was not cached.
    pub(crate) fn touch(&mut self, prefix: &str) -> CacheAccess {
        if self.capacity == 0 {
            return CacheAccess::default();
        }
        self.clock += 1;
        let previous = self.last_used.insert(prefix.to_owned(), self.clock);
        if let Some(previous) = previous {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, prefix.to_owned());
        CacheAccess { hit: previous.is_some(), evicted: self.evict() }
    }

    fn evict(&mut self) -> Option<String> {
        if self.last_used.len() <= self.capacity {
            return None;
        }
        let (_, oldest) = self.by_last_use.pop_first()?;
        self.last_used.remove(&oldest);
        Some(oldest)
    }
}
