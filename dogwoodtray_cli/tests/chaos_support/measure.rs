//! Statistics of a run.

use serde_json::Value;
use serde_json::json;

use super::history::CallKind;
use super::history::Outcome;
use super::run::KillTarget;
use super::run::TestRun;

/// Time before and after an outage over which the calls to the platform are counted, in
/// milliseconds.
const SAMPLE_WINDOW_MS: u64 = 5_000;

/// Returns the statistics as JSON.
pub(crate) fn statistics(test_run: &TestRun) -> Value {
    let calls = test_run.calls.lock().unwrap();
    let observed = test_run.observed.lock().unwrap();
    let mut answers: Vec<u64> = calls
        .iter()
        .filter(|call| call.kind == CallKind::Online)
        .filter(|call| matches!(call.outcome, Outcome::Answered(_)))
        .map(|call| call.ended_ms)
        .collect();
    answers.sort_unstable();
    let kills: Vec<Value> = test_run
        .kills
        .lock()
        .unwrap()
        .iter()
        .map(|(kind, at)| {
            let answer = answers.iter().find(|answer| *answer > at).map(|next| next - at);
            let item = time_to_next_item(&observed.finished_items, *at);
            json!({ "killed": process_kind(*kind), "next_answer_ms": answer, "next_item_ms": item })
        })
        .collect();
    let outages: Vec<Value> = test_run
        .outages
        .lock()
        .unwrap()
        .iter()
        .map(|(began, ended)| {
            let samples = &observed.platform_calls;
            let before = calls_between(samples, began.saturating_sub(SAMPLE_WINDOW_MS), *began);
            let after = calls_between(samples, *ended, ended + SAMPLE_WINDOW_MS);
            json!({ "outage_ms": ended - began, "calls_before": before, "calls_after": after })
        })
        .collect();
    let (retries, hedges) = observed.retries_and_hedges();
    let jobs = test_run.jobs.lock().unwrap();
    let count = |kind: CallKind| {
        let of_kind = calls.iter().filter(|call| call.kind == kind);
        let answered = of_kind.clone().filter(|c| matches!(c.outcome, Outcome::Answered(_)));
        json!({ "calls": of_kind.clone().count(), "answered": answered.count() })
    };
    json!({
        "seed": test_run.seed,
        "faults": *test_run.faults.lock().unwrap(),
        "kills": kills,
        "outages": outages,
        "retries": retries,
        "hedges": hedges,
        "online": count(CallKind::Online),
        "once_chat": count(CallKind::NonIdempotentChat),
        "once_service": count(CallKind::NonIdempotentService),
        "poison": count(CallKind::Poison),
        "jobs": jobs.len(),
        "jobs_cancelled": jobs.iter().filter(|job| job.cancelled.is_some()).count(),
        "generations": test_run.published.lock().unwrap().len(),
    })
}

const fn process_kind(kind: KillTarget) -> &'static str {
    match kind {
        KillTarget::Entry => "entry",
        KillTarget::Agent => "agent",
        KillTarget::Engine => "engine",
    }
}

/// Returns the time from `at` until the engines finished another item, in milliseconds.
fn time_to_next_item(samples: &[(u64, u64)], at: u64) -> Option<u64> {
    let before = samples.iter().rfind(|(time, _)| *time <= at)?.1;
    samples.iter().find(|(time, count)| *time > at && *count > before).map(|(time, _)| time - at)
}

/// Returns the number of calls between two times, each rounded up to the next sample, or `None` if
/// there is no later sample.
fn calls_between(samples: &[(u64, u64)], from: u64, to: u64) -> Option<u64> {
    let at = |time: u64| samples.iter().find(|(sample, _)| *sample >= time).map(|(_, n)| *n);
    Some(at(to)? - at(from)?)
}
