//! The service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_coord::Backoff;
use dogwoodtray_coord::ClaimState;
use dogwoodtray_coord::Holder;
use dogwoodtray_coord::KeyHash;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::OnceAction;
use dogwoodtray_coord::OnceConfig;
use dogwoodtray_coord::OnceEvent;
use dogwoodtray_coord::OnceRange;
use dogwoodtray_coord::OnceRefusal;
use dogwoodtray_coord::RequestId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::Service;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;

use super::super::Shared;
use super::super::convert;
use super::super::probe::ProbeRequest;
use super::super::probe::probe;
use super::super::store::StoreRunner;
use super::OnceInput;
use super::OnceReply;
use super::forward;
use super::forward::Forwarding;
use super::run;
use super::run::RunEnd;
use super::waiting::Requester;
use super::waiting::Waiting;

/// Key ranges. Each has one owner that stores its records in one object, so the rate of writes is
/// bounded by this number, whatever the load.
const RANGES: u32 = 64;

/// Time for which the owner of a range is looked for. A takeover needs 3 s of silence.
const OWNER_WAIT: Duration = Duration::from_secs(8);

const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BACKOFF_BASE: Duration = Duration::from_millis(50);
const BACKOFF_CAP: Duration = Duration::from_secs(2);

/// Keeps at-most-once records of non-idempotent requests.
pub(in crate::shell) struct OnceService {
    shared: Arc<Shared>,
    store: StoreRunner,
    ranges: BTreeMap<u32, OnceRange>,
    waiting: BTreeMap<RequestId, Waiting>,
    /// Requests that no owner of their range has taken yet.
    unrouted: Vec<RequestId>,
    next_request: u64,
    actions: Vec<OnceAction>,
    draining: bool,
}

impl OnceService {
    pub(in crate::shell) fn new(shared: Arc<Shared>, store: StoreRunner) -> Self {
        Self {
            shared,
            store,
            ranges: BTreeMap::new(),
            waiting: BTreeMap::new(),
            unrouted: Vec::new(),
            next_request: 0,
            actions: Vec::new(),
            draining: false,
        }
    }
}

impl Service for OnceService {
    type Event = OnceInput;

    fn on_event(&mut self, now: Timestamp, event: OnceInput) -> Flow {
        match event {
            OnceInput::Begin { spec, reply } => {
                let key = key_hash(&spec.organization, &spec.idempotency_key);
                let requester = Requester::Caller(reply);
                let retry_at = now;
                let deadline = now + OWNER_WAIT;
                self.begin(now, Waiting { requester, spec, key, deadline, retry_at });
            }
            OnceInput::Forwarded { dispatch, link } => self.on_forwarded(now, *dispatch, link),
            OnceInput::ForwardEnded { request, end } => self.on_forward_ended(now, request, end),
            OnceInput::RunEnded { range, key, end } => {
                let event = match end {
                    RunEnd::Ran(outcome) => OnceEvent::Finish { key, outcome },
                    RunEnd::NotRun => OnceEvent::NotRun { key },
                };
                self.drive(now, range, event);
            }
            OnceInput::Stored { range, call, reply } => {
                self.drive(now, range, OnceEvent::Reply { call, reply });
            }
            OnceInput::Probe(probe) => self.answer_probe(&probe),
            OnceInput::ProbeAnswer { range, epoch, holds } => {
                self.drive(now, range, OnceEvent::ProbeReply { epoch, holds });
            }
            OnceInput::Drain => self.draining = true,
        }
        self.route_to_owners(now);
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        let ranges: Vec<u32> = self.ranges.keys().copied().collect();
        for range in ranges {
            self.drive(now, range, OnceEvent::Tick);
        }
        self.route_to_owners(now);
        self.drop_idle_ranges();
        let idle = self.waiting.is_empty() && self.ranges.values().all(|r| r.live() == 0);
        self.shared.once_drained.store(self.draining && idle, Ordering::Release);
        if self.shared.finished.load(Ordering::Acquire) { Flow::Stop } else { Flow::Continue }
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.ranges.values().all(|range| range.live() == 0)
    }
}

/// # Requests
impl OnceService {
    fn begin(&mut self, now: Timestamp, waiting: Waiting) {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let range = waiting.key.range(RANGES);
        self.waiting.insert(request, waiting);
        self.unrouted.push(request);
        if !self.ranges.contains_key(&range) {
            self.ranges.insert(range, self.new_range(range));
            self.drive(now, range, OnceEvent::Tick);
        }
    }

    fn new_range(&self, range: u32) -> OnceRange {
        let address = Name::from(self.shared.settings.peer.to_string());
        let me = Holder { address, incarnation: self.shared.incarnation };
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, rand::random());
        OnceRange::new(range.to_string(), me, OnceConfig::default(), backoff)
    }

    /// Hands waiting requests to their range, or to the entry that owns it.
    fn route_to_owners(&mut self, now: Timestamp) {
        let unrouted = std::mem::take(&mut self.unrouted);
        for request in unrouted {
            if let Some(waiting) = self.waiting.get(&request) {
                let (key, content) = (waiting.key, waiting.spec.content);
                if now >= waiting.deadline {
                    let reason = "no entry could take over the key range in time";
                    self.reply(request, OnceReply::NotRun { reason });
                } else if now < waiting.retry_at || !self.route_to_owner(now, request, key, content)
                {
                    self.unrouted.push(request);
                }
            }
        }
    }

    fn route_to_owner(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: KeyHash,
        content: dogwoodtray_coord::ContentHash,
    ) -> bool {
        let no = key.range(RANGES);
        if !self.ranges.contains_key(&no) {
            self.ranges.insert(no, self.new_range(no));
        }
        let Some(range) = self.ranges.get(&no) else { return false };
        if matches!(range.state(), ClaimState::Held { .. }) {
            self.drive(now, no, OnceEvent::Begin { request, key, content });
            return true;
        }
        if range.state() == ClaimState::Lost {
            self.drive(now, no, OnceEvent::Restart);
            return false;
        }
        let Some(owner) = range.other_holder().map(|holder| Name::clone(&holder.address)) else {
            return false;
        };
        let Some(waiting) = self.waiting.get(&request) else { return true };
        if let Requester::Entry { link, attempt } = &waiting.requester {
            // The request was passed on once; its first entry finds the new owner itself.
            forward::reply_not_owner(link, *attempt);
            self.waiting.remove(&request);
            return true;
        }
        forward::start(&self.shared, &self.store.runtime, owner, request, &waiting.spec);
        true
    }

    fn on_forwarded(&mut self, now: Timestamp, dispatch: messages::Dispatch, link: LinkHandle) {
        let attempt = dispatch.attempt;
        if self.draining {
            return forward::reply_not_owner(&link, attempt);
        }
        let spec = Arc::new(convert::spec(dispatch));
        let key = key_hash(&spec.organization, &spec.idempotency_key);
        let requester = Requester::Entry { link, attempt };
        let deadline = now + OWNER_WAIT;
        self.begin(now, Waiting { requester, spec, key, deadline, retry_at: now });
    }

    fn on_forward_ended(&mut self, now: Timestamp, request: RequestId, end: Forwarding) {
        match end {
            Forwarding::Replied(reply) => self.reply(request, reply),
            Forwarding::TryAgain => {
                if let Some(waiting) = self.waiting.get_mut(&request) {
                    waiting.retry_at = now + RETRY_INTERVAL;
                    self.unrouted.push(request);
                }
            }
        }
    }

    fn reply(&mut self, request: RequestId, reply: OnceReply) {
        let Some(waiting) = self.waiting.remove(&request) else { return };
        let id = &waiting.spec.id;
        match &reply {
            OnceReply::Answer { replayed: true, .. } => {
                self.shared.events.emit(&catalogue::ONCE_REPLAYED, Some(id), &[]);
            }
            OnceReply::Unknown => {
                self.shared.events.emit(&catalogue::ONCE_UNKNOWN, Some(id), &[]);
            }
            _ => {}
        }
        waiting.requester.reply(reply);
    }
}

/// # Ranges
impl OnceService {
    fn drive(&mut self, now: Timestamp, no: u32, event: OnceEvent) {
        let Some(range) = self.ranges.get_mut(&no) else { return };
        let mut actions = std::mem::take(&mut self.actions);
        range.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, no, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Timestamp, no: u32, action: OnceAction) {
        match action {
            OnceAction::Call { call, op } => {
                let shared = Arc::clone(&self.shared);
                self.store.run(op, move |reply| {
                    shared.tell_once(OnceInput::Stored { range: no, call, reply });
                });
            }
            OnceAction::Probe { holder, epoch, .. } => self.probe(no, holder, epoch),
            OnceAction::Acquired { epoch } => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("range", &no), ("epoch", &epoch.0)];
                self.shared.events.emit(&catalogue::RANGE_CLAIMED, None, &fields);
            }
            OnceAction::Lost { .. } => {
                let fields: [(&str, &dyn std::fmt::Display); 1] = [("range", &no)];
                self.shared.events.emit(&catalogue::RANGE_FENCED, None, &fields);
            }
            OnceAction::Run { request, key, epoch } => {
                if let Some(waiting) = self.waiting.get(&request) {
                    let spec = &waiting.spec;
                    run::start(&self.shared, &self.store.runtime, no, key, epoch, spec);
                } else {
                    debug_assert!(false, "a run without a waiting request");
                }
            }
            OnceAction::Attach { .. } => {}
            OnceAction::Answer { request, answer, .. } => {
                self.reply(request, OnceReply::Answer { answer, replayed: false });
            }
            OnceAction::Replay { request, answer } => {
                self.reply(request, OnceReply::Answer { answer, replayed: true });
            }
            OnceAction::Unknown { request } => self.reply(request, OnceReply::Unknown),
            OnceAction::Mismatch { request } => self.reply(request, OnceReply::Mismatch),
            OnceAction::Refused { request, reason } => self.refused(now, request, reason),
        }
    }

    fn refused(&mut self, now: Timestamp, request: RequestId, reason: OnceRefusal) {
        let reason = match reason {
            OnceRefusal::NotOwner => {
                if let Some(waiting) = self.waiting.get_mut(&request) {
                    waiting.retry_at = now + RETRY_INTERVAL;
                    self.unrouted.push(request);
                }
                return;
            }
            OnceRefusal::Busy => "too many non-idempotent requests run in this key range",
            OnceRefusal::Full => "the key range has no room for another record",
            OnceRefusal::Unavailable => "the platform cannot be reached",
            OnceRefusal::NotRun => "the request did not reach an endpoint",
            OnceRefusal::Unreadable => "earlier records cannot be read",
        };
        self.reply(request, OnceReply::NotRun { reason });
    }

    fn probe(&self, no: u32, holder: Holder, epoch: dogwoodtray_coord::Epoch) {
        let shared = Arc::clone(&self.shared);
        self.store.runtime.spawn(async move {
            let object = format!("once/{no}");
            let held = probe(&shared, &holder.address, holder.incarnation, &object, epoch).await;
            if let Some(holds) = held {
                shared.tell_once(OnceInput::ProbeAnswer { range: no, epoch, holds });
            }
        });
    }

    fn answer_probe(&self, probe: &ProbeRequest) {
        let range = probe.object.strip_prefix(super::ONCE_OBJECT);
        let no: Option<u32> = range.and_then(|range| range.parse().ok());
        let range = no.and_then(|no| self.ranges.get(&no));
        // A range that is idle in a drain is given up, so that another entry takes over at once.
        let keeps = |range: &OnceRange| !self.draining || range.live() > 0;
        probe.answer(range.is_some_and(|range| range.holds(probe.epoch) && keeps(range)));
    }

    /// Drops ranges that other entries own and nobody asks for, so that they are not probed.
    fn drop_idle_ranges(&mut self) {
        let waiting = &self.waiting;
        self.ranges.retain(|no, range| {
            matches!(range.state(), ClaimState::Held { .. })
                || range.live() > 0
                || waiting.values().any(|w| w.key.range(RANGES) == *no)
        });
    }
}

/// Hashes the key of a caller. Keys of different organizations never meet.
fn key_hash(organization: &str, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(organization.len() + key.len() + 1);
    bytes.extend_from_slice(organization.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    KeyHash::of(&bytes)
}
