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

use super::api::ItemEnd;
use super::attempts::Attempt;
use super::bitmap::Bitmap;
use super::commit::Commit;
use super::config::JobConfig;
use super::header::Header;
use super::header::Rest;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;

/// Weight of the newest duration in the mean duration of an item.
const MEAN_WEIGHT: f64 = 0.1;
const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVER_ERROR: u16 = 500;

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
    /// Later outcomes of items that had one, not yet in the header.
    pub(crate) dropped: u32,
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
    mean_ms: f64,
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
            dropped: 0,
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

    /// Takes the end of an attempt. Returns other attempts at the item that are now superfluous.
    pub(crate) fn on_end(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        id: AttemptId,
        attempt: &Attempt,
        end: ItemEnd,
    ) -> Vec<AttemptId> {
        let item = attempt.item;
        if let Some(active) = self.active.get_mut(&item) {
            active.running.retain(|running| *running != id);
            self.running -= 1;
            self.running_items -= u32::from(active.running.is_empty());
        }
        if self.settled.get(item) {
            if matches!(end, ItemEnd::Answered { .. } | ItemEnd::Failed { .. }) {
                self.dropped += 1;
            }
            return Vec::new();
        }
        if matches!(end, ItemEnd::Answered { .. }) {
            let millis = (now - attempt.sent_at).as_secs_f64() * 1_000.0;
            self.mean_ms += (millis - self.mean_ms) * MEAN_WEIGHT;
        }
        let outcome = if self.header.idempotent {
            self.judge_idempotent(cfg, now, attempt, end)
        } else {
            self.judge_once(attempt, end)
        };
        let Some(outcome) = outcome else {
            return Vec::new();
        };
        self.settle(now, item, Name::clone(&attempt.custom_id), outcome)
    }

    /// Decides on an item that may run again; `None` when it is to be tried again.
    fn judge_idempotent(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        attempt: &Attempt,
        end: ItemEnd,
    ) -> Option<ItemOutcome> {
        let item = attempt.item;
        match end {
            ItemEnd::Answered { status, body } => return Some(ItemOutcome::Done { status, body }),
            ItemEnd::Quarantined => return Some(ItemOutcome::failed(Reason::Quarantined)),
            ItemEnd::Preempted { partial, tokens } => self.on_preempted(item, now, partial, tokens),
            ItemEnd::NotRun | ItemEnd::Cancelled => self.again(item, now + cfg.retry_delay),
            ItemEnd::Failed { status, body } if is_final(status) => {
                return Some(ItemOutcome::Failed { reason: Reason::Refused, status, body });
            }
            ItemEnd::Failed { status, body } => {
                return self.count_try(cfg, now, attempt, status, body);
            }
            ItemEnd::Crashed | ItemEnd::Unknown => {
                return self.count_try(cfg, now, attempt, 0, Bytes::new());
            }
        }
        None
    }

    /// Decides on an item that must run at most once.
    fn judge_once(&mut self, attempt: &Attempt, end: ItemEnd) -> Option<ItemOutcome> {
        match end {
            ItemEnd::Answered { status, body } => Some(ItemOutcome::Done { status, body }),
            ItemEnd::Failed { status, body } => {
                Some(ItemOutcome::Failed { reason: Reason::Refused, status, body })
            }
            ItemEnd::Quarantined if !attempt.started => {
                Some(ItemOutcome::failed(Reason::Quarantined))
            }
            // The agent never forwarded the item, and its intent is still stored.
            ItemEnd::NotRun if !attempt.started => {
                self.active.remove(&attempt.item);
                self.armed.push_back(attempt.item);
                None
            }
            _ => Some(ItemOutcome::failed(Reason::Unknown)),
        }
    }

    fn on_preempted(&mut self, item: u32, now: Timestamp, partial: Bytes, tokens: u32) {
        let active = self.active.entry(item).or_default();
        let progress = tokens > active.tokens;
        if progress {
            active.partial = partial;
            active.tokens = tokens;
        }
        if !active.running.is_empty() {
            return;
        }
        // Only an item that got further may go first again, so that none blocks the rest.
        if progress {
            self.resumed.push_back(item);
        } else {
            self.retry.insert((now, item));
        }
    }

    fn again(&mut self, item: u32, not_before: Timestamp) {
        let others = self.active.get(&item).is_some_and(|active| !active.running.is_empty());
        if !others {
            self.retry.insert((not_before, item));
        }
    }

    fn count_try(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        attempt: &Attempt,
        status: u16,
        body: Bytes,
    ) -> Option<ItemOutcome> {
        let item = attempt.item;
        let tries = self.tries.entry(item).or_default();
        *tries = tries.saturating_add(1);
        if *tries >= cfg.max_attempts {
            return Some(ItemOutcome::Failed { reason: Reason::AttemptsExhausted, status, body });
        }
        if let Some(active) = self.active.get_mut(&item) {
            active.avoid = Some(attempt.endpoint);
        }
        self.again(item, now + cfg.retry_delay);
        None
    }

    /// Takes the first outcome of an item. Returns attempts that are now superfluous.
    fn settle(
        &mut self,
        now: Timestamp,
        item: u32,
        custom_id: Name,
        outcome: ItemOutcome,
    ) -> Vec<AttemptId> {
        self.settled.set(item);
        self.unsettled -= 1;
        self.tries.remove(&item);
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        let result = ItemResult { item, custom_id, outcome };
        self.pending_bytes += result.size();
        self.pending.push_back(result);
        let losers = self.active.remove(&item).map(|active| active.running).unwrap_or_default();
        self.running -= losers.len();
        self.running_items -= u32::from(!losers.is_empty());
        self.recent += 1;
        losers
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

/// Tells whether a repetition cannot change the answer.
fn is_final(status: u16) -> bool {
    (BAD_REQUEST..SERVER_ERROR).contains(&status)
        && status != REQUEST_TIMEOUT
        && status != TOO_MANY_REQUESTS
}
