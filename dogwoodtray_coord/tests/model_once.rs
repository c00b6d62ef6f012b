//! Exhaustive model of at-most-once records with resends, takeovers, lost replies and an outage.
//!
//! Two processes may own the range; the first one owns it at the start. An outage is modeled by
//! calls that stay open while time advances. [`Bounds`] holds the bounds of each scenario.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::support::*;

/// A request, and variants with other content and with another key.
const REQUEST: SentRequest = SentRequest { key: KeyHash(1), content: ContentHash(1) };
const OTHER_CONTENT: SentRequest = SentRequest { key: KeyHash(1), content: ContentHash(2) };
const OTHER_KEY: SentRequest = SentRequest { key: KeyHash(1 << 64), content: ContentHash(1) };

/// Duration of a time step, longer than `begin_wait` and [`ANSWER_GRACE_MS`].
const TIME_STEP: Duration = Duration::from_secs(3);

/// Defect of the environment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// The process runs a request on arrival, before its intent is stored.
    RunsEarly,
    /// The process reports `not_run` to the caller when the range reports unknown.
    HidesUnknown,
    /// The agent runs a request after reporting that it did not run.
    RunsAfterNotRun,
    /// The store confirms the write of a segment but does not store it.
    LosesSegments,
    /// No defect, but this result counts as a violation, which shows that the model reaches it.
    Forbids(CallerResult),
}

/// Request that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    key: KeyHash,
    content: ContentHash,
}

/// Bounds of one exploration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bounds {
    faults: Faults,
    /// Requests in the order in which they are sent, each to either process.
    requests: &'static [SentRequest],
    /// Number of processes.
    nodes: usize,
    time_steps: u8,
    /// Number of times that the owner is suspected of having failed, rightly or wrongly.
    takeovers: u8,
    not_runs: u8,
    /// Size at which finished records are sealed; 1 seals each of them.
    seal_bytes: usize,
    defect: Defect,
}

const PLAIN: Bounds = Bounds {
    faults: Faults { lost: 1, refused: 0, is_unconditional: false },
    requests: &[REQUEST, REQUEST],
    nodes: 2,
    time_steps: 0,
    takeovers: 1,
    not_runs: 0,
    seal_bytes: usize::MAX,
    defect: Defect::None,
};

const FAULTY: Bounds = Bounds { faults: Faults { refused: 1, ..PLAIN.faults }, ..PLAIN };

const SEALED: Bounds =
    Bounds { requests: &[REQUEST, OTHER_KEY, REQUEST], nodes: 1, seal_bytes: 1, ..FAULTY };

/// Result that a caller has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallerResult {
    Pending,
    Answered { is_durable: bool },
    Unknown,
    KeyReused,
    NotRun,
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct ModelState {
    store: SimStore,
    bounds: Bounds,
    nodes: Vec<Arc<OnceRange>>,
    probed: [Option<Epoch>; 2],
    now: Timestamp,
    sent: usize,
    results: Vec<CallerResult>,
    /// Runs that were requested and have not reached the endpoint, by process and request.
    requested_runs: Vec<(usize, RequestId)>,
    /// Runs that reached the endpoint and whose end is not reported yet, by process and request.
    running: Vec<(usize, RequestId)>,
    /// Requests that reached the endpoint.
    runs: Vec<RequestId>,
    attached: Vec<RequestId>,
    /// Keys whose answer was returned after its record was stored.
    answered: Vec<KeyHash>,
    /// Keys that were reported as unknown.
    unknown: Vec<KeyHash>,
    violation: Option<String>,
}

fn answer(sent: SentRequest) -> Answer {
    let status = if sent.key == REQUEST.key { 200 } else { 201 };
    Answer { status, content_type: Name::from("t"), body: None }
}

impl ModelState {
    fn new(bounds: Bounds) -> Self {
        let commit = CommitConfig { max_delay: Duration::ZERO, ..CommitConfig::default() };
        let config = OnceConfig { commit, seal_bytes: bounds.seal_bytes, ..OnceConfig::default() };
        let node = |index| Arc::new(OnceRange::new("3", holder(index), config, no_backoff()));
        Self {
            store: SimStore::new(bounds.faults),
            bounds,
            nodes: vec![node(0), node(1)],
            results: vec![CallerResult::Pending; bounds.requests.len()],
            ..Self::default()
        }
    }

    /// Creates a state in which the first process already owns the range.
    fn owned(bounds: Bounds) -> Self {
        let mut state = Self::new(bounds).drive(0, OnceEvent::Tick);
        while let Some((call_key, call)) = state.store.calls.pop_first() {
            let Call::Sent(op) = call else {
                continue;
            };
            let reply = state.store.apply(&op);
            state = state.drive(call_key.node, OnceEvent::Reply { call: call_key.call, reply });
        }
        state.store.last_write = None;
        state
    }

    fn request(&self, request: RequestId) -> SentRequest {
        self.bounds.requests[request.0 as usize]
    }

    fn has_run(&self, key: KeyHash) -> bool {
        self.runs.iter().any(|run| self.request(*run).key == key)
    }

    fn drive(mut self, node: usize, event: OnceEvent) -> Self {
        let mut out = Vec::new();
        Arc::make_mut(&mut self.nodes[node]).handle(self.now, event, &mut out);
        for action in out {
            self.apply_action(node, action);
        }
        self
    }

    fn apply_action(&mut self, node: usize, action: OnceAction) {
        match action {
            OnceAction::Call { call, op } => {
                let is_segment_write =
                    matches!(&op, StoreOp::Put { key, .. } if &*key.kind == "once-log");
                if self.bounds.defect == Defect::LosesSegments && is_segment_write {
                    let written = Call::Replied(StoreReply::Written { version: Version(1) });
                    self.store.calls.insert(CallKey { node, origin: 0, call }, written);
                    return;
                }
                self.store.send(node, 0, call, op);
            }
            OnceAction::Probe { epoch, .. } => self.probed[node] = Some(epoch),
            OnceAction::Acquired { .. } | OnceAction::Lost { .. } => {}
            OnceAction::Attach { request } => self.attached.push(request),
            OnceAction::Run { request, .. } => {
                if self.bounds.defect == Defect::RunsEarly {
                    return;
                }
                if self.results[request.0 as usize] != CallerResult::Pending {
                    self.violation =
                        Some(format!("{request:?} runs after its caller received a result"));
                }
                self.requested_runs.push((node, request));
            }
            OnceAction::Answer { request, answer, is_durable } => {
                self.check_answer(request, &answer);
                self.report(request, CallerResult::Answered { is_durable });
            }
            OnceAction::Replay { request, answer } => {
                self.check_answer(request, &answer);
                self.report(request, CallerResult::Answered { is_durable: true });
            }
            OnceAction::Unknown { request } if self.bounds.defect == Defect::HidesUnknown => {
                self.report(request, CallerResult::NotRun);
            }
            OnceAction::Unknown { request } => self.report(request, CallerResult::Unknown),
            OnceAction::KeyReused { request } => self.report(request, CallerResult::KeyReused),
            OnceAction::Refused { request, reason } => {
                if reason == OnceRefusal::Busy || reason == OnceRefusal::Unreadable {
                    self.violation = Some(format!("refused as {reason:?}"));
                }
                self.report(request, CallerResult::NotRun);
            }
        }
    }

    fn check_answer(&mut self, request: RequestId, given: &Answer) {
        let sent = self.request(request);
        if *given != answer(sent) || !self.has_run(sent.key) {
            self.violation = Some(format!("{given:?} is not the answer of the run"));
        }
    }

    fn report(&mut self, request: RequestId, result: CallerResult) {
        let index = request.0 as usize;
        let sent = self.request(request);
        if self.results[index] != CallerResult::Pending {
            self.violation = Some(format!("{request:?} received two results"));
        }
        let is_attached = self.attached.contains(&request) && self.has_run(sent.key);
        if result == CallerResult::NotRun && (self.runs.contains(&request) || is_attached) {
            self.violation = Some(format!("{request:?} was refused as not run but has run"));
        }
        let is_mismatch =
            |other: &SentRequest| other.key == sent.key && other.content != sent.content;
        if result == CallerResult::KeyReused
            && !self.bounds.requests[..self.sent].iter().any(is_mismatch)
        {
            self.violation = Some(format!("{request:?} mismatches no other request"));
        }
        if result == CallerResult::Unknown && self.bounds.nodes == 1 {
            self.violation = Some("unknown without a takeover".into());
        }
        if self.bounds.defect == Defect::Forbids(result) {
            self.violation = Some(format!("a caller received {result:?}"));
        }
        if result == (CallerResult::Answered { is_durable: true }) {
            self.answered.push(sent.key);
            if self.unknown.contains(&sent.key) {
                self.violation = Some("a key that was reported as unknown has an answer".into());
            }
        }
        self.results[index] = result;
    }

    /// Sends the next request to a process.
    fn send(mut self, node: usize) -> Self {
        let request = RequestId(self.sent as u64);
        let SentRequest { key, content } = self.request(request);
        self.sent += 1;
        if self.bounds.defect == Defect::RunsEarly && self.nodes[node].active_keys() == 0 {
            self.requested_runs.push((node, request));
        }
        let mut next = self.drive(node, OnceEvent::Begin { request, key, content });
        if next.results[request.0 as usize] == CallerResult::Unknown {
            next.unknown.push(key);
            if next.answered.contains(&key) {
                next.violation = Some("a stored answer was lost".into());
            }
        }
        next
    }

    fn run_steps(&self, steps: &mut Vec<Self>) {
        for index in 0..self.requested_runs.len() {
            let mut started = self.clone();
            let (node, request) = started.requested_runs.remove(index);
            started.runs.push(request);
            started.running.push((node, request));
            if self.results[request.0 as usize] == CallerResult::NotRun {
                started.violation = Some(format!("{request:?} runs after it was refused"));
            }
            steps.push(started);
            if self.bounds.not_runs > 0 {
                let mut refused = self.clone();
                refused.bounds.not_runs -= 1;
                if self.bounds.defect != Defect::RunsAfterNotRun {
                    refused.requested_runs.remove(index);
                }
                let key = self.request(request).key;
                steps.push(refused.drive(node, OnceEvent::NotRun { key }));
            }
        }
        for index in 0..self.running.len() {
            let mut ended = self.clone();
            let (node, request) = ended.running.remove(index);
            let sent = self.request(request);
            let outcome = Outcome::Answered(answer(sent));
            steps.push(ended.drive(node, OnceEvent::Finish { key: sent.key, outcome }));
        }
    }

    fn node_steps(&self, node: usize, steps: &mut Vec<Self>) {
        steps.push(self.clone().drive(node, OnceEvent::Tick));
        if self.sent < self.bounds.requests.len() {
            steps.push(self.clone().send(node));
        }
        if self.nodes[node].state() == ClaimState::Lost && self.bounds.takeovers > 0 {
            steps.push(self.clone().drive(node, OnceEvent::Restart));
        }
        if let (Some(epoch), true) = (self.probed[node], self.bounds.takeovers > 0) {
            let mut next = self.clone();
            next.bounds.takeovers -= 1;
            steps.push(next.drive(node, OnceEvent::ProbeReply { epoch, holds: false }));
        }
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for mut store in self.store.steps() {
            store.last_write = None;
            steps.push(Self { store, ..self.clone() });
        }
        for (call_key, reply, store) in self.store.deliveries() {
            let next = Self { store, ..self.clone() };
            steps.push(next.drive(call_key.node, OnceEvent::Reply { call: call_key.call, reply }));
        }
        for node in 0..self.bounds.nodes {
            self.node_steps(node, &mut steps);
        }
        self.run_steps(&mut steps);
        if self.bounds.time_steps > 0 {
            let mut next = self.clone();
            next.bounds.time_steps -= 1;
            next.now = next.now + TIME_STEP;
            steps.push(next);
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        for key in [REQUEST.key, OTHER_KEY.key] {
            let runs = self.runs.iter().filter(|run| self.request(**run).key == key).count();
            if runs > 1 {
                return Err(format!("{key:?} ran {runs} times"));
            }
        }
        if is_end && self.results.contains(&CallerResult::Pending) {
            return Err("a caller received no result".into());
        }
        Ok(())
    }
}

/// A takeover or a lost reply must not cause a second run.
#[test]
fn key_runs_once_across_takeover() {
    assert_eq!(explore("once, takeover", ModelState::owned(PLAIN)).err(), None);
}

/// A second takeover, by the first owner, must not cause a second run.
#[test]
fn key_runs_once_across_two_takeovers() {
    let bounds = Bounds { takeovers: 2, ..PLAIN };
    assert_eq!(explore("once, two takeovers", ModelState::owned(bounds)).err(), None);
}

/// A request that was refused during an outage must not run later, when its intent is stored.
#[test]
fn refused_request_never_runs() {
    let requests = &[REQUEST, REQUEST, REQUEST];
    let bounds = Bounds { requests, nodes: 1, time_steps: 2, ..FAULTY };
    assert_eq!(explore("once, outage", ModelState::owned(bounds)).err(), None);
}

/// A key that is reused with other content must be reported as a mismatch and must not run.
#[test]
fn reused_key_with_other_content_is_rejected() {
    let requests = &[REQUEST, OTHER_CONTENT, REQUEST];
    let bounds = Bounds { requests, nodes: 1, time_steps: 2, ..FAULTY };
    assert_eq!(explore("once, other content", ModelState::owned(bounds)).err(), None);
}

/// Moving a record to a segment must not lose it, which would allow a second run.
#[test]
fn sealed_record_is_found() {
    assert_eq!(explore("once, sealed", ModelState::owned(SEALED)).err(), None);
}

/// A takeover while a record moves to a segment must not lose the record.
#[test]
fn sealed_record_survives_takeover() {
    let faults = Faults::default();
    let bounds = Bounds { faults, nodes: 2, takeovers: 1, ..SEALED };
    assert_eq!(explore("once, sealed and takeover", ModelState::owned(bounds)).err(), None);
}

/// A request that the agent reported as not run may be sent again. Its key must still run at most
/// once, and no request that ran may be refused as not run.
#[test]
fn request_that_did_not_run_may_be_sent_again() {
    let bounds = Bounds { not_runs: 1, ..PLAIN };
    assert_eq!(explore("once, not run", ModelState::owned(bounds)).err(), None);
}

/// An answer returned during an outage, before its record is stored, must stay correct across a
/// takeover: the key must not run again.
#[test]
fn early_answer_stays_correct_across_takeover() {
    let bounds = Bounds { time_steps: 1, ..PLAIN };
    assert_eq!(explore("once, outage and takeover", ModelState::owned(bounds)).err(), None);
}

/// Checks that the model detects each defect that causes a second run.
#[test]
fn model_detects_defects() {
    let unfenced = Faults { is_unconditional: true, ..PLAIN.faults };
    let variants = [
        ("runs early", Bounds { defect: Defect::RunsEarly, ..PLAIN }),
        ("hides unknown", Bounds { defect: Defect::HidesUnknown, ..PLAIN }),
        ("runs after not run", Bounds { defect: Defect::RunsAfterNotRun, not_runs: 1, ..PLAIN }),
        ("lost segments", Bounds { defect: Defect::LosesSegments, ..SEALED }),
        ("unconditional store", Bounds { faults: unfenced, ..PLAIN }),
    ];
    for (name, bounds) in variants {
        let name = format!("once, {name}");
        assert!(explore(&name, ModelState::owned(bounds)).is_err(), "{name}");
    }
}

/// Checks that the model reaches each result that a caller can receive.
#[test]
fn model_reaches_each_result() {
    let requests = &[REQUEST, OTHER_CONTENT];
    let outage = Bounds { time_steps: 1, ..PLAIN };
    let results = [
        (CallerResult::Answered { is_durable: true }, PLAIN),
        (CallerResult::Answered { is_durable: false }, outage),
        (CallerResult::Unknown, PLAIN),
        (CallerResult::KeyReused, Bounds { requests, ..PLAIN }),
        (CallerResult::NotRun, outage),
    ];
    for (result, bounds) in results {
        let bounds = Bounds { defect: Defect::Forbids(result), ..bounds };
        assert!(explore("once, end", ModelState::owned(bounds)).is_err(), "{result:?}");
    }
}
