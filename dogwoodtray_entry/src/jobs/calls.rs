//! Store calls in flight and calls that wait for their next try.

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
use super::config::JobConfig;
use super::config::Me;

const BACKOFF_START: Duration = Duration::from_millis(50);
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);
const BACKOFF_MAX_SHIFT: u32 = 6;

/// Part of the core that made a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// Submission with this number.
    Intake(u64),
    /// Status, results or cancel call with this number.
    Read(u64),
    /// Removal of garbage with this number.
    Sweep(u64),
    /// Scan of the index.
    Scan,
    /// Look at or claim of a job.
    Claim(Name, u64),
    /// Driven job, with the number of its claim within this process.
    Drive(Name, u64, DriveCall),
}

/// What a driven job called the store for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DriveCall {
    Segment,
    Header,
    Confirm,
    Chunk(u32),
}

/// Store calls in flight and calls that wait for their next try.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last: u64,
    flying: HashMap<CallId, (Owner, StoreOp, u32)>,
    waiting: BTreeMap<(Timestamp, u64), (Owner, StoreOp, u32)>,
}

impl Calls {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn start(&mut self, owner: Owner, op: StoreOp, tries: u32, out: &mut Vec<JobAction>) {
        let call = CallId(self.next());
        self.flying.insert(call, (owner, op.clone(), tries));
        out.push(JobAction::Store { call, op });
    }

    /// Takes the call that a reply belongs to.
    pub(crate) fn take(&mut self, call: CallId) -> Option<(Owner, StoreOp, u32)> {
        self.flying.remove(&call)
    }

    /// Starts the calls whose wait is over.
    pub(crate) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        while let Some(entry) = self.waiting.first_entry()
            && entry.key().0 <= now
        {
            let (owner, op, tries) = entry.remove();
            self.start(owner, op, tries, out);
        }
    }
}

/// What the parts of the core need to decide and to act.
pub(crate) struct Cx<'a> {
    pub(crate) now: Timestamp,
    pub(crate) unix_ms: u64,
    pub(crate) cfg: &'a JobConfig,
    pub(crate) me: &'a Me,
    pub(crate) rng: &'a mut StdRng,
    pub(crate) calls: &'a mut Calls,
    pub(crate) stamps: &'a mut u64,
    /// How often the call that is being answered was tried.
    pub(crate) tries: u32,
    pub(crate) out: &'a mut Vec<JobAction>,
}

impl Cx<'_> {
    /// Starts a store call.
    pub(crate) fn call(&mut self, owner: Owner, op: StoreOp) {
        self.calls.start(owner, op, 0, self.out);
    }

    /// Starts a store call after a wait with full jitter that grows with each try, so that many
    /// processes do not return at once after an outage.
    pub(crate) fn call_later(&mut self, owner: Owner, op: StoreOp, retry_after: Duration) {
        let backoff = BACKOFF_START * (1 << self.tries.min(BACKOFF_MAX_SHIFT));
        let jitter = backoff.min(BACKOFF_LIMIT).mul_f64(self.rng.random());
        let at = self.now + retry_after + jitter;
        let seq = self.calls.next();
        self.calls.waiting.insert((at, seq), (owner, op, self.tries + 1));
    }

    /// Returns a stamp that no other write carries.
    pub(crate) fn stamp(&mut self) -> WriteStamp {
        *self.stamps += 1;
        WriteStamp { incarnation: self.me.incarnation, seq: *self.stamps }
    }

    /// Returns a number that is unique within this process.
    pub(crate) fn unique(&mut self) -> u64 {
        self.calls.next()
    }
}
