//! Evidence about crashes on its way between processes whose clocks differ.

use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::EVIDENCE_RETENTION;
use dogwoodtray_coord::Evidence;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::evidence_from_wire;
use dogwoodtray_runtime::evidence_to_wire;

const AGE: Duration = Duration::from_secs(5);

fn evidence(ended_at: Timestamp) -> Vec<Evidence> {
    let run = CrashedRun {
        contents: Contents { request: ContentHash(1), parts: Vec::new() },
        endpoint: Name::from("agent-1"),
        sent_at: ended_at,
        ended_at,
        stage: RunStage::Starting,
        sound: Vec::new(),
    };
    vec![Evidence::Cleared { content: ContentHash(2), at: ended_at }, Evidence::Crash(run)]
}

/// Passes evidence on to a process whose clock shows `now`.
fn pass_on(sent_at: Timestamp, evidence: &[Evidence], now: Timestamp) -> Vec<Evidence> {
    evidence_to_wire(sent_at, evidence).flat_map(|set| evidence_from_wire(now, set)).collect()
}

/// Guards against an old crash that a restarted process passes on as a new one.
#[test]
fn a_process_that_started_after_a_crash_passes_on_its_age() {
    let old = Timestamp::ZERO + Duration::from_secs(1_000);
    let young = Clock::start_at(Timestamp::ZERO + EVIDENCE_RETENTION).now();
    let received = pass_on(old + AGE, &evidence(old), young);
    let rest = Duration::from_secs(2);
    let returned = pass_on(young + rest, &received, old + AGE + rest);
    assert_eq!(returned, evidence(old));
}

/// Guards against events that get the time of the start of the receiver because its clock cannot
/// show an earlier one.
#[test]
fn evidence_from_before_the_clock_of_the_receiver_is_ignored() {
    let old = Timestamp::ZERO + Duration::from_secs(1_000);
    assert_eq!(pass_on(old + AGE, &evidence(old), Timestamp::ZERO + Duration::from_secs(1)), []);
}
