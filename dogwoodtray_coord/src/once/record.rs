//! Basic types and settings of at-most-once records.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::CommitConfig;
use crate::Name;

/// Duration of a store outage, in milliseconds, after which answers are returned before their
/// records are stored.
pub const ANSWER_GRACE_MS: u64 = 2_000;

/// Hash of an idempotency key. Its 128 bits make collisions negligible.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Returns the hash of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_128(key))
    }

    /// Returns the index of the key range, out of `count`, that the key belongs to.
    #[must_use]
    pub fn range(self, count: u32) -> u32 {
        let range = self.0 % u128::from(count.max(1));
        u32::try_from(range).unwrap_or(0)
    }

    /// Returns the upper half of the hash, which the index of sealed records contains.
    pub(super) const fn prefix(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// Identifier of a waiting request, chosen by the owner of the range and unique among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type.
    pub content_type: Name,
    /// Body; `None` in a replay if it was too large to store.
    pub body: Option<Arc<[u8]>>,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The run returned an answer.
    Answered(Answer),
    /// It is unknown whether the request ran. It is never run again.
    Unknown,
}

/// Settings of an [`OnceRange`](crate::OnceRange).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OnceConfig {
    /// Maximum time that a request waits for its intent to be stored before it is refused.
    pub begin_wait: Duration,
    /// Time for which a finished record is kept.
    pub retention: Duration,
    /// Maximum size of a stored answer body.
    pub max_answer_bytes: usize,
    /// Size of the records in the object at which the oldest finished ones are moved to a segment.
    pub seal_bytes: usize,
    /// Size of the object, including the index of sealed records, at which requests are refused.
    pub limit_bytes: usize,
    /// Maximum number of keys that are starting, running or finishing at a time.
    pub max_active_keys: usize,
    /// Settings of the group commit. The size of its buffer is derived from `max_active_keys`.
    pub commit: CommitConfig,
}

impl Default for OnceConfig {
    /// Returns settings for a store with values of up to 1 MB.
    ///
    /// The index takes 8 bytes for each sealed record, so a range keeps at least 50,000 of them
    /// before it refuses requests. Two groups of at most `commit.max_bytes` and one answer may be
    /// added to the object before a segment is sealed, which keeps it below 900 KB.
    fn default() -> Self {
        Self {
            begin_wait: Duration::from_secs(1),
            retention: Duration::from_secs(24 * 3_600),
            max_answer_bytes: 16 * 1024,
            seal_bytes: 300 * 1024,
            limit_bytes: 700 * 1024,
            max_active_keys: 1_000,
            commit: CommitConfig { max_bytes: 64 * 1024, ..CommitConfig::default() },
        }
    }
}
