//! Tests that the oracle of the soak test detects each kind of violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "each test uses part of the stand-ins")]

#[path = "soak_support/history.rs"]
mod history;
#[path = "soak_support/oracle.rs"]
mod oracle;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use history::Call;
use history::CallKind;
use history::History;
use history::Job;
use history::Shutdown;
use history::UndisturbedPeriod;
use oracle::Rule;
use standin::caller::ItemResult;
use standin::caller::Outcome;
use standin::endpoint::Run;
use standin::endpoint::item_output;
use standin::endpoint::plain_body;
use standin::endpoint::signature;
use standin::endpoint::stream_body;

/// A rule and a change to a valid history that violates it.
type BrokenRule = (Rule, fn(&mut History));

const BUDGET: Duration = Duration::from_secs(3);

fn call(id: &str, kind: CallKind, at: Instant, body: String) -> Call {
    let signed = Some(signature("engine-0", id));
    Call {
        id: id.to_owned(),
        kind,
        gateway: 0,
        body: format!("ask {id}"),
        budget: BUDGET,
        began: at,
        ended: at + Duration::from_secs(1),
        outcome: Outcome::Answered { status: 200, signature: signed, body, whole: true },
    }
}

fn run(request: &str, path: &str, body: &str, at: Instant) -> Run {
    Run {
        endpoint: "engine-0".to_owned(),
        life: 1,
        said_leaving: false,
        service: "ledger",
        request: request.to_owned(),
        path: path.to_owned(),
        body: Bytes::from(body.to_owned()),
        resumed_after: None,
        time_left: Some(BUDGET),
        began: at,
        ended: Some((at + Duration::from_millis(900), true)),
    }
}

fn result(item: &str) -> ItemResult {
    let output = item_output(item);
    ItemResult { id: item.to_owned(), state: "completed".to_owned(), output }
}

fn error_response(status: u16) -> Outcome {
    Outcome::Answered { status, signature: None, body: String::new(), whole: true }
}

/// Returns the history of a run without violations.
fn valid_history(at: Instant) -> History {
    let later = at + Duration::from_secs(20);
    let mut left = call("s1", CallKind::Stream, at, String::new());
    left.outcome = Outcome::Left;
    let mut refused = call("o1", CallKind::Once, at, String::new());
    refused.outcome = error_response(503);
    let job = Job {
        id: "j".to_owned(),
        items: vec!["j.0".to_owned()],
        accepted: true,
        first_seen: BTreeMap::from([(0, result("j.0"))]),
        final_reads: vec![(0, Ok(vec![result("j.0")]))],
        ..Job::default()
    };
    let ended = Job {
        id: "k".to_owned(),
        items: vec!["k.0".to_owned()],
        accepted: true,
        end_requested: true,
        end_confirmed: Some(at + Duration::from_secs(1)),
        final_reads: vec![(0, Ok(Vec::new()))],
        ..Job::default()
    };
    let rejected =
        Job { id: "l".to_owned(), items: vec!["l.0".to_owned()], refused: true, ..Job::default() };
    History {
        calls: vec![
            call("s0", CallKind::Stream, at, stream_body("s0")),
            call("p0", CallKind::Plain, later, plain_body("p0")),
            left,
            refused,
        ],
        runs: vec![
            run("s0", "/stream/s0", "ask s0", at),
            run("p0", "/plain/p0", "ask p0", later),
            run("s1", "/stream/s1", "ask s1", at),
            run("j.0", "/job/j.0", "hi", at),
        ],
        jobs: vec![job, ended, rejected],
        undisturbed: UndisturbedPeriod { from: at, to: at + Duration::from_secs(5) },
        shutdowns: vec![Shutdown {
            node: "gateway-0".to_owned(),
            gateway: Some(0),
            began: later,
            ended: later + Duration::from_secs(2),
            exit_code: Some(0),
        }],
        gateway_faults: Vec::new(),
        drained: Some(("engine-1".to_owned(), at)),
        plain_route_target: Some(("ledger", at)),
        violations: Vec::new(),
        probes: vec![call("s0", CallKind::Stream, at, stream_body("s0"))],
    }
}

fn answer_parts(
    history: &mut History,
    call: usize,
) -> (&mut Option<String>, &mut String, &mut bool) {
    let Outcome::Answered { signature, body, whole, .. } = &mut history.calls[call].outcome else {
        panic!("the call has an answer")
    };
    (signature, body, whole)
}

fn add_run(history: &mut History, request: &str, path: &str, after: Duration) {
    let at = history.undisturbed.from + after;
    let body = history.calls.iter().find(|call| call.id == request);
    let body = body.map_or("hi".to_owned(), |call| call.body.clone());
    let mut run = run(request, path, &body, at);
    run.ended = Some((at, true));
    history.runs.push(run);
}

/// Guards against an oracle that accepts a history that violates a rule.
#[test]
fn each_broken_rule_is_detected() {
    let at = Instant::now();
    assert_eq!(oracle::check(&valid_history(at)), []);
    let cases: &[BrokenRule] = &[
        (Rule::CorrectAnswer, |h| answer_parts(h, 0).1.push('x')),
        (Rule::CorrectAnswer, |h| answer_parts(h, 0).1.truncate(9)),
        (Rule::CorrectAnswer, |h| *answer_parts(h, 0).0 = None),
        (Rule::CorrectAnswer, |h| *answer_parts(h, 1).0 = Some("engine-2/p0".to_owned())),
        (Rule::AllowedStatus, |h| h.calls[3].outcome = error_response(404)),
        (Rule::NotRunMeansNoRun, |h| add_run(h, "o1", "/once/o1", Duration::ZERO)),
        (Rule::NotRunMeansNoRun, |h| add_run(h, "l.0", "/job/l.0", Duration::ZERO)),
        (Rule::AtMostOnce, |h| add_run(h, "s0", "/stream/s0", Duration::ZERO)),
        (Rule::OnlySentRequestsRun, |h| add_run(h, "x", "/stream/x", Duration::ZERO)),
        (Rule::OnlySentRequestsRun, |h| h.runs[0].path = "/once/s0".to_owned()),
        (Rule::OnlySentRequestsRun, |h| h.runs[0].body = Bytes::new()),
        (Rule::DeadlinePropagated, |h| h.runs[0].time_left = None),
        (Rule::DeadlinePropagated, |h| h.runs[0].time_left = Some(2 * BUDGET)),
        (Rule::CancelledRunEnds, |h| h.runs[2].ended = None),
        (Rule::OneResultPerItem, |h| {
            h.jobs[0].first_seen.clear();
            h.jobs[0].final_reads[0].1 = Ok(Vec::new());
        }),
        (Rule::OneResultPerItem, |h| h.jobs[0].final_reads[0].1 = Ok(vec![result("j.0"); 2])),
        (Rule::OneResultPerItem, |h| h.jobs[0].final_reads[0].1 = Err("404".to_owned())),
        (Rule::CorrectResult, |h| {
            h.jobs[1].first_seen = BTreeMap::from([(0, result("k.0"))]);
        }),
        (Rule::CorrectResult, |h| h.jobs[0].final_reads[0].1.as_mut().unwrap()[0].output.push('x')),
        (Rule::EndedJobStops, |h| add_run(h, "k.0", "/job/k.0", Duration::from_secs(4))),
        (Rule::ShutdownExitsCleanly, |h| h.shutdowns[0].exit_code = None),
        (Rule::ShutdownInterruptsNothing, |h| *answer_parts(h, 1).2 = false),
        (Rule::ShutdownInterruptsNothing, |h| h.calls[1].outcome = Outcome::Closed),
        (Rule::DrainedEndpointIdle, |h| {
            h.runs[3].endpoint = "engine-1".to_owned();
            h.runs[3].began += Duration::from_secs(3);
        }),
        (Rule::LeavingEndpointUnused, |h| h.runs[0].said_leaving = true),
        (Rule::LeavingEndpointUnused, |h| {
            h.runs[0].said_leaving = true;
            // Excuses another gateway only.
            h.gateway_faults = vec![(1, h.calls[0].began, h.calls[1].began)];
        }),
        (Rule::NewestConfigurationApplied, |h| h.runs[1].service = "archive"),
        (Rule::ServesAfterFaults, |h| h.probes[0].outcome = Outcome::Silent),
        (Rule::NoViolationDuringRun, |h| h.violations.push("panicked at".to_owned())),
    ];
    for (rule, break_rule) in cases {
        let mut history = valid_history(at);
        break_rule(&mut history);
        let violations: Vec<Rule> =
            oracle::check(&history).into_iter().map(|(rule, _)| rule).collect();
        assert!(!violations.is_empty(), "{rule:?} was not found");
        assert!(
            violations.iter().all(|other| other == rule),
            "{rule:?} was found as {violations:?}"
        );
    }
}

/// Guards against an oracle that reports requests to another start of a leaving endpoint, or after a
/// pause of the gateway.
#[test]
fn requests_that_may_reach_a_leaving_endpoint_are_accepted() {
    let at = Instant::now();
    let cases: [fn(&mut History); 3] = [
        |h| h.runs[1].life = 2,
        |h| h.calls[1].gateway = 1,
        |h| h.gateway_faults = vec![(0, h.calls[0].ended, h.calls[0].ended)],
    ];
    for excuse in cases {
        let mut history = valid_history(at);
        history.runs[0].said_leaving = true;
        excuse(&mut history);
        assert_eq!(oracle::check(&history), []);
    }
}
