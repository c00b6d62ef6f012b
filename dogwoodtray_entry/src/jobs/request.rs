//! Status, results and cancel requests.

use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Epoch;
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

use super::api::JobAction;
use super::api::ReplyToken;
use super::bitmap::Bitmap;
use super::calls::Context;
use super::calls::Owner;
use super::header;
use super::header::FailureCause;
use super::header::Header;
use super::header::JobState;
use super::items;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;
use super::reply::JobReply;
use super::segment;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Status,
    Results,
    Cancel,
}

/// Status, results or cancel request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    token: ReplyToken,
    job: Name,
    kind: RequestKind,
    step: Step,
    deadline: Timestamp,
}

#[derive(Debug)]
enum Step {
    Header,
    Cancel { write: StampedWrite, next: Box<Header>, write_ambiguous: bool },
    Results(Box<ResultParts>),
}

/// Results being read and returned to the caller, one store object at a time.
#[derive(Debug)]
struct ResultParts {
    header: Header,
    segments: VecDeque<(Epoch, u32)>,
    chunks: VecDeque<u32>,
    /// Items whose outcome was found in a segment.
    recorded: Bitmap,
    /// Whether `chunks` has been computed. The chunks are read after all segments.
    chunks_listed: bool,
}

/// State of a request after a store reply.
#[derive(Debug, PartialEq)]
pub(crate) enum RequestState {
    /// Store calls are in flight, or a part of the results was returned.
    InProgress,
    /// The final reply was returned to the caller.
    Ended,
    /// This request stored the cancellation of the job.
    Cancelled { job: Name, header: Box<Header> },
}

impl Request {
    /// Starts a request by reading the header of the job.
    pub(crate) fn start(
        id: u64,
        token: ReplyToken,
        job: Name,
        kind: RequestKind,
        cx: &mut Context,
    ) -> Self {
        cx.call(Owner::Request(id), StoreOp::Get { key: header::key(&job) });
        let deadline = cx.now + cx.cfg.request_timeout;
        Self { token, job, kind, step: Step::Header, deadline }
    }

    pub(crate) const fn token(&self) -> ReplyToken {
        self.token
    }

    pub(crate) fn is_cancel(&self) -> bool {
        self.kind == RequestKind::Cancel
    }

    /// Handles the reply to the last store call.
    pub(crate) fn on_reply(
        &mut self,
        id: u64,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> RequestState {
        if matches!(self.step, Step::Cancel { .. }) {
            return self.on_cancel_reply(id, &op, reply, cx);
        }
        match reply {
            StoreReply::Unavailable { retry_after } => {
                self.call_or_time_out(id, op, retry_after, cx)
            }
            StoreReply::Found { version, value } => self.on_found(id, op, version, &value, cx),
            StoreReply::Missing if matches!(self.step, Step::Header) => {
                self.end(JobReply::JobNotFound, cx)
            }
            StoreReply::Missing => self.end(JobReply::Damaged, cx),
            _ => self.call_or_time_out(id, op, Duration::ZERO, cx),
        }
    }

    fn on_found(
        &mut self,
        id: u64,
        op: StoreOp,
        version: Version,
        value: &[u8],
        cx: &mut Context,
    ) -> RequestState {
        if let Step::Results(parts) = &mut self.step {
            let Some(results) = parts.decode_part(&op, value) else {
                return self.end(JobReply::Damaged, cx);
            };
            if results.is_empty() {
                return self.next_part(id, cx);
            }
            cx.out.push(JobAction::Reply {
                token: self.token,
                reply: JobReply::ResultsPart(results),
            });
            return RequestState::InProgress;
        }
        let Some(header) = Header::decode(value) else {
            return self.end(JobReply::Damaged, cx);
        };
        if header.state == JobState::Abandoned {
            return self.end(JobReply::JobNotFound, cx);
        }
        match self.kind {
            RequestKind::Status => self.end(status(&header), cx),
            RequestKind::Cancel => self.cancel(id, version, header, cx),
            RequestKind::Results => {
                self.step = Step::Results(Box::new(ResultParts::new(header)));
                self.next_part(id, cx)
            }
        }
    }

    /// Reads the next part of the results, or ends the request after the last one.
    pub(crate) fn next_part(&mut self, id: u64, cx: &mut Context) -> RequestState {
        let Step::Results(parts) = &mut self.step else {
            return RequestState::InProgress;
        };
        let Some(key) = parts.next_key(&self.job) else {
            let state = parts.header.state;
            return self.end(JobReply::ResultsEnd { state }, cx);
        };
        self.deadline = cx.now + cx.cfg.request_timeout;
        cx.call(Owner::Request(id), StoreOp::Get { key });
        RequestState::InProgress
    }

    fn cancel(
        &mut self,
        id: u64,
        version: Version,
        header: Header,
        cx: &mut Context,
    ) -> RequestState {
        match header.state {
            JobState::Open => {}
            JobState::Cancelled => {
                return self.end(JobReply::Cancelled { counts: header.counts }, cx);
            }
            JobState::Finished => return self.end(JobReply::AlreadyFinished, cx),
            JobState::Abandoned => return self.end(JobReply::JobNotFound, cx),
        }
        let write_ambiguous = matches!(self.step, Step::Cancel { write_ambiguous: true, .. });
        let mut next = header;
        next.cancel();
        next.stamp = cx.new_stamp();
        let key = header::key(&self.job);
        let write = StampedWrite::new(key, Precondition::Version(version), next.encode());
        cx.call(Owner::Request(id), write.next_call());
        self.step = Step::Cancel { write, next: Box::new(next), write_ambiguous };
        RequestState::InProgress
    }

    fn on_cancel_reply(
        &mut self,
        id: u64,
        op: &StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> RequestState {
        let Step::Cancel { write, next, write_ambiguous } = &mut self.step else {
            return RequestState::InProgress;
        };
        if op.is_write() && reply == StoreReply::Ambiguous {
            *write_ambiguous = true;
        }
        let stamp = next.stamp;
        let is_own_write = |value: &[u8]| header::has_stamp(value, stamp);
        match write.on_reply(reply, is_own_write) {
            WriteStep::Call(op) => self.call_or_time_out(id, op, Duration::ZERO, cx),
            WriteStep::Wait(wait) => {
                let op = write.next_call();
                self.call_or_time_out(id, op, wait, cx)
            }
            WriteStep::Finished(WriteResult::Written { .. }) => {
                let header = next.clone();
                self.end(JobReply::Cancelled { counts: header.counts }, cx);
                RequestState::Cancelled { job: Name::clone(&self.job), header }
            }
            // The driver or another request wrote the header first; retry based on the new header.
            WriteStep::Finished(WriteResult::Fenced { current: Some((version, value)) }) => {
                match Header::decode(&value) {
                    Some(header) => self.cancel(id, version, header, cx),
                    None => self.end(JobReply::Damaged, cx),
                }
            }
            WriteStep::Finished(_) => self.end(JobReply::Damaged, cx),
        }
    }

    fn call_or_time_out(
        &mut self,
        id: u64,
        op: StoreOp,
        retry_after: Duration,
        cx: &mut Context,
    ) -> RequestState {
        if cx.now >= self.deadline {
            let write_ambiguous = matches!(self.step, Step::Cancel { write_ambiguous: true, .. });
            let reply =
                if write_ambiguous { JobReply::CancelUnknown } else { JobReply::Unavailable };
            return self.end(reply, cx);
        }
        if retry_after.is_zero() && cx.tries == 0 {
            cx.call(Owner::Request(id), op);
        } else {
            cx.call_later(Owner::Request(id), op, retry_after);
        }
        RequestState::InProgress
    }

    fn end(&self, reply: JobReply, cx: &mut Context) -> RequestState {
        cx.out.push(JobAction::Reply { token: self.token, reply });
        RequestState::Ended
    }
}

fn status(header: &Header) -> JobReply {
    JobReply::Status {
        state: header.state,
        counts: header.counts,
        organization: Name::clone(&header.organization),
        due_unix_ms: header.due_unix_ms,
    }
}

impl ResultParts {
    fn new(header: Header) -> Self {
        let segments = header
            .segments
            .iter()
            .flat_map(|run| (run.first..run.first + run.count).map(|seq| (run.epoch, seq)))
            .collect();
        let recorded = Bitmap::new(header.counts.items);
        Self { header, segments, chunks: VecDeque::new(), recorded, chunks_listed: false }
    }

    fn next_key(&mut self, job: &Name) -> Option<ObjectKey> {
        if let Some((epoch, seq)) = self.segments.front() {
            return Some(segment::key(job, *epoch, *seq));
        }
        if !self.chunks_listed {
            self.chunks_listed = true;
            self.chunks = self.chunks_without_record();
        }
        self.chunks.front().map(|chunk| self.header.chunk_key(job, *chunk))
    }

    fn chunks_without_record(&self) -> VecDeque<u32> {
        let mut chunks = VecDeque::new();
        let mut first = 0;
        for (chunk, count) in (0..).zip(&self.header.chunks) {
            if (first..first + count).any(|item| self.implied_outcome(item).is_some()) {
                chunks.push_back(chunk);
            }
            first += count;
        }
        chunks
    }

    /// Returns the outcome of an item that has no record of its own, or `None` if the item has a
    /// record or no outcome yet.
    fn implied_outcome(&self, item: u32) -> Option<ItemOutcome> {
        if self.recorded.get(item) {
            return None;
        }
        // Items in `lost` are contained in `ended` but have no record of their own.
        if self.header.ended.get(item) {
            return Some(ItemOutcome::failed(Reason::Unknown));
        }
        let may_have_run = self.header.intents.contains(&item);
        match (self.header.state, self.header.rest) {
            (JobState::Cancelled, _) => Some(ItemOutcome::Cancelled { may_have_run }),
            (JobState::Finished, _) if may_have_run => Some(ItemOutcome::failed(Reason::Unknown)),
            (JobState::Finished, Some(FailureCause::ServiceClosed)) => {
                Some(ItemOutcome::failed(Reason::ServiceClosed))
            }
            (JobState::Finished, _) => Some(ItemOutcome::failed(Reason::Deadline)),
            (JobState::Open | JobState::Abandoned, _) => None,
        }
    }

    /// Decodes the object that was read last. Returns `None` if it is damaged.
    fn decode_part(&mut self, op: &StoreOp, value: &[u8]) -> Option<Vec<ItemResult>> {
        debug_assert!(!op.is_write(), "reading results never writes");
        if self.segments.pop_front().is_some() {
            let results = segment::decode_segment(value)?;
            for result in &results {
                self.recorded.set(result.item);
            }
            return Some(results);
        }
        let chunk = self.chunks.pop_front()?;
        let first: u32 = self.header.chunks[..chunk as usize].iter().sum();
        let items = items::decode(value)?;
        let results = (first..).zip(items).filter_map(|(item, (custom_id, _))| {
            let outcome = self.implied_outcome(item)?;
            Some(ItemResult { item, custom_id, outcome })
        });
        Some(results.collect())
    }
}
