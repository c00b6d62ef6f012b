//! Exchanges with an endpoint that goes silent, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::online_work;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::PeerId;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;

const STALL_TIMEOUT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);

fn work(deadline: Duration) -> Work {
    Work {
        request: Name::from("s1"),
        model: Name::from("kegledger"),
        path: Name::from("/payouts"),
        idempotent: false,
        idempotency_key: Name::from("s1"),
        deadline: Some(deadline),
        ..online_work(1)
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
