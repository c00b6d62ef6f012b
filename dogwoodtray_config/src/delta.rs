//! Deltas between snapshots.

use std::collections::BTreeMap;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::codec::Format;
use crate::error::DecodeError;
use crate::error::EncodeError;
use crate::objects::ObjectId;
use crate::pointer::SetRef;
use crate::snapshot::EncodedSnapshot;
use crate::snapshot::Entry;
use crate::snapshot::Snapshot;

/// Changes from one snapshot to a later one.
///
/// A publication usually changes few objects. At 14,000 changes a day, full snapshots can
/// exceed the control traffic that a node may use.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Delta {
    base: SetRef,
    generation: Generation,
    parent: ContentHash,
    /// Hash of the resulting snapshot.
    hash: ContentHash,
    removed: Vec<ObjectId>,
    entries: Vec<Entry>,
}

/// # Distribution between processes
impl Snapshot {
    /// Encodes the delta from `base`, whose hash is `base_hash`, to this snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the result exceeds [`MAX_ENCODED_BYTES`](crate::MAX_ENCODED_BYTES).
    pub fn encode_delta(
        &self,
        base: &Self,
        base_hash: ContentHash,
    ) -> Result<EncodedSnapshot, EncodeError> {
        let content = serde_json::to_vec(self).map_err(EncodeError::Json)?;
        let hash = ContentHash::of(&content);
        let old = base.entries_by_id();
        let new = self.entries_by_id();
        let delta = Delta {
            base: SetRef { generation: base.generation, hash: base_hash },
            generation: self.generation,
            parent: self.parent,
            hash,
            removed: old.keys().filter(|id| !new.contains_key(id)).cloned().collect(),
            entries: new
                .iter()
                .filter(|(id, entry)| old.get(id) != Some(entry))
                .map(|(_, entry)| (*entry).clone())
                .collect(),
        };
        let content = serde_json::to_vec(&delta).map_err(EncodeError::Json)?;
        Ok(EncodedSnapshot { bytes: codec::encode(Format::Delta, &content)?, hash })
    }

    /// Decodes an update from another process and returns the new snapshot with its hash.
    ///
    /// The update is either a full snapshot or a delta from this snapshot, whose hash is `hash`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are neither, or if the delta starts from another snapshot. The
    /// caller then has to fetch a full snapshot.
    pub fn decode_update(
        &self,
        hash: ContentHash,
        bytes: &[u8],
    ) -> Result<(Self, ContentHash), DecodeError> {
        if !Format::Delta.matches(bytes) {
            return Self::decode(bytes);
        }
        let (content, _) = codec::decode(Format::Delta, bytes)?;
        let delta: Delta = serde_json::from_slice(&content).map_err(DecodeError::Json)?;
        let own = SetRef { generation: self.generation, hash };
        if delta.base != own {
            return Err(DecodeError::BaseMismatch { base: delta.base, own });
        }
        let (snapshot, expected) = self.apply_delta(delta);
        let content = serde_json::to_vec(&snapshot).map_err(DecodeError::Json)?;
        let actual = ContentHash::of(&content);
        if actual != expected {
            return Err(DecodeError::HashMismatch { expected, actual });
        }
        Ok((snapshot, actual))
    }

    fn apply_delta(&self, delta: Delta) -> (Self, ContentHash) {
        let mut entries: BTreeMap<ObjectId, Entry> =
            self.entries.iter().map(|entry| (entry.object.id(), entry.clone())).collect();
        for id in &delta.removed {
            entries.remove(id);
        }
        entries.extend(delta.entries.into_iter().map(|entry| (entry.object.id(), entry)));
        let entries = entries.into_values().collect();
        let Delta { generation, parent, hash, .. } = delta;
        (Self { generation, parent, entries }, hash)
    }

    pub(crate) fn entries_by_id(&self) -> BTreeMap<ObjectId, &Entry> {
        self.entries.iter().map(|entry| (entry.object.id(), entry)).collect()
    }
}
