//! Published sets.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use serde::Deserialize;
use serde::Serialize;

use crate::error::DecodeError;
use crate::error::EncodeError;
use crate::objects::Object;
use crate::objects::ObjectId;
use crate::set::ObjectSet;

/// Largest encoded snapshot. The store holds values of up to 1 MB.
pub const MAX_ENCODED_BYTES: usize = 1_000_000;

/// Largest snapshot before compression. Bounds the memory that a damaged header can ask for.
const MAX_RAW_BYTES: usize = 16 * 1024 * 1024;

const MAGIC: [u8; 4] = *b"DTCS";
const FORMAT: u8 = 1;
const HEADER_BYTES: usize = MAGIC.len() + 1 + size_of::<u64>() + size_of::<u32>();

/// One generation of the configuration.
///
/// Each object carries its version, which is the generation of its last change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    generation: Generation,
    /// Hash of the generation before this one, which makes the generations a chain.
    parent: ContentHash,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    changed: Generation,
    object: Object,
}

/// The encoded form of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSnapshot {
    /// The bytes that are stored and sent.
    pub bytes: Arc<[u8]>,
    /// Hash of the content before compression.
    pub hash: ContentHash,
}

impl Snapshot {
    /// Creates the empty generation zero, which precedes the first publication.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Creates the generation that follows this one. `hash` is the hash of this generation.
    #[must_use]
    pub fn next(&self, hash: ContentHash, objects: ObjectSet) -> Self {
        let generation = self.generation.next();
        let old: BTreeMap<ObjectId, &Entry> =
            self.entries.iter().map(|entry| (entry.object.id(), entry)).collect();
        let version_of = |object: &Object| match old.get(&object.id()) {
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

    /// Returns the hash of the generation before this one.
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
///
/// Magic, format, hash of the content, size of the content, then the content as JSON compressed
/// by LZ4. Numbers are little-endian.
impl Snapshot {
    /// Encodes the snapshot. Equal snapshots have equal hashes.
    ///
    /// # Errors
    ///
    /// Returns an error if the result exceeds [`MAX_ENCODED_BYTES`].
    pub fn encode(&self) -> Result<EncodedSnapshot, EncodeError> {
        let content = serde_json::to_vec(self).map_err(EncodeError::Json)?;
        if content.len() > MAX_RAW_BYTES {
            return Err(EncodeError::TooLarge { bytes: content.len(), limit: MAX_RAW_BYTES });
        }
        let hash = ContentHash::of(&content);
        let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len() / 2);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(FORMAT);
        bytes.extend_from_slice(&hash.0.to_le_bytes());
        bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&lz4_flex::block::compress(&content));
        if bytes.len() > MAX_ENCODED_BYTES {
            return Err(EncodeError::TooLarge { bytes: bytes.len(), limit: MAX_ENCODED_BYTES });
        }
        Ok(EncodedSnapshot { bytes: Arc::from(bytes), hash })
    }

    /// Decodes a snapshot and returns it with its hash.
    ///
    /// # Errors
    ///
    /// Returns an error for any bytes that [`encode`](Self::encode) did not produce.
    pub fn decode(bytes: &[u8]) -> Result<(Self, ContentHash), DecodeError> {
        let (header, compressed) = Header::split(bytes)?;
        let content = lz4_flex::block::decompress(compressed, header.content_bytes)
            .map_err(DecodeError::Compression)?;
        let actual = ContentHash::of(&content);
        if actual != header.hash {
            return Err(DecodeError::Hash { expected: header.hash, actual });
        }
        let snapshot = serde_json::from_slice(&content).map_err(DecodeError::Json)?;
        Ok((snapshot, actual))
    }
}

struct Header {
    hash: ContentHash,
    content_bytes: usize,
}

impl Header {
    fn split(bytes: &[u8]) -> Result<(Self, &[u8]), DecodeError> {
        let rest = bytes.strip_prefix(&MAGIC).ok_or(DecodeError::Header)?;
        let (format, rest) = rest.split_first().ok_or(DecodeError::Header)?;
        if *format != FORMAT {
            return Err(DecodeError::Format(*format));
        }
        let (hash, rest) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
        let (size, compressed) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
        let content_bytes = u32::from_le_bytes(*size) as usize;
        if content_bytes > MAX_RAW_BYTES {
            return Err(DecodeError::TooLarge { bytes: content_bytes, limit: MAX_RAW_BYTES });
        }
        Ok((Self { hash: ContentHash(u64::from_le_bytes(*hash)), content_bytes }, compressed))
    }
}
