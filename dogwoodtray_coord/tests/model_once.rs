//! Exhaustive model of at-most-once records with resends, takeovers, lost replies and an outage.
//!
//! Two processes may own the range; the first one owns it at the start. An outage is modelled by
//! calls that stay open while the time goes on. [`Bounds`] gives the bounds of each scenario.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::support::*;

/// A request, and the same one with another content and with another key.
const REQUEST: Sent = Sent { key: KeyHash(1), content: ContentHash(1) };
const OTHER_CONTENT: Sent = Sent { key: KeyHash(1), content: ContentHash(2) };
const OTHER_KEY: Sent = Sent { key: KeyHash(1 << 64), content: ContentHash(1) };

/// One step of the time: longer than a request waits and than the grace of an answer.
const TIME_STEP: Duration = Duration::from_secs(3);

/// How the environment is broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// The process runs a request when it arrives, before its intent is stored.
    RunsEarly,
    /// The process tells its caller `not_run` when the range says unknown.
    HidesUnknown,
    /// The agent runs a request although it reported that it did not.
    RunsAfterNotRun,
    /// The store confirms segments of sealed records and does not keep them.
    LosesSegments,
    /// Nothing is broken, and a caller that is told this counts as a violation. Shows that the
    /// model gets there.
    Forbids(Told),
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    key: KeyHash,
    content: ContentHash,
}

/// Bounds of one exploration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bounds {
    faults: Faults,
    /// Requests in the order in which they are sent, each to either process.
    requests: &'static [Sent],
    /// Processes that take part.
    nodes: usize,
    time_steps: u8,
    /// Wrong or right judgements that the owner is gone.
    takeovers: u8,
    not_runs: u8,
    /// Size from which finished records are sealed; 1 to seal each of them.
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

/// What a caller was told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Answered { is_durable: bool },
    Unknown,
    Mismatch,
    NotRun,
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct World {
    net: Net,
    bounds: Bounds,
    nodes: Vec<Arc<OnceRange>>,
    probed: [Option<Epoch>; 2],
    now: Timestamp,
    sent: usize,
    told: Vec<Told>,
    /// Runs that were handed out and have not reached the endpoint, by process and request.
    handed_out: Vec<(usize, RequestId)>,
    /// Runs that reached the endpoint and whose end was not reported, by process and request.
    running: Vec<(usize, RequestId)>,
    /// Requests that reached the endpoint.
    runs: Vec<RequestId>,
    attached: Vec<RequestId>,
    /// Keys whose answer was given with its record stored.
    answered: Vec<KeyHash>,
    /// Keys whose record said unknown.
    unknown: Vec<KeyHash>,
    violation: Option<String>,
}

fn answer(sent: Sent) -> Answer {
    let status = if sent.key == REQUEST.key { 200 } else { 201 };
    Answer { status, content_type: Name::from("t"), body: None }
}

impl World {
    fn new(bounds: Bounds) -> Self {
        let commit = CommitConfig { max_delay: Duration::ZERO, ..CommitConfig::default() };
        let config = OnceConfig { commit, seal_bytes: bounds.seal_bytes, ..OnceConfig::default() };
        let node = |index| Arc::new(OnceRange::new("3", holder(index), config, no_backoff()));
        Self {
            net: Net::new(bounds.faults),
            bounds,
            nodes: vec![node(0), node(1)],
            told: vec![Told::Nothing; bounds.requests.len()],
            ..Self::default()
        }
    }

    /// Starts where the first process already owns the range.
    fn owned(bounds: Bounds) -> Self {
        let mut world = Self::new(bounds).drive(0, OnceEvent::Tick);
        while let Some((name, call)) = world.net.calls.pop_first() {
            let Call::Sent(op) = call else {
                continue;
            };
            let reply = world.net.apply(&op);
            world = world.drive(name.node, OnceEvent::Reply { call: name.call, reply });
        }
        world.net.last_write = None;
        world
    }

    fn sent(&self, request: RequestId) -> Sent {
        self.bounds.requests[request.0 as usize]
    }

    fn has_run(&self, key: KeyHash) -> bool {
        self.runs.iter().any(|run| self.sent(*run).key == key)
    }

    fn drive(mut self, node: usize, event: OnceEvent) -> Self {
        let mut out = Vec::new();
        Arc::make_mut(&mut self.nodes[node]).handle(self.now, event, &mut out);
        for action in out {
            self.take(node, action);
        }
        self
    }

    fn take(&mut self, node: usize, action: OnceAction) {
        match action {
            OnceAction::Call { call, op } => {
                let is_segment_write =
                    matches!(&op, StoreOp::Put { key, .. } if &*key.kind == "once-log");
                if self.bounds.defect == Defect::LosesSegments && is_segment_write {
                    let written = Call::Replied(StoreReply::Written { version: Version(1) });
                    self.net.calls.insert(CallName { node, lane: 0, call }, written);
                    return;
                }
                self.net.send(node, 0, call, op);
            }
            OnceAction::Probe { epoch, .. } => self.probed[node] = Some(epoch),
            OnceAction::Acquired { .. } | OnceAction::Lost { .. } => {}
            OnceAction::Attach { request } => self.attached.push(request),
            OnceAction::Run { request, .. } => {
                if self.bounds.defect == Defect::RunsEarly {
                    return;
                }
                if self.told[request.0 as usize] != Told::Nothing {
                    self.violation = Some(format!("{request:?} runs after its caller was told"));
                }
                self.handed_out.push((node, request));
            }
            OnceAction::Answer { request, answer, is_durable } => {
                self.check_answer(request, &answer);
                self.tell(request, Told::Answered { is_durable });
            }
            OnceAction::Replay { request, answer } => {
                self.check_answer(request, &answer);
                self.tell(request, Told::Answered { is_durable: true });
            }
            OnceAction::Unknown { request } if self.bounds.defect == Defect::HidesUnknown => {
                self.tell(request, Told::NotRun);
            }
            OnceAction::Unknown { request } => self.tell(request, Told::Unknown),
            OnceAction::Mismatch { request } => self.tell(request, Told::Mismatch),
            OnceAction::Refused { request, reason } => {
                if reason == OnceRefusal::Busy || reason == OnceRefusal::Unreadable {
                    self.violation = Some(format!("refused as {reason:?}"));
                }
                self.tell(request, Told::NotRun);
            }
        }
    }

    fn check_answer(&mut self, request: RequestId, given: &Answer) {
        let sent = self.sent(request);
        if *given != answer(sent) || !self.has_run(sent.key) {
            self.violation = Some(format!("{given:?} is not the answer of the run"));
        }
    }

    fn tell(&mut self, request: RequestId, told: Told) {
        let index = request.0 as usize;
        let sent = self.sent(request);
        if self.told[index] != Told::Nothing {
            self.violation = Some(format!("{request:?} was told twice"));
        }
        let is_attached = self.attached.contains(&request) && self.has_run(sent.key);
        if told == Told::NotRun && (self.runs.contains(&request) || is_attached) {
            self.violation = Some(format!("{request:?} was refused as not run, and has run"));
        }
        let is_mismatch = |other: &Sent| other.key == sent.key && other.content != sent.content;
        if told == Told::Mismatch && !self.bounds.requests[..self.sent].iter().any(is_mismatch) {
            self.violation = Some(format!("{request:?} mismatches no other request"));
        }
        if told == Told::Unknown && self.bounds.nodes == 1 {
            self.violation = Some("unknown without a takeover".into());
        }
        if self.bounds.defect == Defect::Forbids(told) {
            self.violation = Some(format!("a caller was told {told:?}"));
        }
        if told == (Told::Answered { is_durable: true }) {
            self.answered.push(sent.key);
            if self.unknown.contains(&sent.key) {
                self.violation = Some("a record that said unknown has an answer".into());
            }
        }
        self.told[index] = told;
    }

    /// Sends the next request to a process.
    fn send(mut self, node: usize) -> Self {
        let request = RequestId(self.sent as u64);
        let Sent { key, content } = self.sent(request);
        self.sent += 1;
        if self.bounds.defect == Defect::RunsEarly && self.nodes[node].live() == 0 {
            self.handed_out.push((node, request));
        }
        let mut next = self.drive(node, OnceEvent::Begin { request, key, content });
        if next.told[request.0 as usize] == Told::Unknown {
            next.unknown.push(key);
            if next.answered.contains(&key) {
                next.violation = Some("a stored answer was forgotten".into());
            }
        }
        next
    }

    fn run_steps(&self, steps: &mut Vec<Self>) {
        for index in 0..self.handed_out.len() {
            let mut started = self.clone();
            let (node, request) = started.handed_out.remove(index);
            started.runs.push(request);
            started.running.push((node, request));
            if self.told[request.0 as usize] == Told::NotRun {
                started.violation = Some(format!("{request:?} runs after it was refused"));
            }
            steps.push(started);
            if self.bounds.not_runs > 0 {
                let mut refused = self.clone();
                refused.bounds.not_runs -= 1;
                if self.bounds.defect != Defect::RunsAfterNotRun {
                    refused.handed_out.remove(index);
                }
                let key = self.sent(request).key;
                steps.push(refused.drive(node, OnceEvent::NotRun { key }));
            }
        }
        for index in 0..self.running.len() {
            let mut ended = self.clone();
            let (node, request) = ended.running.remove(index);
            let sent = self.sent(request);
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

impl Model for World {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for mut net in self.net.steps() {
            net.last_write = None;
            steps.push(Self { net, ..self.clone() });
        }
        for (name, reply, net) in self.net.deliveries() {
            let next = Self { net, ..self.clone() };
            steps.push(next.drive(name.node, OnceEvent::Reply { call: name.call, reply }));
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
            let runs = self.runs.iter().filter(|run| self.sent(**run).key == key).count();
            if runs > 1 {
                return Err(format!("{key:?} ran {runs} times"));
            }
        }
        if is_end && self.told.contains(&Told::Nothing) {
            return Err("a caller was never told anything".into());
        }
        Ok(())
    }
}

/// Guards against a second run after a takeover or a lost reply.
#[test]
fn key_runs_once_through_takeover() {
    assert_eq!(explore("once, takeover", World::owned(PLAIN)).err(), None);
}

/// Guards against a second run when the first owner takes the range back.
#[test]
fn key_runs_once_through_two_takeovers() {
    let bounds = Bounds { takeovers: 2, ..PLAIN };
    assert_eq!(explore("once, two takeovers", World::owned(bounds)).err(), None);
}

/// Guards against a run of a request that was refused during an outage.
#[test]
fn refused_request_never_runs() {
    let requests = &[REQUEST, REQUEST, REQUEST];
    let bounds = Bounds { requests, nodes: 1, time_steps: 2, ..FAULTY };
    assert_eq!(explore("once, outage", World::owned(bounds)).err(), None);
}

/// Guards against a run of a content other than that of the record.
#[test]
fn other_content_is_told_apart() {
    let requests = &[REQUEST, OTHER_CONTENT, REQUEST];
    let bounds = Bounds { requests, nodes: 1, time_steps: 2, ..FAULTY };
    assert_eq!(explore("once, other content", World::owned(bounds)).err(), None);
}

/// Guards against a record that is lost while it moves to a segment.
#[test]
fn sealed_record_is_found() {
    assert_eq!(explore("once, sealed", World::owned(SEALED)).err(), None);
}

/// Guards against a record that is lost when the range is taken over while it is sealed.
#[test]
fn sealed_record_survives_takeover() {
    let faults = Faults::default();
    let bounds = Bounds { faults, nodes: 2, takeovers: 1, ..SEALED };
    assert_eq!(explore("once, sealed and takeover", World::owned(bounds)).err(), None);
}

/// Guards against a wrong refusal when the agent did not run a request.
#[test]
fn request_that_did_not_run_may_be_sent_again() {
    let bounds = Bounds { not_runs: 1, ..PLAIN };
    assert_eq!(explore("once, not run", World::owned(bounds)).err(), None);
}

/// Guards against a wrong answer in an outage with a takeover.
#[test]
fn early_answer_survives_takeover() {
    let bounds = Bounds { time_steps: 1, ..PLAIN };
    assert_eq!(explore("once, outage and takeover", World::owned(bounds)).err(), None);
}

/// Guards against a model that cannot see a second run.
#[test]
fn broken_variants_are_caught() {
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
        assert!(explore(&name, World::owned(bounds)).is_err(), "{name}");
    }
}

/// Guards against a model that never gets to the cases that it is meant to check.
#[test]
fn each_end_is_reached() {
    let requests = &[REQUEST, OTHER_CONTENT];
    let outage = Bounds { time_steps: 1, ..PLAIN };
    let ends = [
        (Told::Answered { is_durable: true }, PLAIN),
        (Told::Answered { is_durable: false }, outage),
        (Told::Unknown, PLAIN),
        (Told::Mismatch, Bounds { requests, ..PLAIN }),
        (Told::NotRun, outage),
    ];
    for (told, bounds) in ends {
        let bounds = Bounds { defect: Defect::Forbids(told), ..bounds };
        assert!(explore("once, end", World::owned(bounds)).is_err(), "{told:?}");
    }
}
