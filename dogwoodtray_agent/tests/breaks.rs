//! Classification of broken endpoint connections as crashes or failed exchanges, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::online_work;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::AgentMessage;
use dogwoodtray_agent::AttemptOutcome;
use dogwoodtray_agent::EndpointEvent;
use dogwoodtray_agent::EntryLinkId;
use dogwoodtray_agent::NotRun;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::Class;

/// Tick interval of the agent.
const TICK_MS: u64 = 20;

/// Time from a crash of the endpoint until it serves again.
const RESTART_MS: u64 = 200;

/// Time within which the agent must classify a broken connection.
const RESOLUTION_MS: u64 = 2_000;

const fn attempt(counter: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(1), counter }
}

struct TestAgent {
    core: AgentCore,
    now: Timestamp,
    out: Vec<AgentAction>,
}

impl TestAgent {
    /// Creates an agent that has forwarded the attempts 1 to `running`.
    fn with_running_attempts(running: u64) -> Self {
        let cfg = AgentConfig {
            node: Name::from("agent-1"),
            incarnation: Incarnation(2),
            models: vec![Name::from("kegtalk")],
            stall_timeout: Duration::from_secs(60),
        };
        let admission = dogwoodtray_policy::admission_policy("fifo", AdmissionConfig::default());
        let core = AgentCore::new(cfg, admission.unwrap());
        let mut agent = Self { core, now: Timestamp::ZERO, out: Vec::new() };
        agent.handle(AgentEvent::PeerUp { peer: EntryLinkId(1) });
        for counter in 1..=running {
            agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: online_work(counter) });
        }
        agent.advance(100);
        agent
    }

    fn handle(&mut self, event: AgentEvent) {
        self.core.handle(self.now, event, &mut self.out);
    }

    fn endpoint_event(&mut self, counter: u64, event: EndpointEvent) {
        self.handle(AgentEvent::Endpoint { attempt: attempt(counter), event });
    }

    fn receive_token(&mut self, counter: u64) {
        let data = Bytes::from_static(b"x");
        self.endpoint_event(counter, EndpointEvent::Data { data, tokens: 1 });
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.now = self.now + Duration::from_millis(TICK_MS);
            self.handle(AgentEvent::Tick);
        }
    }

    fn outcome(&self, counter: u64) -> Option<AttemptOutcome> {
        self.out.iter().find_map(|action| match action {
            AgentAction::Send {
                message: AgentMessage::Done { attempt: id, outcome, .. }, ..
            } if *id == attempt(counter) => Some(*outcome),
            _ => None,
        })
    }
}

fn is_crashed(outcome: Option<AttemptOutcome>) -> bool {
    matches!(outcome, Some(AttemptOutcome::Crashed))
}

/// Guards against a crash being reported as a failed exchange. The endpoint restarts before the
/// other connections break, so the health check succeeds while other attempts seem to be running.
#[test]
fn crash_with_fast_restart_is_reported_as_crash() {
    let mut agent = TestAgent::with_running_attempts(2);
    agent.endpoint_event(1, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    agent.advance(TICK_MS);
    agent.endpoint_event(2, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    agent.advance(RESOLUTION_MS);
    assert!(is_crashed(agent.outcome(1)), "{:?}", agent.outcome(1));
    assert!(is_crashed(agent.outcome(2)), "{:?}", agent.outcome(2));
}

/// Guards against data in transit at the time of a crash being counted as progress, which would
/// report the crash as a failed exchange.
#[test]
fn data_sent_before_crash_does_not_count_as_progress() {
    let mut agent = TestAgent::with_running_attempts(2);
    agent.endpoint_event(1, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    agent.receive_token(2);
    agent.advance(TICK_MS);
    agent.endpoint_event(2, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    agent.advance(RESOLUTION_MS);
    assert!(is_crashed(agent.outcome(1)), "{:?}", agent.outcome(1));
}

/// Guards against an attempt that was forwarded to the restarted endpoint being counted as evidence
/// that the endpoint did not crash.
#[test]
fn progress_of_attempt_forwarded_after_break_is_ignored() {
    let mut agent = TestAgent::with_running_attempts(1);
    agent.endpoint_event(1, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: online_work(2) });
    agent.handle(AgentEvent::Health { up: true });
    for _ in 0..10 {
        agent.advance(TICK_MS);
        agent.receive_token(2);
    }
    assert!(is_crashed(agent.outcome(1)), "{:?}", agent.outcome(1));
    assert_eq!(agent.outcome(2), None);
}

/// Guards against a failed exchange being reported as a crash, which would make its request a
/// suspect, and against the abort of the attempt that is still running.
#[test]
fn break_with_progress_of_another_attempt_is_reported_as_failure() {
    let mut agent = TestAgent::with_running_attempts(2);
    agent.endpoint_event(1, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    for _ in 0..10 {
        agent.advance(TICK_MS);
        agent.receive_token(2);
    }
    assert_eq!(agent.outcome(1), Some(AttemptOutcome::Failed));
    assert_eq!(agent.outcome(2), None);
}

/// Guards against an attempt that never ends, and against the abort of the other attempts, when
/// they receive no data and so give no evidence of whether the endpoint crashed.
#[test]
fn break_without_progress_of_other_attempts_is_reported_as_crash() {
    let mut agent = TestAgent::with_running_attempts(2);
    agent.endpoint_event(1, EndpointEvent::ConnectionLost);
    agent.handle(AgentEvent::Health { up: true });
    agent.advance(RESOLUTION_MS);
    assert!(is_crashed(agent.outcome(1)), "{:?}", agent.outcome(1));
    assert_eq!(agent.outcome(2), None);
}

/// Guards against an item that is never run again because endpoints crashed while they ran it, and
/// against one that waits until no suspect runs beside it.
#[test]
fn an_item_is_forwarded_whatever_crashed_with_its_content() {
    let item =
        |counter| Work { class: Class::Batch, content: ContentHash(7), ..online_work(counter) };
    let mut agent = TestAgent::with_running_attempts(0);
    for counter in 1..=3 {
        agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: item(counter) });
        agent.advance(100);
        agent.endpoint_event(counter, EndpointEvent::ConnectionLost);
        agent.handle(AgentEvent::Health { up: false });
        assert!(is_crashed(agent.outcome(counter)), "{:?}", agent.outcome(counter));
        agent.advance(RESTART_MS);
        agent.handle(AgentEvent::Health { up: true });
    }
    // The same content is refused if it comes online and has crashed endpoints there.
    for counter in 4..=6 {
        let work = Work { class: Class::Online, ..item(counter) };
        agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work });
        agent.advance(100);
        agent.endpoint_event(counter, EndpointEvent::ConnectionLost);
        agent.handle(AgentEvent::Health { up: false });
        agent.advance(RESTART_MS);
        agent.handle(AgentEvent::Health { up: true });
    }
    assert_eq!(agent.outcome(6), Some(AttemptOutcome::NotRun(NotRun::Blocked)));
    agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: item(7) });
    agent.advance(100);
    assert_eq!(agent.outcome(7), None, "the item runs");
}

/// Guards against an answer that is reported as complete although its last data arrived after the
/// attempt was preempted and was dropped.
#[test]
fn an_answer_whose_end_arrives_during_a_preemption_is_not_complete_without_its_data() {
    let item = Work { class: Class::Batch, ..online_work(1) };
    let mut agent = TestAgent::with_running_attempts(0);
    agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: item });
    agent.advance(100);
    agent.receive_token(1);
    agent.handle(AgentEvent::Drain);
    // Already on their way when the agent aborts the exchange.
    agent.receive_token(1);
    agent.endpoint_event(1, EndpointEvent::ResponseEnd);
    assert_eq!(agent.outcome(1), Some(AttemptOutcome::Preempted));
}

/// Guards against a complete answer that is thrown away because its end arrives while the attempt is
/// preempted.
#[test]
fn a_complete_answer_is_kept_during_a_preemption() {
    let item = Work { class: Class::Batch, ..online_work(1) };
    let mut agent = TestAgent::with_running_attempts(0);
    agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: item });
    agent.advance(100);
    agent.receive_token(1);
    agent.handle(AgentEvent::Drain);
    agent.endpoint_event(1, EndpointEvent::ResponseEnd);
    assert!(matches!(agent.outcome(1), Some(AttemptOutcome::Answered { .. })));
}

/// Guards against new work for an endpoint that is shutting down, from an entry that has not heard of
/// it or dispatched before it could.
#[test]
fn a_leaving_agent_forwards_nothing_more() {
    let mut agent = TestAgent::with_running_attempts(1);
    agent.handle(AgentEvent::Drain);
    for work in [online_work(2), Work { class: Class::Batch, ..online_work(3) }] {
        let counter = work.attempt.counter;
        agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work });
        agent.advance(100);
        assert_eq!(agent.outcome(counter), Some(AttemptOutcome::NotRun(NotRun::Leaving)));
    }
    assert_eq!(agent.outcome(1), None, "the running attempt goes on");
}
