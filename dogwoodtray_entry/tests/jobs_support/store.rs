//! Simulated store with random faults and deliberate defects.

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_entry::jobs::CallId;
use dogwoodtray_entry::jobs::Header;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::ReplyToken;
use dogwoodtray_platform::MemoryFault;
use rand::Rng;

use super::NETWORK_DELAY;
use super::Simulation;
use super::SimulationEvent;

/// Fault rates per thousand store calls, and deliberate defects of the environment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) refuse: u32,
    pub(crate) lose_reply: u32,
    pub(crate) lose_request: u32,
    /// The reply is lost and the write takes effect up to 2 s later.
    pub(crate) apply_late: u32,
    /// Cancellation notifications lost, per thousand.
    pub(crate) lose_notification: u32,
    /// Defect: conditional writes ignore the expected version.
    pub(crate) ignore_version: bool,
    /// Defect: intents are removed from stored headers.
    pub(crate) strip_intents: bool,
}

impl Simulation {
    pub(super) fn apply(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        call: Option<CallId>,
        op: StoreOp,
    ) {
        let roll = self.rng.random_range(0..1_000);
        let f = self.faults;
        let steps = [f.refuse, f.lose_reply, f.lose_request, f.apply_late];
        let fault = steps.iter().scan(0, |sum, n| {
            *sum += n;
            Some(*sum)
        });
        let fault = fault.into_iter().position(|sum| roll < sum);
        self.count(&op);
        // A fault injected during an outage would stay queued and affect a call of the oracle.
        if call.is_some() && !self.down {
            match fault {
                Some(0) => self.store.inject(MemoryFault::Refuse),
                Some(1) => self.store.inject(MemoryFault::LoseReply),
                Some(2) => self.store.inject(MemoryFault::LoseRequest),
                Some(_) if op.is_write() => {
                    let wait = Duration::from_millis(self.rng.random_range(0..2_000));
                    self.schedule(
                        wait,
                        SimulationEvent::Apply(index, incarnation, None, op.clone()),
                    );
                    self.store.inject(MemoryFault::LoseRequest);
                }
                _ => {}
            }
        }
        let op = if self.faults.ignore_version { self.without_version(op) } else { op };
        let op = if self.faults.strip_intents { without_intents(op) } else { op };
        let reply = self.store.apply(&op);
        if let Some(call) = call {
            let event = JobEvent::StoreReplied { call, reply };
            self.schedule(NETWORK_DELAY, SimulationEvent::Deliver(index, incarnation, event));
        }
    }

    fn without_version(&self, op: StoreOp) -> StoreOp {
        let StoreOp::Put { key, expect: Precondition::Version(_), value } = op else {
            return op;
        };
        let expect = match self.store.apply(&StoreOp::Get { key: key.clone() }) {
            StoreReply::Found { version, .. } => Precondition::Version(version),
            _ => Precondition::Absent,
        };
        StoreOp::Put { key, expect, value }
    }

    fn count(&mut self, op: &StoreOp) {
        let (kind, what) = match op {
            StoreOp::Get { key } => (&key.kind, "get"),
            StoreOp::Put { key, value, .. } => {
                let largest = self.largest.entry(key.kind.to_string()).or_default();
                *largest = value.len().max(*largest);
                (&key.kind, "put")
            }
            StoreOp::Delete { key, .. } => (&key.kind, "delete"),
            StoreOp::List { kind, .. } => (kind, "list"),
        };
        *self.calls.entry((kind.to_string(), what)).or_default() += 1;
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<Arc<[u8]>> {
        match self.store.apply(&StoreOp::Get { key: ObjectKey::new(kind, name) }) {
            StoreReply::Found { value, .. } => Some(value),
            _ => None,
        }
    }

    /// Returns the job of a cancel request.
    pub(crate) fn cancelled_job(&self, token: ReplyToken) -> Name {
        Name::clone(&self.cancel_requests[&token])
    }

    /// Returns the number of segments of a job that its header does not list.
    pub(crate) fn unlisted_segments(&self, job: &str, header: &Header) -> u64 {
        let names = self.names("job-outcomes");
        let unlisted = names.iter().filter(|name| {
            let Some(rest) = name.strip_prefix(&format!("{job}.")) else {
                return false;
            };
            let (epoch, seq) = rest.split_once('.').unwrap();
            !header.lists(Epoch(epoch.parse().unwrap()), seq.parse().unwrap())
        });
        unlisted.count() as u64
    }

    pub(crate) fn header(&self, job: &str) -> Option<Header> {
        self.get("jobs", job).map(|value| Header::decode(&value).unwrap())
    }

    pub(crate) fn names(&self, kind: &str) -> Vec<Name> {
        let (kind, prefix) = (Name::from(kind), Name::from(""));
        let op = StoreOp::List { kind, prefix, after: None, limit: u32::MAX };
        match self.store.apply(&op) {
            StoreReply::Listed { entries, .. } => entries.into_iter().map(|e| e.0).collect(),
            _ => Vec::new(),
        }
    }
}

fn without_intents(op: StoreOp) -> StoreOp {
    let StoreOp::Put { key, expect, value } = op else {
        return op;
    };
    let Some(mut header) = Header::decode(&value) else {
        return StoreOp::Put { key, expect, value };
    };
    header.intents.clear();
    StoreOp::Put { key, expect, value: serde_json::to_vec(&header).unwrap().into() }
}
