//! Names of published sets in the store.

use std::fmt;
use std::str::FromStr;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::WriteStamp;
use serde::Deserialize;
use serde::Serialize;

/// Kind of the object that points to the current set.
pub const CURRENT_KIND: &str = "config";

/// Name of the object that points to the current set.
pub const CURRENT_NAME: &str = "current";

/// Kind of the published sets.
pub const SET_KIND: &str = "config-set";

/// Returns the key of the object that points to the current set.
#[must_use]
pub fn current_key() -> ObjectKey {
    ObjectKey::new(CURRENT_KIND, CURRENT_NAME)
}

/// Names one published set, written as `GENERATION-HASH`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SetRef {
    /// Generation of the set.
    pub generation: Generation,
    /// Hash of its content.
    pub hash: ContentHash,
}

impl SetRef {
    /// Returns the key of the set in the store.
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

/// Content of the object that points to the current set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The current set.
    #[serde(flatten)]
    pub set: SetRef,
    /// Stamp of the write that put the pointer there.
    pub stamp: WriteStamp,
    /// Note of the operator who published the set.
    pub note: Name,
}

impl Pointer {
    /// Decodes a pointer; `None` if the bytes are not one.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
