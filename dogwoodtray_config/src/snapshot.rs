//! Snapshots of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::codec::Format;
use crate::error::DecodeError;
use crate::error::EncodeError;
use crate::objects::Object;
use crate::objects::ObjectId;
use crate::set::ObjectSet;

/// A published generation of the configuration.
///
/// The snapshot records the version of each object, which is the generation of its last change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub(crate) generation: Generation,
    /// Hash of the previous generation, which links the generations into a chain.
    pub(crate) parent: ContentHash,
    /// The objects in order of kind and name.
    pub(crate) entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Entry {
    pub(crate) changed: Generation,
    pub(crate) object: Object,
}

/// An encoded snapshot or delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSnapshot {
    /// The encoded bytes, as stored and sent.
    pub bytes: Arc<[u8]>,
    /// Hash of the uncompressed snapshot.
    pub hash: ContentHash,
}

impl Snapshot {
    /// Creates the empty generation zero, which precedes the first publication.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Creates the next generation. `hash` is the hash of this generation.
    #[must_use]
    pub fn next(&self, hash: ContentHash, objects: ObjectSet) -> Self {
        let generation = self.generation.next();
        let previous = self.entries_by_id();
        let version_of = |object: &Object| match previous.get(&object.id()) {
            Some(entry) if entry.object == *object => entry.changed,
            _ => generation,
        };
        let entries = objects
            .iter()
            .map(|object| Entry { changed: version_of(object), object: object.clone() })
            .collect();
        Self { generation, parent: hash, entries }
    }

    /// Returns the generation.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the hash of the previous generation.
    #[must_use]
    pub const fn parent(&self) -> ContentHash {
        self.parent
    }

    /// Returns the objects.
    #[must_use]
    pub fn objects(&self) -> ObjectSet {
        self.entries.iter().map(|entry| entry.object.clone()).collect()
    }

    /// Returns the version of each object, which is the generation of its last change.
    #[must_use]
    pub fn versions(&self) -> BTreeMap<ObjectId, Generation> {
        self.entries.iter().map(|entry| (entry.object.id(), entry.changed)).collect()
    }
}

/// # Encoding
impl Snapshot {
    /// Encodes the snapshot. Equal snapshots have equal hashes.
    ///
    /// # Errors
    ///
    /// Returns an error if the result exceeds [`MAX_ENCODED_BYTES`](crate::MAX_ENCODED_BYTES).
    pub fn encode(&self) -> Result<EncodedSnapshot, EncodeError> {
        let content = serde_json::to_vec(self).map_err(EncodeError::Json)?;
        let bytes = codec::encode(Format::Snapshot, &content)?;
        Ok(EncodedSnapshot { bytes, hash: ContentHash::of(&content) })
    }

    /// Decodes a snapshot and returns it with its hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid encoded snapshot.
    pub fn decode(bytes: &[u8]) -> Result<(Self, ContentHash), DecodeError> {
        let (content, hash) = codec::decode(Format::Snapshot, bytes)?;
        let snapshot = serde_json::from_slice(&content).map_err(DecodeError::Json)?;
        Ok((snapshot, hash))
    }
}
