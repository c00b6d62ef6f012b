//! State of a job driven by this process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;

use super::bitmap::Bitmap;
use super::commit::Commit;
use super::header::FailureCause;
use super::header::Header;
use super::outcome::ItemResult;

/// Reason to stop driving a job before all its items have an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The remaining items fail.
    FailRemaining(FailureCause),
    /// The claim is released.
    Release,
    /// The job was cancelled; only a commit in flight continues.
    Cancelled,
}

/// Item that is running or has state from earlier attempts.
#[derive(Debug, Default)]
pub(crate) struct ActiveItem {
    pub(crate) running: Vec<AttemptId>,
    pub(crate) partial: Bytes,
    pub(crate) tokens: u32,
    pub(crate) excluded_endpoint: Option<u64>,
}

/// State of a job driven by this process.
#[derive(Debug)]
pub(crate) struct DrivenJob {
    pub(crate) job: Name,
    /// Identifier of this claim, unique within the process.
    pub(crate) claim_id: u64,
    /// Header as last written or read by this process; `version` is its version.
    pub(crate) header: Header,
    pub(crate) version: Version,
    /// Start time of the store call that last confirmed the header.
    pub(crate) confirmed_at: Timestamp,
    /// Time until which idempotent items may start without confirming the header again.
    pub(crate) trusted_until: Timestamp,
    /// Start time of the confirmation in flight.
    pub(crate) confirming: Option<Timestamp>,
    pub(crate) commit: Option<Commit>,
    pub(crate) next_seq: u32,
    /// Items with an outcome, stored or not.
    pub(crate) settled: Bitmap,
    pub(crate) unsettled: u32,
    pub(crate) pending: VecDeque<ItemResult>,
    pub(crate) pending_bytes: usize,
    pub(crate) pending_since: Timestamp,
    pub(crate) tries: BTreeMap<u32, u8>,
    pub(crate) active: HashMap<u32, ActiveItem>,
    /// Items to resume before new ones, because their partial output was kept.
    pub(crate) resumed: VecDeque<u32>,
    /// Items to retry after new ones, with the earliest time of the next attempt.
    pub(crate) retry: BTreeSet<(Timestamp, u32)>,
    /// Index of the first item that was never selected for an attempt.
    pub(crate) next_new_item: u32,
    /// Items with a stored intent that are not running.
    pub(crate) with_intent: VecDeque<u32>,
    /// Items whose intents are to be stored by the next commit.
    pub(crate) intents_to_store: BTreeSet<u32>,
    pub(crate) chunks: BTreeMap<u32, Chunk>,
    pub(crate) loading: Option<u32>,
    pub(crate) ending: Option<Ending>,
    /// Number of running attempts.
    pub(crate) running: usize,
    /// Number of items with a running attempt.
    pub(crate) running_items: u32,
    /// Start time of the last commit.
    pub(crate) committed_at: Option<Timestamp>,
    /// Number of outcomes recorded since the start of the last commit.
    pub(crate) recent_outcomes: usize,
    /// Moving average of the duration of answered attempts.
    pub(crate) mean_attempt_ms: f64,
}

/// Chunk of items loaded into memory.
#[derive(Debug)]
pub(crate) struct Chunk {
    pub(crate) first: u32,
    pub(crate) items: Vec<(Name, Bytes)>,
    pub(crate) used_at: Timestamp,
}

impl DrivenJob {
    /// Creates the state of a job whose claim was just stored.
    pub(crate) fn new(
        job: Name,
        claim_id: u64,
        header: Header,
        version: Version,
        at: Timestamp,
        max_header_age: Duration,
    ) -> Self {
        Self {
            job,
            claim_id,
            settled: header.ended.clone(),
            unsettled: header.remaining(),
            tries: header.tries.clone(),
            header,
            version,
            confirmed_at: at,
            confirming: None,
            trusted_until: at + max_header_age,
            commit: None,
            next_seq: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            pending_since: at,
            active: HashMap::new(),
            resumed: VecDeque::new(),
            retry: BTreeSet::new(),
            next_new_item: 0,
            with_intent: VecDeque::new(),
            intents_to_store: BTreeSet::new(),
            chunks: BTreeMap::new(),
            loading: None,
            ending: None,
            running: 0,
            running_items: 0,
            committed_at: None,
            recent_outcomes: 0,
            mean_attempt_ms: 0.0,
        }
    }

    /// Returns the number of items that wait for an attempt.
    pub(crate) fn waiting(&self) -> u32 {
        self.unsettled.saturating_sub(self.running_items)
    }

    /// Returns the estimated spare time before the deadline, based on the mean attempt duration.
    pub(crate) fn slack_ms(&self, unix_ms: u64) -> i64 {
        let remaining_ms = self.header.due_unix_ms as i64 - unix_ms as i64;
        let work_ms = f64::from(self.waiting()) * self.mean_attempt_ms / self.running.max(1) as f64;
        remaining_ms - work_ms as i64
    }

    /// Returns the number of unstored outcomes and their size in bytes.
    pub(crate) fn unstored(&self) -> (usize, usize) {
        let (count, bytes) = self.commit.as_ref().map_or((0, 0), Commit::unstored);
        (self.pending.len() + count, self.pending_bytes + bytes)
    }

    /// Returns all running attempts.
    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.active.values().flat_map(|active| active.running.iter().copied()).collect()
    }

    /// Records that the header was unchanged when a store call started.
    pub(crate) fn on_confirmed(&mut self, started: Timestamp, max_header_age: Duration) {
        self.confirmed_at = self.confirmed_at.max(started);
        self.trusted_until = self.trusted_until.max(started + max_header_age);
    }

    /// Records that the store is unreachable. While the store is down, no cancellation can be
    /// stored either, so idempotent items continue until the limit on unstored outcomes is
    /// reached. If `trusted_until` has already passed, for example after the process was paused,
    /// it is not extended.
    pub(crate) fn on_unreachable(&mut self, now: Timestamp, max_header_age: Duration) {
        if now <= self.trusted_until {
            self.trusted_until = now + max_header_age;
        }
    }
}
