//! Changes from one snapshot to a later one.

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

/// The changes. A change usually touches few objects, and whole snapshots for 14,000 changes a day
/// can exceed the control traffic that a node may use.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Delta {
    base: SetRef,
    generation: Generation,
    parent: ContentHash,
    /// Hash of the snapshot after the changes.
    hash: ContentHash,
    removed: Vec<ObjectId>,
    entries: Vec<Entry>,
}

/// # Distribution between processes
impl Snapshot {
    /// Encodes the changes from `base`, whose hash is `base_hash`, to this snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the result exceeds [`MAX_ENCODED_BYTES`](crate::MAX_ENCODED_BYTES).
    pub fn encode_since(
        &self,
        base: &Self,
        base_hash: ContentHash,
    ) -> Result<EncodedSnapshot, EncodeError> {
        let content = serde_json::to_vec(self).map_err(EncodeError::Json)?;
        let hash = ContentHash::of(&content);
        let old = base.by_id();
        let new = self.by_id();
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

    /// Decodes what another process sent: a whole snapshot, or the changes to this one, whose hash
    /// is `hash`. Returns the new snapshot with its hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are neither, or if the changes start from another snapshot.
    /// A whole snapshot then has to be fetched.
    pub fn decode_update(
        &self,
        hash: ContentHash,
        bytes: &[u8],
    ) -> Result<(Self, ContentHash), DecodeError> {
        if !Format::Delta.starts(bytes) {
            return Self::decode(bytes);
        }
        let (content, _) = codec::decode(Format::Delta, bytes)?;
        let delta: Delta = serde_json::from_slice(&content).map_err(DecodeError::Json)?;
        let own = SetRef { generation: self.generation, hash };
        if delta.base != own {
            return Err(DecodeError::Base { base: delta.base, own });
        }
        let (snapshot, expected) = self.apply(delta);
        let content = serde_json::to_vec(&snapshot).map_err(DecodeError::Json)?;
        let actual = ContentHash::of(&content);
        if actual != expected {
            return Err(DecodeError::Hash { expected, actual });
        }
        Ok((snapshot, actual))
    }

    fn apply(&self, delta: Delta) -> (Self, ContentHash) {
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

    pub(crate) fn by_id(&self) -> BTreeMap<ObjectId, &Entry> {
        self.entries.iter().map(|entry| (entry.object.id(), entry)).collect()
    }
}
