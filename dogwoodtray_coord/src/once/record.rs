//! Vocabulary and settings of at-most-once records.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::CommitConfig;
use crate::Name;

/// Time of a store outage, in milliseconds, after which an answer is given before its record is
/// stored.
pub const ANSWER_GRACE_MS: u64 = 2_000;

/// Hash of an idempotency key. Wide enough that two keys never share one in practice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_128(key))
    }

    /// Returns the range that the key belongs to, out of `count`.
    #[must_use]
    pub fn range(self, count: u32) -> u32 {
        let range = self.0 % u128::from(count.max(1));
        u32::try_from(range).unwrap_or(0)
    }

    /// Returns the part of the hash that the index of sealed records keeps.
    pub(super) const fn prefix(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// Names one waiting caller. Chosen by the owner of the range, unique among those that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type.
    pub content_type: Name,
    /// Body; `None` in a replay if it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// With an answer.
    Answered(Answer),
    /// Nobody can tell. The request is never run again.
    Unknown,
}

/// Settings of an [`OnceRange`](crate::OnceRange).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OnceConfig {
    /// Longest time that a request waits for its intent to be stored before it is refused.
    pub begin_wait: Duration,
    /// Time that a finished record is kept.
    pub retention: Duration,
    /// Longest answer body that is kept.
    pub max_answer_bytes: usize,
    /// Size of the records in the object from which the oldest finished ones are sealed.
    pub seal_bytes: usize,
    /// Size of the object, with the index of sealed records, from which new requests are refused.
    pub limit_bytes: usize,
    /// Most keys that are being begun, run or finished at a time.
    pub max_live: usize,
    /// Settings of the group commit. Its buffer is sized from `max_live`.
    pub commit: CommitConfig,
}

impl Default for OnceConfig {
    /// Returns settings for a store that holds values of up to 1 MB.
    ///
    /// The index takes 8 bytes for each sealed record, so a range keeps at least 50,000 of them
    /// until it refuses requests. Two groups of at most `commit.max_bytes` and one answer may be
    /// added to the object before it is sealed, which leaves it below 900 KB.
    fn default() -> Self {
        Self {
            begin_wait: Duration::from_secs(1),
            retention: Duration::from_secs(24 * 3_600),
            max_answer_bytes: 16 * 1024,
            seal_bytes: 300 * 1024,
            limit_bytes: 700 * 1024,
            max_live: 1_000,
            commit: CommitConfig { max_bytes: 64 * 1024, ..CommitConfig::default() },
        }
    }
}
