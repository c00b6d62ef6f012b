//! Identifiers.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Shared immutable string for names.
pub type Name = Arc<str>;

/// Tells one run of a process from the next. Random at process start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Fencing number of a claim. Grows by one with each claim.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the fencing number of the next claim.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Generation of the configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Version of an object in the platform's store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Hash of the content of a request, equal for a request and its resends.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Hashes the bytes of a request.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3_64(content))
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names one attempt to run a request. Unique across processes and restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Incarnation of the process that made the attempt.
    pub incarnation: Incarnation,
    /// Counts the attempts of that process.
    pub counter: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.counter)
    }
}

/// Marks a write, so that its writer recognizes it when a reply was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteStamp {
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Counts the writes of that incarnation to the object.
    pub seq: u64,
}
