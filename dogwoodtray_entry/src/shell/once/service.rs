//! At-most-once service, which routes each request to the owner of its key range.

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

use super::super::EntryState;
use super::super::convert;
use super::super::probe::ProbeRequest;
use super::super::probe::probe;
use super::super::store::StoreRunner;
use super::OnceInput;
use super::OnceReply;
use super::forward;
use super::forward::ForwardOutcome;
use super::pending::PendingRequest;
use super::pending::Requester;
use super::run;
use super::run::RunOutcome;

/// Number of key ranges. Each range has one owner, which stores its records in one object, so this
/// number bounds the rate of writes under any load.
const RANGE_COUNT: u32 = 64;

/// Time within which a request must reach the owner of its range. Another entry takes a range over
/// only after its owner was silent for 3 s.
const OWNER_TIMEOUT: Duration = Duration::from_secs(8);

const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BACKOFF_BASE: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Keeps at-most-once records of non-idempotent requests.
pub(in crate::shell) struct OnceService {
    shared: Arc<EntryState>,
    store: StoreRunner,
    ranges: BTreeMap<u32, OnceRange>,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests that are not yet routed to the owner of their range.
    unrouted: Vec<RequestId>,
    next_request_no: u64,
    actions: Vec<OnceAction>,
    draining: bool,
}

impl OnceService {
    pub(in crate::shell) fn new(shared: Arc<EntryState>, store: StoreRunner) -> Self {
        Self {
            shared,
            store,
            ranges: BTreeMap::new(),
            pending: BTreeMap::new(),
            unrouted: Vec::new(),
            next_request_no: 0,
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
                let deadline = now + OWNER_TIMEOUT;
                self.begin(now, PendingRequest { requester, spec, key, deadline, retry_at });
            }
            OnceInput::Forwarded { dispatch, link } => self.on_forwarded(now, *dispatch, link),
            OnceInput::ForwardEnded { request, outcome } => {
                self.on_forward_ended(now, request, outcome);
            }
            OnceInput::RunEnded { range, key, outcome } => {
                let event = match outcome {
                    RunOutcome::Ran(outcome) => OnceEvent::Finish { key, outcome },
                    RunOutcome::NotRun => OnceEvent::NotRun { key },
                };
                self.handle_range_event(now, range, event);
            }
            OnceInput::StoreReplied { range, call, reply } => {
                self.handle_range_event(now, range, OnceEvent::Reply { call, reply });
            }
            OnceInput::Probe(request) => self.reply_to_probe(&request),
            OnceInput::ProbeReply { range, epoch, holds } => {
                self.handle_range_event(now, range, OnceEvent::ProbeReply { epoch, holds });
            }
            OnceInput::Drain => self.draining = true,
            OnceInput::EndDrain => self.answer_rest(),
        }
        self.route_to_owners(now);
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        let ranges: Vec<u32> = self.ranges.keys().copied().collect();
        for range in ranges {
            self.handle_range_event(now, range, OnceEvent::Tick);
        }
        self.route_to_owners(now);
        self.drop_idle_ranges();
        let idle =
            self.pending.is_empty() && self.ranges.values().all(|range| range.active_keys() == 0);
        self.shared.once_drained.store(self.draining && idle, Ordering::Release);
        if self.shared.finished.load(Ordering::Acquire) { Flow::Stop } else { Flow::Continue }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.ranges.values().all(|range| range.active_keys() == 0)
    }
}

/// # Requests
impl OnceService {
    fn begin(&mut self, now: Timestamp, pending: PendingRequest) {
        self.next_request_no += 1;
        let request = RequestId(self.next_request_no);
        let range = pending.key.range(RANGE_COUNT);
        self.pending.insert(request, pending);
        self.unrouted.push(request);
        if !self.ranges.contains_key(&range) {
            self.ranges.insert(range, self.new_range(range));
            self.handle_range_event(now, range, OnceEvent::Tick);
        }
    }

    fn new_range(&self, range: u32) -> OnceRange {
        let address = Name::from(self.shared.settings.peer.to_string());
        let holder = Holder { address, incarnation: self.shared.incarnation };
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX, rand::random());
        OnceRange::new(range.to_string(), holder, OnceConfig::default(), backoff)
    }

    /// Routes pending requests to their range, or to the entry that owns it.
    fn route_to_owners(&mut self, now: Timestamp) {
        let unrouted = std::mem::take(&mut self.unrouted);
        for request in unrouted {
            if let Some(pending) = self.pending.get(&request) {
                let (key, content) = (pending.key, pending.spec.content);
                if now >= pending.deadline {
                    let reason = "no entry could take over the key range in time";
                    self.reply(request, OnceReply::NotRun { reason });
                } else if now < pending.retry_at || !self.route_to_owner(now, request, key, content)
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
        let index = key.range(RANGE_COUNT);
        if !self.ranges.contains_key(&index) {
            self.ranges.insert(index, self.new_range(index));
        }
        let Some(range) = self.ranges.get(&index) else { return false };
        if matches!(range.state(), ClaimState::Held { .. }) {
            self.handle_range_event(now, index, OnceEvent::Begin { request, key, content });
            return true;
        }
        if range.state() == ClaimState::Lost {
            self.handle_range_event(now, index, OnceEvent::Restart);
            return false;
        }
        let Some(owner) = range.other_holder().map(|holder| Name::clone(&holder.address)) else {
            return false;
        };
        let Some(pending) = self.pending.get(&request) else { return true };
        if let Requester::Entry { link, attempt } = &pending.requester {
            // A request is forwarded only once; the entry that forwarded it looks up the new owner.
            forward::reply_not_owner(link, *attempt);
            self.pending.remove(&request);
            return true;
        }
        forward::start(&self.shared, &self.store.runtime, owner, request, &pending.spec);
        true
    }

    fn on_forwarded(&mut self, now: Timestamp, dispatch: messages::Dispatch, link: LinkHandle) {
        let attempt = dispatch.attempt;
        if self.draining {
            return forward::reply_not_owner(&link, attempt);
        }
        let spec = Arc::new(convert::request_spec(dispatch));
        let key = key_hash(&spec.organization, &spec.idempotency_key);
        let requester = Requester::Entry { link, attempt };
        let deadline = now + OWNER_TIMEOUT;
        self.begin(now, PendingRequest { requester, spec, key, deadline, retry_at: now });
    }

    fn on_forward_ended(&mut self, now: Timestamp, request: RequestId, outcome: ForwardOutcome) {
        match outcome {
            ForwardOutcome::Replied(reply) => self.reply(request, reply),
            ForwardOutcome::Retry => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.retry_at = now + RETRY_INTERVAL;
                    self.unrouted.push(request);
                }
            }
        }
    }

    /// Answers all requests, since the process is about to stop.
    fn answer_rest(&mut self) {
        for request in std::mem::take(&mut self.unrouted) {
            self.reply(request, OnceReply::NotRun { reason: "the process is about to stop" });
        }
        let open: Vec<RequestId> = self.pending.keys().copied().collect();
        for request in open {
            self.reply(request, OnceReply::Unknown);
        }
    }

    fn reply(&mut self, request: RequestId, reply: OnceReply) {
        let Some(pending) = self.pending.remove(&request) else { return };
        let id = &pending.spec.id;
        match &reply {
            OnceReply::Answer { replayed: true, .. } => {
                self.shared.events.emit(&catalogue::ONCE_REPLAYED, Some(id), &[]);
            }
            OnceReply::Unknown => {
                self.shared.events.emit(&catalogue::ONCE_UNKNOWN, Some(id), &[]);
            }
            _ => {}
        }
        pending.requester.reply(reply);
    }
}

/// # Ranges
impl OnceService {
    fn handle_range_event(&mut self, now: Timestamp, index: u32, event: OnceEvent) {
        let Some(range) = self.ranges.get_mut(&index) else { return };
        let mut actions = std::mem::take(&mut self.actions);
        range.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, index, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, now: Timestamp, index: u32, action: OnceAction) {
        match action {
            OnceAction::Call { call, op } => {
                let shared = Arc::clone(&self.shared);
                self.store.run(op, move |reply| {
                    shared.send_to_once(OnceInput::StoreReplied { range: index, call, reply });
                });
            }
            OnceAction::Probe { holder, epoch, .. } => self.probe(index, holder, epoch),
            OnceAction::Acquired { epoch } => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("range", &index), ("epoch", &epoch.0)];
                self.shared.events.emit(&catalogue::RANGE_CLAIMED, None, &fields);
            }
            OnceAction::Lost { .. } => {
                let fields: [(&str, &dyn std::fmt::Display); 1] = [("range", &index)];
                self.shared.events.emit(&catalogue::RANGE_FENCED, None, &fields);
            }
            OnceAction::Run { request, key, epoch } => {
                if let Some(pending) = self.pending.get(&request) {
                    let spec = &pending.spec;
                    run::start(&self.shared, &self.store.runtime, index, key, epoch, spec);
                } else {
                    debug_assert!(self.draining, "each run belongs to a pending request");
                    // The request was answered at the end of the shutdown.
                    self.handle_range_event(now, index, OnceEvent::NotRun { key });
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
            OnceAction::KeyReused { request } => self.reply(request, OnceReply::KeyReused),
            OnceAction::Refused { request, reason } => self.on_refused(now, request, reason),
        }
    }

    fn on_refused(&mut self, now: Timestamp, request: RequestId, reason: OnceRefusal) {
        let reason = match reason {
            OnceRefusal::NotOwner => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.retry_at = now + RETRY_INTERVAL;
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

    fn probe(&self, index: u32, holder: Holder, epoch: dogwoodtray_coord::Epoch) {
        let shared = Arc::clone(&self.shared);
        self.store.runtime.spawn(async move {
            let object = format!("once/{index}");
            let held = probe(&shared, &holder.address, holder.incarnation, &object, epoch).await;
            if let Some(holds) = held {
                shared.send_to_once(OnceInput::ProbeReply { range: index, epoch, holds });
            }
        });
    }

    fn reply_to_probe(&self, request: &ProbeRequest) {
        let range = request.object.strip_prefix(super::ONCE_OBJECT);
        let index: Option<u32> = range.and_then(|range| range.parse().ok());
        let range = index.and_then(|index| self.ranges.get(&index));
        // During a drain an idle range counts as released, so that another entry claims it at once.
        let in_use = |range: &OnceRange| !self.draining || range.active_keys() > 0;
        request.reply(range.is_some_and(|range| range.holds(request.epoch) && in_use(range)));
    }

    /// Drops ranges that other entries own and that no pending request needs, so that they are not
    /// probed.
    fn drop_idle_ranges(&mut self) {
        let pending = &self.pending;
        self.ranges.retain(|index, range| {
            matches!(range.state(), ClaimState::Held { .. })
                || range.active_keys() > 0
                || pending.values().any(|request| request.key.range(RANGE_COUNT) == *index)
        });
    }
}

/// Hashes the key of a caller together with its organization, so that equal keys of two
/// organizations differ.
fn key_hash(organization: &str, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(organization.len() + key.len() + 1);
    bytes.extend_from_slice(organization.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    KeyHash::of(&bytes)
}
