//! Header object of a job.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::WriteStamp;
use serde::Deserialize;
use serde::Serialize;

use super::bitmap::Bitmap;

/// Object kind of job headers.
pub(crate) const KIND: &str = "jobs";
/// Object kind of the index of unfinished jobs.
pub(crate) const INDEX_KIND: &str = "open-jobs";
/// Object kind of item chunks.
pub(crate) const ITEMS_KIND: &str = "job-items";

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some items have no outcome yet.
    Open,
    /// The job was cancelled; items without an outcome are cancelled.
    Cancelled,
    /// All items ended.
    Finished,
    /// The submission was never completed; the job does not run.
    Abandoned,
}

/// Reason for the failure of items of a finished job that have no recorded outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCause {
    /// The deadline of the job passed.
    Deadline,
    /// The model or service was closed.
    ServiceClosed,
}

/// Process that drives a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Driver {
    /// Name of the entry.
    pub name: Name,
    /// Address at which other entries reach the process.
    pub addr: Name,
    /// Incarnation of the process, different after each restart.
    pub incarnation: Incarnation,
}

/// Number of items of a job by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All items.
    pub items: u32,
    /// Items that were answered.
    pub done: u32,
    /// Items that failed.
    pub failed: u32,
    /// Items that were cancelled.
    pub cancelled: u32,
}

/// Segments with consecutive sequence numbers written under one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRun {
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// First sequence number.
    pub first: u32,
    /// Number of segments.
    pub count: u32,
}

/// Header of a job, the authoritative record of its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Organization that the job belongs to.
    pub organization: Name,
    /// Idempotency key supplied by the caller.
    pub key: Option<Name>,
    /// Hash of the whole submission.
    pub content: ContentHash,
    /// Model or service that runs the items.
    pub model: Name,
    /// Whether an item may run more than once.
    pub idempotent: bool,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
    /// Number of items in each chunk.
    pub chunks: Vec<u32>,
    /// State of the job.
    pub state: JobState,
    /// Reason for the failure of items without a recorded outcome.
    pub rest: Option<FailureCause>,
    /// Epoch of the latest claim.
    pub epoch: Epoch,
    /// Process that drives the job.
    pub driver: Option<Driver>,
    /// Stamp of the last write.
    pub stamp: WriteStamp,
    /// Counts of the items.
    pub counts: Counts,
    /// Items with an outcome.
    pub ended: Bitmap,
    /// Items of a non-idempotent job that may be running.
    pub intents: BTreeSet<u32>,
    /// Items that may have been running when their driver was lost.
    pub lost: Vec<u32>,
    /// Number of crashed or failed attempts of items without an outcome.
    pub tries: BTreeMap<u32, u8>,
    /// Segments that hold the outcomes.
    pub segments: Vec<SegmentRun>,
}

impl Header {
    /// Decodes a header. Returns `None` if it is damaged.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    pub(crate) fn encode(&self) -> Arc<[u8]> {
        // Serialization to memory fails only for maps with keys that are not strings or numbers.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        debug_assert!(!bytes.is_empty(), "a header is always serializable");
        Arc::from(bytes)
    }

    /// Adds a segment, extending the last run if the sequence number is consecutive.
    pub(crate) fn add_segment(&mut self, epoch: Epoch, seq: u32) {
        if let Some(run) = self.segments.last_mut()
            && run.epoch == epoch
            && run.first + run.count == seq
        {
            run.count += 1;
            return;
        }
        self.segments.push(SegmentRun { epoch, first: seq, count: 1 });
    }

    /// Returns `true` if the header lists the segment.
    #[must_use]
    pub fn lists(&self, epoch: Epoch, seq: u32) -> bool {
        self.segments
            .iter()
            .any(|run| run.epoch == epoch && (run.first..run.first + run.count).contains(&seq))
    }

    /// Assigns the job to a driver under a new epoch. The outcome of items that may be running
    /// under the previous claim is unknown, so they are recorded as failed with the reason
    /// `unknown`.
    pub(crate) fn claim(&mut self, driver: Driver) {
        self.epoch = self.epoch.next();
        self.driver = Some(driver);
        for item in std::mem::take(&mut self.intents) {
            if self.ended.set(item) {
                self.counts.failed += 1;
                self.lost.push(item);
            }
        }
    }

    pub(crate) fn remaining(&self) -> u32 {
        self.counts.items - self.ended.count()
    }

    /// Marks the job as cancelled, including all items without an outcome.
    pub(crate) fn cancel(&mut self) {
        self.state = JobState::Cancelled;
        self.counts.cancelled = self.remaining();
    }

    /// Marks the job as finished. Items without an outcome fail for the given reason.
    pub(crate) fn finish(&mut self, cause: Option<FailureCause>) {
        self.state = JobState::Finished;
        self.rest = cause;
        self.counts.failed += self.remaining();
        self.tries.clear();
    }

    /// Returns the chunk of an item and the index of the first item in that chunk.
    pub(crate) fn chunk_of(&self, item: u32) -> (u32, u32) {
        let mut first = 0;
        for (chunk, count) in (0..).zip(&self.chunks) {
            if item < first + count {
                return (chunk, first);
            }
            first += count;
        }
        debug_assert!(false, "item index out of range");
        (0, 0)
    }

    pub(crate) fn chunk_key(&self, job: &str, chunk: u32) -> ObjectKey {
        chunk_key(job, self.content, chunk)
    }
}

/// Returns `true` if the encoded header contains this stamp.
pub(crate) fn has_stamp(value: &[u8], stamp: WriteStamp) -> bool {
    Header::decode(value).is_some_and(|header| header.stamp == stamp)
}

pub(crate) fn key(job: &Name) -> ObjectKey {
    ObjectKey::new(KIND, Name::clone(job))
}

pub(crate) fn index_key(job: &Name) -> ObjectKey {
    ObjectKey::new(INDEX_KIND, Name::clone(job))
}

pub(crate) fn chunk_key(job: &str, content: ContentHash, chunk: u32) -> ObjectKey {
    ObjectKey::new(ITEMS_KIND, format!("{job}.{content}.{chunk}"))
}
