//! Status, results and cancel requests.

use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Expect;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
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
use super::calls::Cx;
use super::calls::Owner;
use super::header;
use super::header::Header;
use super::header::JobState;
use super::header::Rest;
use super::items;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;
use super::reply::JobReply;
use super::segment;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    Status,
    Results,
    Cancel,
}

/// Status, results or cancel request in progress.
#[derive(Debug)]
pub(crate) struct Read {
    token: ReplyToken,
    job: Name,
    ask: Ask,
    step: Step,
    deadline: Timestamp,
}

#[derive(Debug)]
enum Step {
    Header,
    Cancel { write: StampedWrite, next: Box<Header>, unsure: bool },
    Parts(Box<Parts>),
}

/// Results being read and returned to the caller, one store object at a time.
#[derive(Debug)]
struct Parts {
    header: Header,
    segments: VecDeque<(Epoch, u32)>,
    chunks: VecDeque<u32>,
    recorded: Bitmap,
    /// Whether `chunks` has been computed. The chunks are read after all segments.
    in_chunks: bool,
}

/// State of a request after a store reply.
#[derive(Debug, PartialEq)]
pub(crate) enum Progress {
    Running,
    Ended,
    /// This request stored the cancellation of the job.
    Cancelled {
        job: Name,
        header: Box<Header>,
    },
}

impl Read {
    /// Starts a request by reading the header of the job.
    pub(crate) fn start(id: u64, token: ReplyToken, job: Name, ask: Ask, cx: &mut Cx) -> Self {
        cx.call(Owner::Read(id), StoreOp::Get { key: header::key(&job) });
        let deadline = cx.now + cx.cfg.read_timeout;
        Self { token, job, ask, step: Step::Header, deadline }
    }

    pub(crate) const fn token(&self) -> ReplyToken {
        self.token
    }

    pub(crate) fn is_cancel(&self) -> bool {
        self.ask == Ask::Cancel
    }

    /// Handles the reply to the last store call.
    pub(crate) fn on_reply(
        &mut self,
        id: u64,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Cx,
    ) -> Progress {
        if matches!(self.step, Step::Cancel { .. }) {
            return self.on_cancel_reply(id, &op, reply, cx);
        }
        match reply {
            StoreReply::Unavailable { retry_after } => self.retry(id, op, retry_after, cx),
            StoreReply::Found { version, value } => self.on_found(id, op, version, &value, cx),
            StoreReply::Missing if matches!(self.step, Step::Header) => {
                self.end(JobReply::NoSuchJob, cx)
            }
            StoreReply::Missing => self.end(JobReply::Damaged, cx),
            _ => self.retry(id, op, Duration::ZERO, cx),
        }
    }

    fn on_found(
        &mut self,
        id: u64,
        op: StoreOp,
        version: Version,
        value: &[u8],
        cx: &mut Cx,
    ) -> Progress {
        if let Step::Parts(parts) = &mut self.step {
            let Some(results) = parts.take(&op, value) else {
                return self.end(JobReply::Damaged, cx);
            };
            if results.is_empty() {
                return self.next_part(id, cx);
            }
            cx.out.push(JobAction::Reply {
                token: self.token,
                reply: JobReply::ResultsPart(results),
            });
            return Progress::Running;
        }
        let Some(header) = Header::decode(value) else {
            return self.end(JobReply::Damaged, cx);
        };
        if header.state == JobState::Abandoned {
            return self.end(JobReply::NoSuchJob, cx);
        }
        match self.ask {
            Ask::Status => self.end(status(&header), cx),
            Ask::Cancel => self.cancel(id, version, header, cx),
            Ask::Results => {
                self.step = Step::Parts(Box::new(Parts::new(header)));
                self.next_part(id, cx)
            }
        }
    }

    /// Reads the next part of the results, or ends the request after the last one.
    pub(crate) fn next_part(&mut self, id: u64, cx: &mut Cx) -> Progress {
        let Step::Parts(parts) = &mut self.step else {
            return Progress::Running;
        };
        let Some(key) = parts.next_key(&self.job) else {
            let state = parts.header.state;
            return self.end(JobReply::ResultsEnd { state }, cx);
        };
        self.deadline = cx.now + cx.cfg.read_timeout;
        cx.call(Owner::Read(id), StoreOp::Get { key });
        Progress::Running
    }

    fn cancel(&mut self, id: u64, version: Version, header: Header, cx: &mut Cx) -> Progress {
        match header.state {
            JobState::Open => {}
            JobState::Cancelled => {
                return self.end(JobReply::Cancelled { counts: header.counts }, cx);
            }
            JobState::Finished => return self.end(JobReply::AlreadyFinished, cx),
            JobState::Abandoned => return self.end(JobReply::NoSuchJob, cx),
        }
        let unsure = matches!(self.step, Step::Cancel { unsure: true, .. });
        let mut next = header;
        next.cancel();
        next.stamp = cx.stamp();
        let key = header::key(&self.job);
        let write = StampedWrite::new(key, Expect::Version(version), next.encode());
        cx.call(Owner::Read(id), write.next_call());
        self.step = Step::Cancel { write, next: Box::new(next), unsure };
        Progress::Running
    }

    fn on_cancel_reply(
        &mut self,
        id: u64,
        op: &StoreOp,
        reply: StoreReply,
        cx: &mut Cx,
    ) -> Progress {
        let Step::Cancel { write, next, unsure } = &mut self.step else {
            return Progress::Running;
        };
        if op.is_write() && reply == StoreReply::Ambiguous {
            *unsure = true;
        }
        let stamp = next.stamp;
        let is_mine = |value: &[u8]| header::has_stamp(value, stamp);
        match write.on_reply(reply, is_mine) {
            WriteStep::Call(op) => self.retry(id, op, Duration::ZERO, cx),
            WriteStep::Wait(wait) => {
                let op = write.next_call();
                self.retry(id, op, wait, cx)
            }
            WriteStep::Finished(WriteResult::Written { .. }) => {
                let header = next.clone();
                self.end(JobReply::Cancelled { counts: header.counts }, cx);
                Progress::Cancelled { job: Name::clone(&self.job), header }
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

    fn retry(&mut self, id: u64, op: StoreOp, retry_after: Duration, cx: &mut Cx) -> Progress {
        if cx.now >= self.deadline {
            let unsure = matches!(self.step, Step::Cancel { unsure: true, .. });
            let reply = if unsure { JobReply::CancelUnknown } else { JobReply::Unavailable };
            return self.end(reply, cx);
        }
        if retry_after.is_zero() && cx.tries == 0 {
            cx.call(Owner::Read(id), op);
        } else {
            cx.call_later(Owner::Read(id), op, retry_after);
        }
        Progress::Running
    }

    fn end(&self, reply: JobReply, cx: &mut Cx) -> Progress {
        cx.out.push(JobAction::Reply { token: self.token, reply });
        Progress::Ended
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

impl Parts {
    fn new(header: Header) -> Self {
        let segments = header
            .segments
            .iter()
            .flat_map(|run| (run.first..run.first + run.count).map(|seq| (run.epoch, seq)))
            .collect();
        let recorded = Bitmap::new(header.counts.items);
        Self { header, segments, chunks: VecDeque::new(), recorded, in_chunks: false }
    }

    fn next_key(&mut self, job: &Name) -> Option<ObjectKey> {
        if let Some((epoch, seq)) = self.segments.front() {
            return Some(segment::key(job, *epoch, *seq));
        }
        if !self.in_chunks {
            self.in_chunks = true;
            self.chunks = self.chunks_without_record();
        }
        self.chunks.front().map(|chunk| self.header.chunk_key(job, *chunk))
    }

    fn chunks_without_record(&self) -> VecDeque<u32> {
        let mut chunks = VecDeque::new();
        let mut first = 0;
        for (chunk, count) in (0..).zip(&self.header.chunks) {
            if (first..first + count).any(|item| self.implied(item).is_some()) {
                chunks.push_back(chunk);
            }
            first += count;
        }
        chunks
    }

    /// Returns the outcome of an item that has no record of its own. Returns `None` if the item has a
    /// record or no outcome yet.
    fn implied(&self, item: u32) -> Option<ItemOutcome> {
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
            (JobState::Finished, Some(Rest::ServiceClosed)) => {
                Some(ItemOutcome::failed(Reason::ServiceClosed))
            }
            (JobState::Finished, _) => Some(ItemOutcome::failed(Reason::Deadline)),
            (JobState::Open | JobState::Abandoned, _) => None,
        }
    }

    /// Decodes the object that was read last. Returns `None` if it is damaged.
    fn take(&mut self, op: &StoreOp, value: &[u8]) -> Option<Vec<ItemResult>> {
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
            let outcome = self.implied(item)?;
            Some(ItemResult { item, custom_id, outcome })
        });
        Some(results.collect())
    }
}
