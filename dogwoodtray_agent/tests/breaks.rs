//! Connections to an endpoint that break one after another, in virtual time.

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
use dogwoodtray_agent::AttemptEnd;
use dogwoodtray_agent::EndpointEvent;
use dogwoodtray_agent::PeerId;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;

/// Interval of the agent's ticks.
const TICK_MS: u64 = 20;

/// Time in which an agent must have told what a break was.
const VERDICT_MS: u64 = 2_000;

const fn attempt(counter: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(1), counter }
}

struct Agent {
    core: AgentCore,
    now: Timestamp,
    out: Vec<AgentAction>,
}

impl Agent {
    /// Starts an agent that has forwarded attempts 1 to `running`.
    fn with_running(running: u64) -> Self {
        let cfg = AgentConfig {
            incarnation: Incarnation(2),
            models: vec![Name::from("kegtalk")],
            stall_timeout: Duration::from_secs(60),
        };
        let admission = dogwoodtray_policy::admission_policy("fifo", AdmissionConfig::default());
        let core = AgentCore::new(cfg, admission.unwrap());
        let mut agent = Self { core, now: Timestamp::ZERO, out: Vec::new() };
        agent.handle(AgentEvent::PeerUp { peer: PeerId(1) });
        for counter in 1..=running {
            agent.handle(AgentEvent::Dispatch { peer: PeerId(1), work: online_work(counter) });
        }
        agent.sleep(100);
        agent
    }

    fn handle(&mut self, event: AgentEvent) {
        self.core.handle(self.now, event, &mut self.out);
    }

    fn endpoint(&mut self, counter: u64, event: EndpointEvent) {
        self.handle(AgentEvent::Endpoint { attempt: attempt(counter), event });
    }

    fn token(&mut self, counter: u64) {
        let data = Bytes::from_static(b"x");
        self.endpoint(counter, EndpointEvent::Data { data, tokens: 1 });
    }

    fn sleep(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.now = self.now + Duration::from_millis(TICK_MS);
            self.handle(AgentEvent::Tick);
        }
    }

    fn end_of(&self, counter: u64) -> Option<AttemptEnd> {
        self.out.iter().find_map(|action| match action {
            AgentAction::Send { message: AgentMessage::Done { attempt: id, end, .. }, .. }
                if *id == attempt(counter) =>
            {
                Some(*end)
            }
            _ => None,
        })
    }
}

fn is_crash(end: Option<AttemptEnd>) -> bool {
    matches!(end, Some(AttemptEnd::Crashed { .. }))
}

/// Guards against a death that passes for a broken exchange: the endpoint serves again before the
/// other connections have broken, so its health check is good while other attempts still run.
#[test]
fn a_death_with_a_quick_restart_is_a_death() {
    let mut agent = Agent::with_running(2);
    agent.endpoint(1, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    agent.sleep(TICK_MS);
    agent.endpoint(2, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    agent.sleep(VERDICT_MS);
    assert!(is_crash(agent.end_of(1)), "{:?}", agent.end_of(1));
    assert!(is_crash(agent.end_of(2)), "{:?}", agent.end_of(2));
}

/// Guards against bytes that were on their way when the endpoint died passing for progress.
#[test]
fn data_from_before_the_death_is_no_progress() {
    let mut agent = Agent::with_running(2);
    agent.endpoint(1, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    agent.token(2);
    agent.sleep(TICK_MS);
    agent.endpoint(2, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    agent.sleep(VERDICT_MS);
    assert!(is_crash(agent.end_of(1)), "{:?}", agent.end_of(1));
}

/// Guards against an attempt at the restarted endpoint passing for a survivor of its death.
#[test]
fn an_attempt_sent_after_the_break_proves_nothing() {
    let mut agent = Agent::with_running(1);
    agent.endpoint(1, EndpointEvent::Broken);
    agent.handle(AgentEvent::Dispatch { peer: PeerId(1), work: online_work(2) });
    agent.handle(AgentEvent::Health { up: true });
    for _ in 0..10 {
        agent.sleep(TICK_MS);
        agent.token(2);
    }
    assert!(is_crash(agent.end_of(1)), "{:?}", agent.end_of(1));
    assert_eq!(agent.end_of(2), None);
}

/// Guards against a broken exchange that is reported as a death, which would make its request a
/// suspect, and against a survivor that is aborted.
#[test]
fn a_break_beside_a_stream_that_goes_on_is_a_failure() {
    let mut agent = Agent::with_running(2);
    agent.endpoint(1, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    for _ in 0..10 {
        agent.sleep(TICK_MS);
        agent.token(2);
    }
    assert_eq!(agent.end_of(1), Some(AttemptEnd::Failed));
    assert_eq!(agent.end_of(2), None);
}

/// Guards against an attempt that never ends, and against survivors that are aborted, while the
/// other attempts are silent and nothing shows whether the endpoint died.
#[test]
fn a_break_beside_silent_attempts_counts_as_a_death() {
    let mut agent = Agent::with_running(2);
    agent.endpoint(1, EndpointEvent::Broken);
    agent.handle(AgentEvent::Health { up: true });
    agent.sleep(VERDICT_MS);
    assert!(is_crash(agent.end_of(1)), "{:?}", agent.end_of(1));
    assert_eq!(agent.end_of(2), None);
}
