//! Attempts that the agent knows.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::WorkId;

use super::AttemptEnd;
use super::PeerId;
use super::Work;

/// Entry incarnations of which forgotten attempts are remembered by their highest counter.
const MAX_INCARNATIONS: usize = 4096;

/// Stage of an attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for a place.
    Queued,
    /// Forwarded to the endpoint.
    Running,
    /// The connection to the endpoint broke; a health check is under way.
    Broken,
    /// The connection broke and the endpoint answers. It may have died and restarted: attempts
    /// that it held at the time of the break tell.
    Doubtful,
    /// The exchange is being aborted; the end is known.
    Aborting(AttemptEnd),
    /// Ended; the answer is retained.
    Ended(AttemptEnd),
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: WorkId,
    pub(super) work: Arc<Work>,
    pub(super) peer: Option<PeerId>,
    pub(super) stage: Stage,
    pub(super) status: u16,
    pub(super) content_type: Name,
    pub(super) answer: BytesMut,
    pub(super) tokens: u32,
    /// Time since which no entry is attached, or since which the attempt has ended.
    pub(super) idle_since: Timestamp,
    /// Time of the last sign of progress from the endpoint.
    pub(super) progress_at: Timestamp,
    /// Time at which the attempt was forwarded to the endpoint.
    pub(super) forwarded_at: Timestamp,
    /// Time at which its connection to the endpoint broke.
    pub(super) broken_at: Timestamp,
}

impl Attempt {
    pub(super) fn new(id: WorkId, peer: PeerId, work: Work, now: Timestamp) -> Self {
        Self {
            id,
            tokens: work.resume_from,
            work: Arc::new(work),
            peer: Some(peer),
            stage: Stage::Queued,
            status: 0,
            content_type: Name::from(""),
            answer: BytesMut::new(),
            idle_since: now,
            progress_at: now,
            forwarded_at: now,
            broken_at: now,
        }
    }

    pub(super) fn is_inside(&self) -> bool {
        matches!(self.stage, Stage::Running | Stage::Broken | Stage::Doubtful | Stage::Aborting(_))
    }

    pub(super) fn answer_from(&self, offset: u64) -> Bytes {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.answer.len());
        Bytes::copy_from_slice(&self.answer[start..])
    }
}

/// All attempts that the agent knows, and which it has forgotten.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_attempt: BTreeMap<AttemptId, Attempt>,
    by_work: HashMap<WorkId, AttemptId>,
    /// Highest counter of an attempt that was forgotten or refused unseen, by entry incarnation.
    forgotten: BTreeMap<Incarnation, u64>,
    next_work: u64,
}

impl Attempts {
    pub(super) fn insert(&mut self, peer: PeerId, work: Work, now: Timestamp) -> WorkId {
        self.next_work += 1;
        let id = WorkId(self.next_work);
        let attempt = work.attempt;
        self.by_work.insert(id, attempt);
        self.by_attempt.insert(attempt, Attempt::new(id, peer, work, now));
        id
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.by_attempt.get(&attempt)
    }

    pub(super) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.by_attempt.get_mut(&attempt)
    }

    pub(super) fn of_work(&self, id: WorkId) -> Option<AttemptId> {
        self.by_work.get(&id).copied()
    }

    pub(super) fn forget(&mut self, attempt: AttemptId) {
        if let Some(known) = self.by_attempt.remove(&attempt) {
            self.by_work.remove(&known.id);
        }
        self.remember_forgotten(attempt);
    }

    /// Makes sure that the attempt is refused if it arrives after all.
    pub(super) fn remember_forgotten(&mut self, attempt: AttemptId) {
        let highest = self.forgotten.entry(attempt.incarnation).or_default();
        *highest = (*highest).max(attempt.counter);
        if self.forgotten.len() > MAX_INCARNATIONS {
            self.forgotten.pop_first();
        }
    }

    /// Tells whether the attempt may have been known and forgotten.
    pub(super) fn may_be_forgotten(&self, attempt: AttemptId) -> bool {
        self.forgotten.get(&attempt.incarnation).is_some_and(|highest| attempt.counter <= *highest)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.by_attempt.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&AttemptId, &mut Attempt)> {
        self.by_attempt.iter_mut()
    }
}

/// Tells whether an attempt has ended.
pub(super) const fn is_ended(stage: Stage) -> bool {
    matches!(stage, Stage::Ended(_))
}
