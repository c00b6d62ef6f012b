//! Exchanges with an endpoint that goes silent, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::PeerId;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

const STALL_TIMEOUT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);

fn work(deadline: Duration) -> Work {
    Work {
        attempt: AttemptId { incarnation: Incarnation(1), counter: 1 },
        request: Name::from("s1"),
        class: Class::Online,
        model: Name::from("kegledger"),
        method: Name::from("POST"),
        path: Name::from("/payouts"),
        body: Bytes::new(),
        idempotent: false,
        idempotency_key: Name::from("s1"),
        fence: None,
        deadline: Some(deadline),
        cost: Cost { prompt_tokens: 1, output_tokens: 1 },
        resume_from: 0,
        content: ContentHash(1),
        suspect: false,
    }
}

/// Returns the time after which the agent gives an exchange up whose endpoint stays silent.
fn given_up_after(deadline: Duration) -> Duration {
    let cfg = AgentConfig {
        incarnation: Incarnation(2),
        models: vec![Name::from("kegledger")],
        stall_timeout: STALL_TIMEOUT,
    };
    let admission = dogwoodtray_policy::admission_policy("fifo", AdmissionConfig::default());
    let mut core = AgentCore::new(cfg, admission.unwrap());
    let mut out = Vec::new();
    let mut now = Timestamp::ZERO;
    core.handle(now, AgentEvent::PeerUp { peer: PeerId(1) }, &mut out);
    let work = work(deadline);
    core.handle(now, AgentEvent::Dispatch { peer: PeerId(1), work }, &mut out);
    while !out.iter().any(|action| matches!(action, AgentAction::Abort { .. })) {
        now = now + STEP;
        assert!(now - Timestamp::ZERO <= STALL_TIMEOUT + STEP, "the exchange is never given up");
        core.handle(now, AgentEvent::Tick, &mut out);
    }
    now - Timestamp::ZERO
}

/// Guards against a silent connection that holds up a drain and an at-most-once record long after
/// the deadline of its request, and against answers that are cut off before the deadline.
#[test]
fn a_silent_exchange_ends_soon_after_its_deadline() {
    assert_eq!(given_up_after(Duration::from_secs(6)), Duration::from_secs(16));
    assert_eq!(given_up_after(Duration::from_secs(600)), STALL_TIMEOUT);
}
