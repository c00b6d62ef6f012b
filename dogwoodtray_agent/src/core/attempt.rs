//! Attempts tracked by the agent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_http::ByteLease;
use dogwoodtray_policy::WorkId;

use super::AttemptOutcome;
use super::EntryLinkId;
use super::Work;

/// Maximum number of entry incarnations for which the highest rejected counter is kept.
const MAX_REJECTED_INCARNATIONS: usize = 4096;

/// Maximum size of an answer. The agent keeps it until the entry has confirmed its end.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Maximum size of the answers of all attempts.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// Stage of an attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for admission.
    Queued,
    /// Forwarded to the endpoint.
    Running,
    /// The connection to the endpoint broke; a health check is in progress.
    Broken,
    /// The connection broke, but the endpoint passes health checks. Whether it crashed and
    /// restarted is derived from the attempts that were running at the time of the break.
    Undetermined,
    /// The exchange is being aborted and ends with this outcome.
    Aborting(AttemptOutcome),
    /// Ended; the response is retained.
    Ended(AttemptOutcome),
}

/// State of one attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) work_id: WorkId,
    pub(super) work: Arc<Work>,
    pub(super) peer: Option<EntryLinkId>,
    pub(super) stage: Stage,
    pub(super) status: u16,
    pub(super) content_type: Name,
    pub(super) response_body: BytesMut,
    /// Share of the buffers of all attempts.
    pub(super) lease: ByteLease,
    pub(super) tokens: u32,
    /// Whether data that arrived while the attempt was being aborted has been dropped.
    pub(super) has_dropped_data: bool,
    /// Time at which the entry detached or the attempt ended.
    pub(super) idle_since: Timestamp,
    /// Time of the last data from the endpoint, or of forwarding before the first data.
    pub(super) progress_at: Timestamp,
    /// Time at which the attempt was forwarded to the endpoint.
    pub(super) forwarded_at: Timestamp,
    /// Time at which the connection to the endpoint broke.
    pub(super) broken_at: Timestamp,
}

impl Attempt {
    pub(super) fn new(
        work_id: WorkId,
        peer: EntryLinkId,
        work: Work,
        now: Timestamp,
        lease: ByteLease,
    ) -> Self {
        Self {
            work_id,
            tokens: work.resume_from,
            work: Arc::new(work),
            peer: Some(peer),
            stage: Stage::Queued,
            status: 0,
            content_type: Name::from(""),
            response_body: BytesMut::new(),
            lease,
            has_dropped_data: false,
            idle_since: now,
            progress_at: now,
            forwarded_at: now,
            broken_at: now,
        }
    }

    pub(super) fn is_at_endpoint(&self) -> bool {
        matches!(
            self.stage,
            Stage::Running | Stage::Broken | Stage::Undetermined | Stage::Aborting(_)
        )
    }

    /// Appends data of the answer. Returns `false` if it exceeds a limit.
    pub(super) fn append(&mut self, data: &[u8]) -> bool {
        let bytes = self.response_body.len() + data.len();
        if bytes > MAX_ANSWER_BYTES || self.lease.resize(bytes).is_err() {
            return false;
        }
        self.response_body.extend_from_slice(data);
        true
    }

    pub(super) fn response_body_from(&self, offset: u64) -> Bytes {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.response_body.len());
        Bytes::copy_from_slice(&self.response_body[start..])
    }
}

/// Attempts that the agent tracks, and counters of the attempts that it rejects.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Bytes of the answers of all attempts.
    buffers: ByteBudget,
    by_id: BTreeMap<AttemptId, Attempt>,
    id_by_work: HashMap<WorkId, AttemptId>,
    /// Highest counter of an attempt that was removed or reported as not received, by entry
    /// incarnation.
    rejected_up_to: BTreeMap<Incarnation, u64>,
    last_work_id: u64,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            buffers: ByteBudget::new(MAX_BUFFERED_BYTES),
            by_id: BTreeMap::new(),
            id_by_work: HashMap::new(),
            rejected_up_to: BTreeMap::new(),
            last_work_id: 0,
        }
    }
}

impl Attempts {
    pub(super) fn insert(&mut self, peer: EntryLinkId, work: Work, now: Timestamp) -> WorkId {
        self.last_work_id += 1;
        let work_id = WorkId(self.last_work_id);
        let attempt = work.attempt;
        self.id_by_work.insert(work_id, attempt);
        self.by_id.insert(attempt, Attempt::new(work_id, peer, work, now, self.buffers.lease()));
        work_id
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.by_id.get(&attempt)
    }

    pub(super) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&attempt)
    }

    pub(super) fn id_of_work(&self, work_id: WorkId) -> Option<AttemptId> {
        self.id_by_work.get(&work_id).copied()
    }

    pub(super) fn remove(&mut self, attempt: AttemptId) {
        if let Some(removed) = self.by_id.remove(&attempt) {
            self.id_by_work.remove(&removed.work_id);
        }
        self.reject_up_to(attempt);
    }

    /// Rejects later dispatches of this attempt and of the earlier ones of its entry.
    pub(super) fn reject_up_to(&mut self, attempt: AttemptId) {
        let highest = self.rejected_up_to.entry(attempt.incarnation).or_default();
        *highest = (*highest).max(attempt.counter);
        if self.rejected_up_to.len() > MAX_REJECTED_INCARNATIONS {
            self.rejected_up_to.pop_first();
        }
    }

    /// Returns whether an untracked attempt must be rejected because it may have run or was
    /// reported as not received.
    pub(super) fn is_rejected(&self, attempt: AttemptId) -> bool {
        self.rejected_up_to
            .get(&attempt.incarnation)
            .is_some_and(|highest| attempt.counter <= *highest)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.by_id.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&AttemptId, &mut Attempt)> {
        self.by_id.iter_mut()
    }
}

/// Returns whether an attempt at this stage has ended.
pub(super) const fn is_ended(stage: Stage) -> bool {
    matches!(stage, Stage::Ended(_))
}
