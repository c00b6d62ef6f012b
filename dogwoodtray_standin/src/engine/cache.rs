//! Prefix cache.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Holds the most recently used prefixes, up to a limit.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: usize,
    clock: u64,
    used: HashMap<String, u64>,
    order: BTreeMap<u64, String>,
}

/// What a use of the cache changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CacheUse {
    pub(crate) hit: bool,
    pub(crate) evicted: Option<String>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, clock: 0, used: HashMap::new(), order: BTreeMap::new() }
    }

    /// Tells whether a prefix is held, without using it.
    pub(crate) fn contains(&self, prefix: &str) -> bool {
        self.used.contains_key(prefix)
    }

    /// Returns how many prefixes are held.
    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// Makes a prefix the most recently used one and stores it if it was not held.
    pub(crate) fn touch(&mut self, prefix: &str) -> CacheUse {
        if self.limit == 0 {
            return CacheUse::default();
        }
        self.clock += 1;
        let before = self.used.insert(prefix.to_owned(), self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, prefix.to_owned());
        CacheUse { hit: before.is_some(), evicted: self.evict() }
    }

    fn evict(&mut self) -> Option<String> {
        if self.used.len() <= self.limit {
            return None;
        }
        let (_, oldest) = self.order.pop_first()?;
        self.used.remove(&oldest);
        Some(oldest)
    }
}
