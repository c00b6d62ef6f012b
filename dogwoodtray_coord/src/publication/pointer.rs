//! The object that names the configuration in force.

use serde::Deserialize;
use serde::Serialize;

use crate::Generation;
use crate::Name;
use crate::ObjectKey;
use crate::Version;
use crate::WriteStamp;

/// Publications whose stamps a pointer keeps.
const RECENT_STAMPS: usize = 16;

/// Value of `config/current`: names the snapshot in force. Encoded as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pointer {
    /// Generation in force.
    pub generation: Generation,
    /// Name of the snapshot in `config-set`.
    pub set: Name,
    /// Stamps of the last publications, newest last.
    ///
    /// A publisher whose reply was lost finds its stamp here even after others have published.
    pub recent: Vec<WriteStamp>,
}

impl Pointer {
    /// Returns the key of the pointer.
    #[must_use]
    pub fn key() -> ObjectKey {
        ObjectKey::new("config", "current")
    }

    /// Returns the pointer that follows this one.
    #[must_use]
    pub fn next(base: Option<&Self>, set: Name, stamp: WriteStamp) -> Self {
        let generation = base.map_or(Generation(0), |base| base.generation).next();
        let mut recent = base.map_or_else(Vec::new, |base| base.recent.clone());
        recent.push(stamp);
        let excess = recent.len().saturating_sub(RECENT_STAMPS);
        recent.drain(..excess);
        Self { generation, set, recent }
    }

    /// Decodes a pointer, or returns `None` if the value is not one.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Encodes the pointer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a pointer has only string keys")
    }

    /// Tells whether the stamps reach back to the publication of a generation.
    #[must_use]
    pub fn reaches_back_to(&self, generation: Generation) -> bool {
        let kept = u64::try_from(self.recent.len()).unwrap_or(u64::MAX);
        self.generation.0.saturating_sub(generation.0) < kept
    }
}

/// A pointer at a version of `config/current`.
pub(crate) type VersionedPointer = (Version, Pointer);
