//! Configuration snapshot that the agent knows and passes on.

use bytes::Bytes;
use dogwoodtray_coord::Generation;
use dogwoodtray_wire::messages::ConfigSet;

/// Newest snapshot. The generation never decreases.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    generation: Generation,
    bytes: Bytes,
}

impl Snapshot {
    pub(super) const fn generation(&self) -> Generation {
        self.generation
    }

    /// Takes a newer snapshot over. Returns whether it was newer.
    pub(super) fn apply(&mut self, set: ConfigSet) -> bool {
        if set.generation <= self.generation.0 {
            return false;
        }
        self.generation = Generation(set.generation);
        self.bytes = set.snapshot;
        true
    }

    pub(super) fn message(&self) -> ConfigSet {
        ConfigSet { generation: self.generation.0, snapshot: self.bytes.clone() }
    }
}
