//! Store calls in flight and scheduled retries.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::WriteStamp;
use rand::Rng;
use rand::rngs::StdRng;

use super::api::CallId;
use super::api::JobAction;
use super::config::EntryIdentity;
use super::config::JobConfig;

const BACKOFF_START: Duration = Duration::from_millis(50);
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);
const BACKOFF_MAX_SHIFT: u32 = 6;

/// Component of the core that started a store call and receives its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// Submission with this identifier.
    Intake(u64),
    /// Status, results or cancel request with this identifier.
    Request(u64),
    /// Garbage removal with this identifier.
    Sweep(u64),
    /// Scan of the index of unfinished jobs.
    Scan,
    /// Attempt to claim a job, with the identifier of the claim.
    Claim(Name, u64),
    /// Job driven by this process, with the identifier of its claim.
    Drive(Name, u64, DriveCall),
}

/// Purpose of a store call made by a driven job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DriveCall {
    Segment,
    Header,
    Confirm,
    Chunk(u32),
}

/// Store calls in flight and scheduled retries.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last: u64,
    in_flight: HashMap<CallId, (Owner, StoreOp, u32)>,
    scheduled: BTreeMap<(Timestamp, u64), (Owner, StoreOp, u32)>,
}

impl Calls {
    fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn start(&mut self, owner: Owner, op: StoreOp, tries: u32, out: &mut Vec<JobAction>) {
        let call = CallId(self.next_number());
        self.in_flight.insert(call, (owner, op.clone(), tries));
        out.push(JobAction::Store { call, op });
    }

    /// Removes and returns the call that a reply belongs to.
    pub(crate) fn take(&mut self, call: CallId) -> Option<(Owner, StoreOp, u32)> {
        self.in_flight.remove(&call)
    }

    /// Starts the scheduled calls that are due.
    pub(crate) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        while let Some(entry) = self.scheduled.first_entry()
            && entry.key().0 <= now
        {
            let (owner, op, tries) = entry.remove();
            self.start(owner, op, tries, out);
        }
    }
}

/// Shared state that the components of the core use to handle one event.
pub(crate) struct Context<'a> {
    pub(crate) now: Timestamp,
    pub(crate) unix_ms: u64,
    pub(crate) cfg: &'a JobConfig,
    pub(crate) identity: &'a EntryIdentity,
    pub(crate) rng: &'a mut StdRng,
    pub(crate) calls: &'a mut Calls,
    pub(crate) last_stamp: &'a mut u64,
    /// Number of earlier tries of the call whose reply is being handled.
    pub(crate) tries: u32,
    pub(crate) out: &'a mut Vec<JobAction>,
}

impl Context<'_> {
    /// Starts a store call.
    pub(crate) fn call(&mut self, owner: Owner, op: StoreOp) {
        self.calls.start(owner, op, 0, self.out);
    }

    /// Schedules a store call after an exponential backoff with full jitter, so that the retries of
    /// many processes do not arrive at the same time after an outage.
    pub(crate) fn call_later(&mut self, owner: Owner, op: StoreOp, retry_after: Duration) {
        let backoff = BACKOFF_START * (1 << self.tries.min(BACKOFF_MAX_SHIFT));
        let jitter = backoff.min(BACKOFF_LIMIT).mul_f64(self.rng.random());
        let at = self.now + retry_after + jitter;
        let seq = self.calls.next_number();
        self.calls.scheduled.insert((at, seq), (owner, op, self.tries + 1));
    }

    /// Returns a new stamp that is unique among all writes.
    pub(crate) fn new_stamp(&mut self) -> WriteStamp {
        *self.last_stamp += 1;
        WriteStamp { incarnation: self.identity.incarnation, seq: *self.last_stamp }
    }

    /// Returns an identifier that is unique within this process.
    pub(crate) fn unique_id(&mut self) -> u64 {
        self.calls.next_number()
    }
}
