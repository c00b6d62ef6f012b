//! A job that this process drives.

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
use super::header::Header;
use super::header::Rest;
use super::outcome::ItemResult;

/// Why a job is brought to an end before all its items ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The rest of the items fail.
    Rest(Rest),
    /// The claim is given back.
    Release,
    /// The job was cancelled; only a commit in flight goes on.
    Cancelled,
}

/// Item that runs or that carries state from earlier attempts.
#[derive(Debug, Default)]
pub(crate) struct Active {
    pub(crate) running: Vec<AttemptId>,
    pub(crate) partial: Bytes,
    pub(crate) tokens: u32,
    pub(crate) avoid: Option<u64>,
}

/// A job that this process drives.
#[derive(Debug)]
pub(crate) struct Driven {
    pub(crate) job: Name,
    /// Number of this claim within the process.
    pub(crate) flow: u64,
    /// Header as this process last wrote or read it, with its version.
    pub(crate) header: Header,
    pub(crate) version: Version,
    /// When the call that last confirmed the header was started.
    pub(crate) confirmed_at: Timestamp,
    /// Until when idempotent items may start without another look at the header.
    pub(crate) trusted_until: Timestamp,
    /// When the confirmation in flight was started.
    pub(crate) confirming: Option<Timestamp>,
    pub(crate) commit: Option<Commit>,
    pub(crate) next_seq: u32,
    /// Items that have an outcome, stored or not.
    pub(crate) settled: Bitmap,
    pub(crate) unsettled: u32,
    pub(crate) pending: VecDeque<ItemResult>,
    pub(crate) pending_bytes: usize,
    pub(crate) pending_since: Timestamp,
    pub(crate) tries: BTreeMap<u32, u8>,
    pub(crate) active: HashMap<u32, Active>,
    /// Items that are tried again before fresh ones, because work on them was saved.
    pub(crate) resumed: VecDeque<u32>,
    /// Items that are tried again after fresh ones, with the earliest time.
    pub(crate) retry: BTreeSet<(Timestamp, u32)>,
    /// Items below this index were handed out at least once.
    pub(crate) fresh: u32,
    /// Items with a stored intent that do not run.
    pub(crate) armed: VecDeque<u32>,
    /// Intents to store with the next commit.
    pub(crate) wanted: BTreeSet<u32>,
    pub(crate) chunks: BTreeMap<u32, Chunk>,
    pub(crate) loading: Option<u32>,
    pub(crate) ending: Option<Ending>,
    /// Attempts that run.
    pub(crate) running: usize,
    /// Items that run.
    pub(crate) running_items: u32,
    /// When the last commit was started.
    pub(crate) committed_at: Option<Timestamp>,
    /// Outcomes taken since then.
    pub(crate) recent: usize,
    /// Mean duration of an answered attempt.
    pub(crate) mean_ms: f64,
}

/// Chunk of items in memory.
#[derive(Debug)]
pub(crate) struct Chunk {
    pub(crate) first: u32,
    pub(crate) items: Vec<(Name, Bytes)>,
    pub(crate) used_at: Timestamp,
}

impl Driven {
    /// Starts to drive a job whose claim was stored.
    pub(crate) fn new(
        job: Name,
        flow: u64,
        header: Header,
        version: Version,
        at: Timestamp,
        within: Duration,
    ) -> Self {
        Self {
            job,
            flow,
            settled: header.ended.clone(),
            unsettled: header.remaining(),
            tries: header.tries.clone(),
            header,
            version,
            confirmed_at: at,
            confirming: None,
            trusted_until: at + within,
            commit: None,
            next_seq: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            pending_since: at,
            active: HashMap::new(),
            resumed: VecDeque::new(),
            retry: BTreeSet::new(),
            fresh: 0,
            armed: VecDeque::new(),
            wanted: BTreeSet::new(),
            chunks: BTreeMap::new(),
            loading: None,
            ending: None,
            running: 0,
            running_items: 0,
            committed_at: None,
            recent: 0,
            mean_ms: 0.0,
        }
    }

    /// Returns the items that wait to be run.
    pub(crate) fn waiting(&self) -> u32 {
        self.unsettled.saturating_sub(self.running_items)
    }

    /// Returns the time to spare until the job is due, given the pace so far.
    pub(crate) fn slack_ms(&self, unix_ms: u64) -> i64 {
        let left = self.header.due_unix_ms as i64 - unix_ms as i64;
        let work = f64::from(self.waiting()) * self.mean_ms / self.running.max(1) as f64;
        left - work as i64
    }

    /// Returns the outcomes that are not stored yet, with their bytes.
    pub(crate) fn held(&self) -> (usize, usize) {
        let (count, bytes) = self.commit.as_ref().map_or((0, 0), Commit::held);
        (self.pending.len() + count, self.pending_bytes + bytes)
    }

    /// Returns all attempts that run.
    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.active.values().flat_map(|active| active.running.iter().copied()).collect()
    }

    /// Notes that the header stood unchanged when a call was started.
    pub(crate) fn on_confirmed(&mut self, started: Timestamp, within: Duration) {
        self.confirmed_at = self.confirmed_at.max(started);
        self.trusted_until = self.trusted_until.max(started + within);
    }

    /// Notes that the store cannot be reached. While it is down no cancellation can be stored
    /// either, so idempotent items go on within the bound on outcomes that are held back. A
    /// process whose trust has run out, as after a pause, does not regain it this way.
    pub(crate) fn on_unreachable(&mut self, now: Timestamp, within: Duration) {
        if now <= self.trusted_until {
            self.trusted_until = now + within;
        }
    }
}
