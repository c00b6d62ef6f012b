//! Keys of published sets in the store, and the pointer to the current set.

use std::fmt;
use std::str::FromStr;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::WriteStamp;
use serde::Deserialize;
use serde::Serialize;

/// Store kind of the pointer to the current set.
pub const CURRENT_KIND: &str = "config";

/// Store name of the pointer to the current set.
pub const CURRENT_NAME: &str = "current";

/// Store kind of published sets.
pub const SET_KIND: &str = "config-set";

/// Returns the store key of the pointer to the current set.
#[must_use]
pub fn current_key() -> ObjectKey {
    ObjectKey::new(CURRENT_KIND, CURRENT_NAME)
}

/// A reference to a published set, formatted as `GENERATION-HASH`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SetRef {
    /// Generation of the set.
    pub generation: Generation,
    /// Hash of the set.
    pub hash: ContentHash,
}

impl SetRef {
    /// Returns the store key of the set.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        ObjectKey::new(SET_KIND, self.to_string())
    }
}

impl fmt::Display for SetRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.generation.0, self.hash)
    }
}

impl FromStr for SetRef {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (generation, hash) = text.split_once('-')?;
            let generation = Generation(generation.parse().ok()?);
            Some(Self { generation, hash: ContentHash(u64::from_str_radix(hash, 16).ok()?) })
        };
        parse().ok_or_else(|| format!("{text:?} is not of the form GENERATION-HASH"))
    }
}

/// The pointer to the current set, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Reference to the current set.
    #[serde(flatten)]
    pub set: SetRef,
    /// Stamp of the write that stored the pointer.
    pub stamp: WriteStamp,
    /// Note of the operator who published the set.
    pub note: Name,
}

impl Pointer {
    /// Decodes a pointer. Returns `None` if the bytes are not a valid pointer.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
