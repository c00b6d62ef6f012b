//! Group commit of outcomes and intents of a driven job.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStep;

use super::calls::Context;
use super::calls::DriveCall;
use super::calls::Owner;
use super::driven_job::DrivenJob;
use super::driven_job::Ending;
use super::header;
use super::header::Header;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;
use super::segment;

/// Maximum number of items whose failed attempts are counted in the header. Without a limit, an
/// endpoint that fails every item once would grow the header beyond the store's size limit.
const MAX_ITEMS_WITH_STORED_TRIES: usize = 2_000;

/// Commit in flight. The segment is written first, then the header that lists it.
#[derive(Debug)]
pub(crate) struct Commit {
    results: Vec<ItemResult>,
    bytes: usize,
    /// Sequence number of the segment; `None` if the commit has no outcomes.
    seq: Option<u32>,
    header: Option<HeaderWrite>,
}

#[derive(Debug)]
struct HeaderWrite {
    write: StampedWrite,
    next: Header,
    started: Timestamp,
    intents: Vec<u32>,
}

impl Commit {
    pub(crate) fn unstored(&self) -> (usize, usize) {
        (self.results.len(), self.bytes)
    }
}

/// Intervals that bound the commit rate of the whole process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommitPace {
    /// Age of the oldest pending outcome that triggers a commit.
    pub(crate) outcomes: Duration,
    /// Time since the last commit after which pending intents trigger one.
    pub(crate) intents: Duration,
}

/// State of a commit after a store reply.
#[derive(Debug)]
pub(crate) enum CommitState {
    /// Store calls of the commit are in flight.
    InProgress,
    /// The commit is stored and the job continues.
    Stored,
    /// The commit is stored, and it finished the job or released the claim.
    Ended,
    /// Another process wrote the header. Contains the key of the commit's segment if the current
    /// header does not list it and it has to be deleted.
    Fenced(Option<ObjectKey>),
}

impl DrivenJob {
    /// Starts a commit if one is due.
    pub(crate) fn commit_if_due(&mut self, pace: CommitPace, cx: &mut Context) {
        if self.commit.is_some() || self.ending == Some(Ending::Cancelled) {
            return;
        }
        let full =
            self.pending.len() >= cx.cfg.commit_items || self.pending_bytes >= cx.cfg.commit_bytes;
        let aged = !self.pending.is_empty() && cx.now - self.pending_since >= pace.outcomes;
        let intents_allowed = self.committed_at.is_none_or(|at| cx.now - at >= pace.intents);
        let intents = intents_allowed && !self.intents_to_store.is_empty();
        if full || aged || intents || self.is_last_commit_due() {
            self.start_commit(cx);
        }
    }

    fn is_last_commit_due(&self) -> bool {
        match self.ending {
            None => self.unresolved == 0,
            Some(Ending::FailRemaining(_)) => true,
            Some(Ending::Release) => self.running == 0,
            Some(Ending::Cancelled) => false,
        }
    }

    fn start_commit(&mut self, cx: &mut Context) {
        let mut results = Vec::new();
        let mut bytes = 0;
        while let Some(result) = self.pending.front()
            && results.len() < cx.cfg.commit_items
            && (results.is_empty() || bytes + result.size() <= cx.cfg.commit_bytes)
        {
            bytes += result.size();
            results.extend(self.pending.pop_front());
        }
        self.pending_bytes -= bytes;
        self.committed_at = Some(cx.now);
        self.recent_outcomes = 0;
        if results.is_empty() {
            self.commit = Some(Commit { results, bytes, seq: None, header: None });
            self.write_header(cx);
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        self.commit = Some(Commit { results, bytes, seq: Some(seq), header: None });
        if let Some(op) = self.segment_put() {
            cx.call(self.owner(DriveCall::Segment), op);
        }
    }

    fn segment_put(&self) -> Option<StoreOp> {
        let commit = self.commit.as_ref()?;
        let key = segment::key(&self.job, self.header.epoch, commit.seq?);
        let value = segment::encode(&commit.results).into();
        Some(StoreOp::Put { key, expect: Precondition::Absent, value })
    }

    /// Handles the reply to a segment write. Only this claim uses the key, so a conflict means that
    /// an earlier write of this process succeeded and its reply was lost.
    pub(crate) fn on_segment_reply(&mut self, op: StoreOp, reply: StoreReply, cx: &mut Context) {
        match reply {
            StoreReply::Written { .. } | StoreReply::Conflict => self.write_header(cx),
            StoreReply::Unavailable { retry_after } => {
                cx.call_later(self.owner(DriveCall::Segment), op, retry_after);
            }
            StoreReply::TooLarge => self.drop_bodies(cx),
            _ => cx.call_later(self.owner(DriveCall::Segment), op, Duration::ZERO),
        }
    }

    /// Replaces the outcomes of a commit with failures if together they exceed the store's size
    /// limit for an object.
    fn drop_bodies(&mut self, cx: &mut Context) {
        let Some(commit) = &mut self.commit else {
            return;
        };
        for result in &mut commit.results {
            result.outcome = ItemOutcome::failed(Reason::AnswerTooLarge);
        }
        if let Some(op) = self.segment_put() {
            cx.call(self.owner(DriveCall::Segment), op);
        }
    }

    fn write_header(&mut self, cx: &mut Context) {
        let intents: Vec<u32> = std::mem::take(&mut self.intents_to_store).into_iter().collect();
        let mut next = self.next_header(&intents);
        next.stamp = cx.new_stamp();
        let key = header::key(&self.job);
        let write = StampedWrite::new(key, Precondition::Version(self.version), next.encode());
        cx.call(self.owner(DriveCall::Header), write.next_call());
        if let Some(commit) = &mut self.commit {
            commit.header = Some(HeaderWrite { write, next, started: cx.now, intents });
        }
    }

    fn next_header(&self, intents: &[u32]) -> Header {
        let mut next = self.header.clone();
        let Some(commit) = &self.commit else {
            return next;
        };
        for result in &commit.results {
            next.ended.set(result.item);
            next.intents.remove(&result.item);
            match result.outcome {
                ItemOutcome::Done { .. } => next.counts.done += 1,
                _ => next.counts.failed += 1,
            }
        }
        if let Some(seq) = commit.seq {
            next.add_segment(self.header.epoch, seq);
        }
        next.intents.extend(intents);
        let tries = self.failed_attempts.iter().take(MAX_ITEMS_WITH_STORED_TRIES);
        next.tries = tries.map(|(item, tries)| (*item, *tries)).collect();
        if !self.pending.is_empty() {
            return next;
        }
        match self.ending {
            _ if next.remaining() == 0 => next.finish(None),
            Some(Ending::FailRemaining(cause)) => {
                self.remove_unused_intents(&mut next);
                next.finish(Some(cause));
            }
            Some(Ending::Release) if self.running == 0 => {
                self.remove_unused_intents(&mut next);
                next.driver = None;
            }
            Some(Ending::Release | Ending::Cancelled) | None => {}
        }
        next
    }

    /// Removes the intents of items that were never dispatched, or that an agent returned without
    /// forwarding them.
    fn remove_unused_intents(&self, next: &mut Header) {
        for item in &self.with_intent {
            next.intents.remove(item);
        }
    }

    /// Handles the reply to the header write.
    pub(crate) fn on_header_reply(&mut self, reply: StoreReply, cx: &mut Context) -> CommitState {
        let owner = self.owner(DriveCall::Header);
        let Some(commit) = &mut self.commit else {
            return CommitState::InProgress;
        };
        let Some(header) = &mut commit.header else {
            return CommitState::InProgress;
        };
        let stamp = header.next.stamp;
        let is_own_write = |value: &[u8]| header::has_stamp(value, stamp);
        match header.write.on_reply(reply, is_own_write) {
            WriteStep::Call(op) if cx.tries == 0 => cx.call(owner, op),
            WriteStep::Call(op) => cx.call_later(owner, op, Duration::ZERO),
            WriteStep::Wait(wait) => cx.call_later(owner, header.write.next_call(), wait),
            WriteStep::Finished(WriteResult::Written { version }) => {
                return self.on_stored(version, cx.cfg.max_header_age);
            }
            WriteStep::Finished(WriteResult::Fenced { current }) => {
                let unlisted_segment =
                    self.unlisted_segment(current.as_ref().map(|(_, value)| &**value));
                return CommitState::Fenced(unlisted_segment);
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                debug_assert!(false, "limits keep the header below the store's size limit");
                return CommitState::Fenced(None);
            }
        }
        CommitState::InProgress
    }

    /// Returns the key of the commit's segment if the current header does not list it. The header
    /// can list the segment although the write was fenced: the write succeeded, its reply was
    /// lost, and another process then wrote a newer version based on it.
    fn unlisted_segment(&self, current: Option<&[u8]>) -> Option<ObjectKey> {
        let current = Header::decode(current?)?;
        let seq = self.commit.as_ref()?.seq?;
        let epoch = self.header.epoch;
        (!current.lists(epoch, seq)).then(|| segment::key(&self.job, epoch, seq))
    }

    fn on_stored(&mut self, version: Version, max_header_age: Duration) -> CommitState {
        let Some(Commit { header: Some(write), .. }) = self.commit.take() else {
            return CommitState::InProgress;
        };
        self.version = version;
        self.on_confirmed(write.started, max_header_age);
        self.header = write.next;
        self.with_intent.extend(write.intents);
        let ended = self.header.state != header::JobState::Open || self.header.driver.is_none();
        if ended { CommitState::Ended } else { CommitState::Stored }
    }

    pub(crate) fn owner(&self, call: DriveCall) -> Owner {
        Owner::Drive(Name::clone(&self.job), self.claim_id, call)
    }
}
