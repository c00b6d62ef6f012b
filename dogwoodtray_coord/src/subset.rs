//! Selection of the peers to connect to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// Chooses up to `size` of the candidates for this process by rendezvous hashing.
///
/// Each process chooses its own subset, so links spread evenly over the candidates. When a
/// candidate is added or removed, at most one link of each process changes. The result is in order
/// of preference and does not depend on the order of the candidates, whose names must be unique.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_coord::{Name, choose_subset};
///
/// let peers: Vec<Name> = ["a", "b", "c"].map(Arc::from).to_vec();
/// let chosen = choose_subset("entry-1", &peers, 2);
/// assert_eq!(chosen.len(), 2);
/// ```
#[must_use]
pub fn choose_subset(chooser: &str, candidates: &[Name], size: usize) -> Vec<Name> {
    let size = size.min(candidates.len());
    if size == 0 {
        return Vec::new();
    }
    let seed = xxh3_64_with_seed(chooser.as_bytes(), 0);
    let mut scored: Vec<_> = candidates.iter().map(|name| (score(seed, name), name)).collect();
    if size < scored.len() {
        scored.select_nth_unstable_by(size - 1, |a, b| b.cmp(a));
        scored.truncate(size);
    }
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| Name::clone(name)).collect()
}

fn score(seed: u64, name: &Name) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
