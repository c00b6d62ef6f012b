//! Storing of submissions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStep;

use super::api::ReplyToken;
use super::api::Submission;
use super::calls::Context;
use super::calls::Owner;
use super::header;
use super::header::Header;
use super::header::JobState;
use super::items;
use super::reply::JobReply;
use super::reply::Refusal;
use super::submission::job_name;
use super::submission::new_header;

/// Submission that is being written to the store.
///
/// The intake first reads the header, which must be absent or abandoned, then writes the chunks and
/// the index entry, and finally writes the header conditional on the state read at the start.
/// Orphan removal relies on this order: it reads the versions of the index entry and the chunks,
/// then marks the header as abandoned, and deletes exactly those versions last. Therefore it never
/// deletes an object of a submission whose header write succeeds.
#[derive(Debug)]
pub(crate) struct Intake {
    token: ReplyToken,
    job: Name,
    header: Header,
    items: Vec<(Name, Bytes)>,
    bytes: usize,
    expect: Precondition,
    step: Step,
    deadline: Timestamp,
    /// Whether the result of a header write is unknown.
    write_ambiguous: bool,
}

#[derive(Debug)]
enum Step {
    /// Read the header.
    ReadHeader,
    /// Write a chunk; `first` is the index of its first item.
    Chunk { chunk: usize, first: usize, value: Arc<[u8]> },
    /// Write the index entry.
    Index,
    /// Write the header.
    Header(StampedWrite),
}

impl Intake {
    /// Starts the intake of a validated submission of the given size in bytes.
    pub(crate) fn start(
        id: u64,
        token: ReplyToken,
        (submission, bytes): (Submission, usize),
        cx: &mut Context,
    ) -> Self {
        let job = job_name(&submission, cx.rng);
        let header = new_header(cx.cfg, &submission, cx.unix_ms);
        cx.call(Owner::Intake(id), StoreOp::Get { key: header::key(&job) });
        Self {
            token,
            job,
            header,
            items: submission.items,
            bytes,
            expect: Precondition::Absent,
            step: Step::ReadHeader,
            deadline: cx.now + cx.cfg.intake_timeout,
            write_ambiguous: false,
        }
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) const fn token(&self) -> ReplyToken {
        self.token
    }

    /// Handles the reply to the last store call. Returns the reply to the caller when the intake
    /// ends.
    pub(crate) fn on_reply(
        &mut self,
        id: u64,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> Option<JobReply> {
        if let Step::Header(write) = &mut self.step {
            if reply == StoreReply::Ambiguous && op.is_write() {
                self.write_ambiguous = true;
            }
            let stamp = self.header.stamp;
            let is_own_write = |value: &[u8]| header::has_stamp(value, stamp);
            return match write.on_reply(reply, is_own_write) {
                WriteStep::Call(op) => self.call_or_time_out(id, op, Duration::ZERO, cx),
                WriteStep::Wait(wait) => {
                    let op = write.next_call();
                    self.call_or_time_out(id, op, wait, cx)
                }
                WriteStep::Finished(result) => Some(self.on_written(result)),
            };
        }
        match reply {
            StoreReply::Unavailable { retry_after } => {
                self.call_or_time_out(id, op, retry_after, cx)
            }
            StoreReply::TooLarge => {
                Some(JobReply::NotRun(Refusal::JobTooLarge { limit: cx.cfg.chunk_bytes }))
            }
            StoreReply::Written { .. } => self.advance(id, cx),
            reply if matches!(self.step, Step::ReadHeader) => {
                self.on_header_read(id, op, reply, cx)
            }
            // The object exists from an earlier submission or from a write of this intake whose
            // reply was lost. It is written again, so that its version differs from any version
            // that an orphan removal has read.
            StoreReply::Found { version, .. } => {
                let op = self.put(Precondition::Version(version));
                self.call_or_time_out(id, op, Duration::ZERO, cx)
            }
            StoreReply::Missing => {
                let op = self.put(Precondition::Absent);
                self.call_or_time_out(id, op, Duration::ZERO, cx)
            }
            _ => {
                self.call_or_time_out(id, StoreOp::Get { key: self.step_key() }, Duration::ZERO, cx)
            }
        }
    }

    fn on_header_read(
        &mut self,
        id: u64,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> Option<JobReply> {
        match reply {
            StoreReply::Missing => self.expect = Precondition::Absent,
            StoreReply::Found { version, value } => {
                if let Some(reply) = self.reply_for_existing(&value) {
                    return Some(reply);
                }
                self.expect = Precondition::Version(version);
            }
            _ => return self.call_or_time_out(id, op, Duration::ZERO, cx),
        }
        self.write_chunk(id, 0, 0, cx);
        None
    }

    /// Returns the reply for an existing header, or `None` if the header may be replaced.
    fn reply_for_existing(&self, value: &[u8]) -> Option<JobReply> {
        let Some(existing) = Header::decode(value) else {
            return Some(JobReply::Damaged);
        };
        if existing.state == JobState::Abandoned {
            return None;
        }
        let job = Name::clone(&self.job);
        let is_same = existing.content == self.header.content
            && existing.organization == self.header.organization
            && existing.key == self.header.key;
        if is_same {
            return Some(JobReply::Accepted { job, resent: true });
        }
        Some(JobReply::Conflict { job })
    }

    fn advance(&mut self, id: u64, cx: &mut Context) -> Option<JobReply> {
        match &self.step {
            Step::Chunk { chunk, first, .. } => {
                let next_first = first + self.header.chunks[*chunk] as usize;
                if chunk + 1 < self.header.chunks.len() {
                    self.write_chunk(id, chunk + 1, next_first, cx);
                    return None;
                }
                self.step = Step::Index;
                let op = self.put(Precondition::Absent);
                self.call_or_time_out(id, op, Duration::ZERO, cx)
            }
            Step::Index => {
                self.header.stamp = cx.new_stamp();
                let key = header::key(&self.job);
                let write = StampedWrite::new(key, self.expect, self.header.encode());
                let op = write.next_call();
                self.step = Step::Header(write);
                self.call_or_time_out(id, op, Duration::ZERO, cx)
            }
            Step::ReadHeader | Step::Header(_) => {
                debug_assert!(false, "this step has no plain write");
                None
            }
        }
    }

    fn write_chunk(&mut self, id: u64, chunk: usize, first: usize, cx: &mut Context) {
        let count = self.header.chunks[chunk] as usize;
        let value = Arc::from(items::encode(&self.items[first..first + count]));
        self.step = Step::Chunk { chunk, first, value };
        let op = self.put(Precondition::Absent);
        cx.call(Owner::Intake(id), op);
    }

    fn step_key(&self) -> ObjectKey {
        match &self.step {
            Step::Chunk { chunk, .. } => self.header.chunk_key(&self.job, *chunk as u32),
            Step::Index => header::index_key(&self.job),
            Step::ReadHeader | Step::Header(_) => header::key(&self.job),
        }
    }

    fn put(&self, expect: Precondition) -> StoreOp {
        let value = match &self.step {
            Step::Chunk { value, .. } => Arc::clone(value),
            _ => Arc::from(self.header.due_unix_ms.to_string().into_bytes()),
        };
        StoreOp::Put { key: self.step_key(), expect, value }
    }

    /// Starts or schedules a store call. After the intake deadline it returns the timeout reply
    /// instead.
    fn call_or_time_out(
        &mut self,
        id: u64,
        op: StoreOp,
        retry_after: Duration,
        cx: &mut Context,
    ) -> Option<JobReply> {
        if cx.now >= self.deadline {
            if self.write_ambiguous {
                return Some(JobReply::Unknown { job: Name::clone(&self.job) });
            }
            return Some(JobReply::NotRun(Refusal::StoreUnavailable));
        }
        if retry_after.is_zero() && cx.tries == 0 {
            cx.call(Owner::Intake(id), op);
        } else {
            cx.call_later(Owner::Intake(id), op, retry_after);
        }
        None
    }

    fn on_written(&self, result: WriteResult) -> JobReply {
        match result {
            WriteResult::Written { .. } => {
                JobReply::Accepted { job: Name::clone(&self.job), resent: false }
            }
            WriteResult::TooLarge => {
                JobReply::NotRun(Refusal::TooManyItems { limit: self.header.counts.items })
            }
            // Another submission with this key was stored, or this one was removed as an orphan.
            WriteResult::Fenced { current: Some((_, value)) } => {
                self.reply_for_existing(&value).unwrap_or(JobReply::NotRun(Refusal::Abandoned))
            }
            WriteResult::Fenced { current: None } => JobReply::NotRun(Refusal::Abandoned),
        }
    }
}
