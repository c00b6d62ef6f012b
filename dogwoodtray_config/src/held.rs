//! Latest snapshot of a process and its distribution to peers.

use std::sync::Arc;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;

use crate::Snapshot;

/// Result of [`CurrentSnapshot::receive`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The bytes contained a newer snapshot, which replaced the previous one.
    Applied,
    /// The process already has this generation or a newer one.
    NotNewer,
    /// The bytes are damaged or are a delta from another snapshot; a full snapshot is needed.
    FullSnapshotNeeded,
}

/// The latest snapshot of a process, with its encoded forms for peers.
///
/// A peer that has the previous generation is sent only a delta. At 14,000 changes a day and 64
/// links, full snapshots of 109 KB would use 1.1 MB/s of a node, deltas about 3 KB/s.
///
/// # Examples
///
/// ```
/// use dogwoodtray_config::{CurrentSnapshot, ObjectSet, Received, Snapshot};
///
/// let empty = Snapshot::empty();
/// let first = empty.next(empty.encode().unwrap().hash, ObjectSet::default());
/// let bytes = first.encode().unwrap().bytes;
///
/// let mut latest = CurrentSnapshot::empty();
/// assert_eq!(latest.receive(&bytes), Received::Applied);
/// assert_eq!(latest.receive(&bytes), Received::NotNewer);
/// ```
#[derive(Clone, Debug)]
pub struct CurrentSnapshot {
    snapshot: Snapshot,
    hash: ContentHash,
    full: Arc<[u8]>,
    /// The previous generation, and the encoded delta from it.
    delta: Option<(Generation, Arc<[u8]>)>,
}

impl CurrentSnapshot {
    /// Creates the state of a new process, which has generation zero.
    #[must_use]
    pub fn empty() -> Self {
        let snapshot = Snapshot::empty();
        let encoded = snapshot.encode().ok();
        let hash = encoded.as_ref().map_or(ContentHash(0), |encoded| encoded.hash);
        let full = encoded.map_or_else(|| Arc::from([]), |encoded| encoded.bytes);
        Self { snapshot, hash, full, delta: None }
    }

    /// Returns the snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the generation of the snapshot.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.snapshot.generation()
    }

    /// Applies an encoded full snapshot, or an encoded delta from the current one.
    pub fn receive(&mut self, bytes: &[u8]) -> Received {
        let Ok((snapshot, hash)) = self.snapshot.decode_update(self.hash, bytes) else {
            return Received::FullSnapshotNeeded;
        };
        if snapshot.generation() <= self.generation() {
            return Received::NotNewer;
        }
        let Ok(full) = snapshot.encode() else {
            return Received::FullSnapshotNeeded;
        };
        let delta = snapshot.encode_delta(&self.snapshot, self.hash).ok();
        self.delta = delta.map(|delta| (self.generation(), delta.bytes));
        self.full = full.bytes;
        self.snapshot = snapshot;
        self.hash = hash;
        Received::Applied
    }

    /// Returns the encoded update for a peer that has `generation`: a delta if it is the previous
    /// generation, or else the full snapshot.
    #[must_use]
    pub fn bytes_for(&self, generation: Generation) -> Arc<[u8]> {
        match &self.delta {
            Some((base, delta)) if *base == generation => Arc::clone(delta),
            _ => self.full_bytes(),
        }
    }

    /// Returns the encoded full snapshot.
    #[must_use]
    pub fn full_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.full)
    }
}
