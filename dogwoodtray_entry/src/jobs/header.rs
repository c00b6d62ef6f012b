//! Header of a job.

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

/// Kind of the headers.
pub(crate) const KIND: &str = "jobs";
/// Kind of the index of unfinished jobs.
pub(crate) const INDEX_KIND: &str = "open-jobs";
/// Kind of the chunks of items.
pub(crate) const ITEMS_KIND: &str = "job-items";

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are still to end.
    Open,
    /// The job was cancelled; items without an outcome are cancelled.
    Cancelled,
    /// All items ended.
    Finished,
    /// The submission was never completed and was given up; it does not run.
    Abandoned,
}

/// Why the items of a finished job that have no outcome of their own ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rest {
    /// The job was due.
    Deadline,
    /// The model or service was closed.
    ServiceClosed,
}

/// Process that drives a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Driver {
    /// Name of the entry.
    pub name: Name,
    /// Address on which other entries reach it.
    pub addr: Name,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// Counts of the items of a job.
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

/// Segments with consecutive numbers under one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRun {
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// First number.
    pub first: u32,
    /// Count of segments.
    pub count: u32,
}

/// Header of a job, the one object that decides what happened to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Organization that the job belongs to.
    pub organization: Name,
    /// Key that its caller gave it.
    pub key: Option<Name>,
    /// Hash of the whole submission.
    pub content: ContentHash,
    /// Model or service that runs the items.
    pub model: Name,
    /// Whether an item may run more than once.
    pub idempotent: bool,
    /// Time by which the job has to end, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
    /// Count of items in each chunk.
    pub chunks: Vec<u32>,
    /// State of the job.
    pub state: JobState,
    /// Why items without an outcome ended.
    pub rest: Option<Rest>,
    /// Epoch of the newest claim.
    pub epoch: Epoch,
    /// Process that drives the job.
    pub driver: Option<Driver>,
    /// Stamp of the last write.
    pub stamp: WriteStamp,
    /// Counts of the items.
    pub counts: Counts,
    /// Items that have an outcome.
    pub ended: Bitmap,
    /// Items of a non-idempotent job that may be running.
    pub intents: BTreeSet<u32>,
    /// Items whose driver was lost while they may have been running.
    pub lost: Vec<u32>,
    /// Attempts that crashed or failed, for items without an outcome.
    pub tries: BTreeMap<u32, u8>,
    /// Segments that hold the outcomes.
    pub segments: Vec<SegmentRun>,
}

impl Header {
    /// Decodes a header; `None` when it is damaged.
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

    /// Lists a segment, extending the last run when the numbers follow on.
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

    /// Tells whether the header lists a segment.
    #[must_use]
    pub fn lists(&self, epoch: Epoch, seq: u32) -> bool {
        self.segments
            .iter()
            .any(|run| run.epoch == epoch && (run.first..run.first + run.count).contains(&seq))
    }

    /// Gives the claim to a driver. Items that may be running under the last claim have no known
    /// outcome; they are recorded as failed with the reason `unknown`.
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

    /// Cancels all items that have no outcome.
    pub(crate) fn cancel(&mut self) {
        self.state = JobState::Cancelled;
        self.counts.cancelled = self.remaining();
    }

    /// Ends the job; items without an outcome fail for the given reason.
    pub(crate) fn finish(&mut self, rest: Option<Rest>) {
        self.state = JobState::Finished;
        self.rest = rest;
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
        debug_assert!(false, "item beyond the last chunk");
        (0, 0)
    }

    pub(crate) fn chunk_key(&self, job: &str, chunk: u32) -> ObjectKey {
        chunk_key(job, self.content, chunk)
    }
}

/// Tells whether a header carries the stamp of a write.
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
