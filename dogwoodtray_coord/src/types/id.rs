//! Identifiers.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Shared immutable string for names.
pub type Name = Arc<str>;

/// Identifier of one run of a process, chosen at random when the process starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Fencing token of a claim, incremented by each claim.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the fencing token of the next claim.
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

/// Hash of the content of a request. A request and its resends have the same hash.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Returns the hash of the bytes of a request.
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

/// Identifier of one attempt to run a request, unique across processes and restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Incarnation of the process that made the attempt.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within that process.
    pub counter: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.counter)
    }
}

/// Stamp of a write, by which its writer recognizes it after a lost reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteStamp {
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Sequence number of the write among those of that incarnation to the object.
    pub seq: u64,
}
