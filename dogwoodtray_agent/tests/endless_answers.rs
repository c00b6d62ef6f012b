//! Answers without end, in virtual time.

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
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;

/// Maximum size of the answer of one attempt.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Maximum size of the answers of all attempts.
const MAX_TOTAL_BYTES: usize = 64 << 20;

const CHUNK_BYTES: usize = 64 * 1024;

struct TestAgent {
    core: AgentCore,
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
        let limits = AdmissionConfig { max_places: 64, ..AdmissionConfig::default() };
        let admission = dogwoodtray_policy::admission_policy("fifo", limits);
        let mut agent = Self { core: AgentCore::new(cfg, admission.unwrap()), out: Vec::new() };
        agent.handle(AgentEvent::PeerUp { peer: EntryLinkId(1) });
        for counter in 1..=running {
            agent.handle(AgentEvent::Dispatch { peer: EntryLinkId(1), work: online_work(counter) });
        }
        agent
    }

    fn handle(&mut self, event: AgentEvent) {
        self.core.handle(Timestamp::ZERO, event, &mut self.out);
    }

    fn endpoint_event(&mut self, counter: u64, event: EndpointEvent) {
        let attempt = AttemptId { incarnation: Incarnation(1), counter };
        self.handle(AgentEvent::Endpoint { attempt, event });
    }

    /// Receives data for an attempt, and confirms its abort if there is one.
    fn receive(&mut self, counter: u64) {
        let data = Bytes::from(vec![b'a'; CHUNK_BYTES]);
        self.endpoint_event(counter, EndpointEvent::Data { data, tokens: 1 });
        let is_abort = |action: &AgentAction| matches!(action, AgentAction::Abort { attempt } if attempt.counter == counter);
        if self.out.iter().any(is_abort) {
            self.endpoint_event(counter, EndpointEvent::Aborted);
        }
    }

    /// Returns the size of the data that was sent to the entry.
    fn sent_bytes(&self) -> usize {
        self.out
            .iter()
            .map(|action| match action {
                AgentAction::Send { message: AgentMessage::Chunk { data, .. }, .. } => data.len(),
                _ => 0,
            })
            .sum()
    }

    fn failed(&self) -> usize {
        let is_failed = |action: &&AgentAction| {
            matches!(
                action,
                AgentAction::Send {
                    message: AgentMessage::Done { outcome: AttemptOutcome::Failed, .. },
                    ..
                }
            )
        };
        self.out.iter().filter(is_failed).count()
    }
}

/// Guards against an answer without end that the agent and its entry keep until the deadline.
#[test]
fn an_answer_without_end_is_aborted_at_its_limit() {
    let mut agent = TestAgent::with_running_attempts(1);
    for _ in 0..2 * MAX_ANSWER_BYTES / CHUNK_BYTES {
        agent.receive(1);
    }
    assert_eq!(agent.failed(), 1);
    assert!(agent.sent_bytes() <= MAX_ANSWER_BYTES, "{}", agent.sent_bytes());
}

/// Guards against answers that are each within their limit and together fill the memory.
#[test]
fn answers_together_are_aborted_at_the_limit_of_the_process() {
    let attempts = 40;
    let mut agent = TestAgent::with_running_attempts(attempts);
    for _ in 0..(MAX_ANSWER_BYTES / CHUNK_BYTES) {
        for counter in 1..=attempts {
            agent.receive(counter);
        }
    }
    assert!(agent.failed() > 0);
    assert!(agent.sent_bytes() <= MAX_TOTAL_BYTES + CHUNK_BYTES, "{}", agent.sent_bytes());
}
