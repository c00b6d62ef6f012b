//! Exchanges with an endpoint that stops sending data, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::online_work;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::EntryLinkId;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;

const STALL_TIMEOUT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);

fn non_idempotent_work(deadline: Duration) -> Work {
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

/// Returns the time after which the agent aborts an exchange that receives no data.
fn time_until_abort(deadline: Duration) -> Duration {
    let cfg = AgentConfig {
        node: Name::from("agent-1"),
        incarnation: Incarnation(2),
        models: vec![Name::from("kegledger")],
        stall_timeout: STALL_TIMEOUT,
    };
    let admission = dogwoodtray_policy::admission_policy("fifo", AdmissionConfig::default());
    let mut core = AgentCore::new(cfg, admission.unwrap());
    let mut out = Vec::new();
    let mut now = Timestamp::ZERO;
    core.handle(now, AgentEvent::PeerUp { peer: EntryLinkId(1) }, &mut out);
    let work = non_idempotent_work(deadline);
    core.handle(now, AgentEvent::Dispatch { peer: EntryLinkId(1), work }, &mut out);
    while !out.iter().any(|action| matches!(action, AgentAction::Abort { .. })) {
        now = now + STEP;
        assert!(now - Timestamp::ZERO <= STALL_TIMEOUT + STEP, "the exchange is not aborted");
        core.handle(now, AgentEvent::Tick, &mut out);
    }
    now - Timestamp::ZERO
}

/// Guards against a stalled connection that delays a drain and the completion of an at-most-once
/// record until long after the deadline of the request, and against an abort before the deadline.
#[test]
fn stalled_exchange_is_aborted_soon_after_deadline() {
    assert_eq!(time_until_abort(Duration::from_secs(6)), Duration::from_secs(16));
    assert_eq!(time_until_abort(Duration::from_secs(600)), STALL_TIMEOUT);
}
