//! Checks the history of a run for violations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::history::Call;
use super::history::CallKind;
use super::history::History;
use super::history::Job;
use super::standin::caller::Outcome;
use super::standin::endpoint::Run;
use super::standin::endpoint::item_output;
use super::standin::endpoint::plain_body;
use super::standin::endpoint::signature;
use super::standin::endpoint::stream_body;

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    CorrectAnswer,
    AllowedStatus,
    NotRunMeansNoRun,
    AtMostOnce,
    OnlySentRequestsRun,
    DeadlinePropagated,
    CancelledRunEnds,
    OneResultPerItem,
    CorrectResult,
    EndedJobStops,
    ShutdownExitsCleanly,
    ShutdownInterruptsNothing,
    DrainedEndpointIdle,
    LeavingEndpointUnused,
    NewestConfigurationApplied,
    ServesAfterFaults,
    NoViolationDuringRun,
}

/// Time by which the platform allows the time limit of a run to exceed the remaining time of its
/// caller.
const TIME_SLACK: Duration = Duration::from_millis(500);

/// Maximum time until a run ends after its caller has disconnected, as the platform allows.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Time after which a draining endpoint receives no requests at the sites of the platform.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after which a configuration or the end of a job takes effect at the sites of the platform.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Statuses which state that the request did not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Other statuses allowed for a valid request, which may have run.
const FAILED: [u16; 2] = [502, 504];

type Runs<'a> = BTreeMap<&'a str, Vec<&'a Run>>;

/// Returns all violations.
pub(crate) fn check(history: &History) -> Vec<(Rule, String)> {
    let mut violations = Vec::new();
    let mut runs = Runs::new();
    for run in &history.runs {
        runs.entry(&run.request).or_default().push(run);
    }
    for call in history.calls.iter().chain(&history.probes) {
        let no_runs = Vec::new();
        check_call(history, call, runs.get(&*call.id).unwrap_or(&no_runs), &mut violations);
    }
    for job in &history.jobs {
        check_job(history, job, &runs, &mut violations);
    }
    check_runs(history, &mut violations);
    check_leaving_endpoints(history, &runs, &mut violations);
    for shutdown in history.shutdowns.iter().filter(|shutdown| shutdown.exit_code != Some(0)) {
        violations.push((Rule::ShutdownExitsCleanly, format!("{shutdown:?}")));
    }
    for call in &history.probes {
        if !call.has_full_answer() {
            violations.push((Rule::ServesAfterFaults, format!("{call:?}")));
        }
    }
    violations
        .extend(history.violations.iter().map(|what| (Rule::NoViolationDuringRun, what.clone())));
    violations
}

fn expected_body(call: &Call) -> String {
    match call.kind {
        CallKind::Stream | CallKind::Resumable => stream_body(&call.id),
        CallKind::Plain | CallKind::Once => plain_body(&call.id),
    }
}

fn check_call(history: &History, call: &Call, runs: &[&Run], violations: &mut Vec<(Rule, String)>) {
    let mut report =
        |rule: Rule, what: &str| violations.push((rule, format!("{what}: {call:?} {runs:?}")));
    match &call.outcome {
        Outcome::Answered { status: 200, body, whole, .. } => {
            let expected = expected_body(call);
            if *body != expected && (*whole || !expected.starts_with(body)) {
                report(Rule::CorrectAnswer, "wrong body");
            }
            if !runs.iter().any(|run| is_answer_of(call, run)) {
                report(Rule::CorrectAnswer, "wrong signature");
            }
        }
        Outcome::Answered { status, signature, .. } => {
            if signature.is_some() {
                report(Rule::CorrectAnswer, "endpoint signature on a status other than 200");
            }
            if NOT_RUN.contains(status) && !runs.is_empty() {
                report(Rule::NotRunMeansNoRun, "refused, but the request ran");
            }
            if !NOT_RUN.contains(status) && !FAILED.contains(status) {
                report(Rule::AllowedStatus, "status is not allowed for a valid request");
            }
        }
        Outcome::Closed | Outcome::Silent | Outcome::Left => {}
    }
    if matches!(call.kind, CallKind::Stream | CallKind::Once) && runs.len() > 1 {
        report(Rule::AtMostOnce, "ran more than once");
    }
    if runs.iter().any(|run| *run.body != *call.body.as_bytes() || run.path != path(call)) {
        report(Rule::OnlySentRequestsRun, "ran with another path or body than sent");
    }
    let undisturbed = history.undisturbed.contains(call.began, call.ended);
    let is_propagated = |run: &Run| {
        let left = call.budget.saturating_sub(run.began - call.began.min(run.began));
        run.time_left.is_some_and(|time| time <= left + TIME_SLACK)
    };
    if undisturbed && !runs.iter().all(|run| is_propagated(run)) {
        report(Rule::DeadlinePropagated, "the remaining time is not passed to the endpoint");
    }
    let outlives_call = |run: &&Run| run.ended.is_none_or(|(at, _)| at > call.ended + CANCEL_TIME);
    if undisturbed && call.outcome == Outcome::Left && runs.iter().any(outlives_call) {
        report(Rule::CancelledRunEnds, "a run continues after its caller has disconnected");
    }
    let during_shutdown = history.shutdowns.iter().any(|shutdown| {
        shutdown.gateway == Some(call.gateway)
            && shutdown.began < call.ended
            && call.began < shutdown.ended
    });
    let interrupted = match &call.outcome {
        Outcome::Answered { whole, .. } => !whole,
        Outcome::Closed => !runs.is_empty(),
        Outcome::Silent => true,
        Outcome::Left => false,
    };
    if during_shutdown && interrupted {
        report(Rule::ShutdownInterruptsNothing, "interrupted by a shutdown");
    }
}

/// Returns the request path of a call.
pub(crate) fn path(call: &Call) -> String {
    let route = match call.kind {
        CallKind::Stream => "stream",
        CallKind::Resumable => "resume",
        CallKind::Plain => "plain",
        CallKind::Once => "once",
    };
    format!("/{route}/{}", call.id)
}

fn check_job(history: &History, job: &Job, runs: &Runs<'_>, violations: &mut Vec<(Rule, String)>) {
    let mut report =
        |rule: Rule, what: String| violations.push((rule, format!("job {}: {what}", job.id)));
    let of_items = || job.items.iter().filter_map(|item| runs.get(&**item)).flatten();
    if job.refused && !job.accepted && of_items().next().is_some() {
        report(Rule::NotRunMeansNoRun, "refused, but items ran".to_owned());
    }
    if let Some(ended) = job.end_confirmed {
        let is_late =
            |run: &&&Run| run.began > ended + APPLY_TIME && history.undisturbed.from < ended;
        for run in of_items().filter(is_late) {
            report(Rule::EndedJobStops, format!("ended {:?} before {run:?}", run.began - ended));
        }
    }
    if !job.accepted {
        return;
    }
    for (gateway, read) in &job.final_reads {
        let results = match read {
            Ok(results) => results,
            Err(reason) => {
                report(Rule::OneResultPerItem, format!("not read at gateway {gateway}: {reason}"));
                continue;
            }
        };
        let ids: BTreeSet<&str> = results.iter().map(|result| &*result.id).collect();
        let complete = job.items.iter().all(|item| ids.contains(&**item));
        if ids.len() != results.len() || (!complete && !job.end_requested) {
            report(Rule::OneResultPerItem, format!("at gateway {gateway}: {results:?}"));
        }
        for (position, result) in results.iter().enumerate() {
            let is_known = job.items.contains(&result.id);
            let is_correct = match &*result.state {
                "completed" => result.output == item_output(&result.id),
                _ => job.end_requested,
            };
            let is_unchanged =
                job.first_seen.get(&position).is_none_or(|first_seen| first_seen == result);
            if !is_known || !is_correct || !is_unchanged {
                report(Rule::CorrectResult, format!("gateway {gateway}, {position}: {result:?}"));
            }
        }
        if job.first_seen.keys().any(|position| *position >= results.len()) {
            report(
                Rule::CorrectResult,
                format!("gateway {gateway} lacks results that were read before"),
            );
        }
    }
}

/// Checks that no gateway sends a request to an endpoint some time after it passed on a response in
/// which the endpoint says that it is leaving, unless the gateway was stopped or paused since then.
fn check_leaving_endpoints(
    history: &History,
    runs: &Runs<'_>,
    violations: &mut Vec<(Rule, String)>,
) {
    let runs_of = |call: &Call| runs.get(&*call.id).into_iter().flatten().copied();
    // First call by gateway, endpoint and its start.
    let mut told: BTreeMap<(usize, &str, u64), &Call> = BTreeMap::new();
    for call in history.calls.iter().filter(|call| call.has_full_answer()) {
        for run in runs_of(call).filter(|run| run.said_leaving && is_answer_of(call, run)) {
            let first = told.entry((call.gateway, &run.endpoint, run.life)).or_insert(call);
            if call.ended < first.ended {
                *first = call;
            }
        }
    }
    for call in history.calls.iter().chain(&history.probes) {
        for run in runs_of(call) {
            let Some(first) = told.get(&(call.gateway, &*run.endpoint, run.life)) else { continue };
            let is_excused = history.gateway_faults.iter().any(|(gateway, from, to)| {
                *gateway == call.gateway && *to >= first.began && *from <= run.began
            });
            if call.began > first.ended + DRAIN_TIME && !is_excused {
                violations.push((Rule::LeavingEndpointUnused, format!("{first:?}, then {run:?}")));
            }
        }
    }
}

/// Returns `true` if the endpoint of the run signed the answer of the call.
fn is_answer_of(call: &Call, run: &Run) -> bool {
    let Outcome::Answered { signature: signed, .. } = &call.outcome else { return false };
    *signed == Some(signature(&run.endpoint, &call.id))
}

fn check_runs(history: &History, violations: &mut Vec<(Rule, String)>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().chain(&history.probes).map(|call| (&*call.id, call)).collect();
    let items: BTreeSet<&str> =
        history.jobs.iter().flat_map(|job| &job.items).map(|item| &**item).collect();
    for run in &history.runs {
        let call = calls.get(&*run.request);
        if call.is_none() && !items.contains(&*run.request) {
            violations.push((Rule::OnlySentRequestsRun, format!("no caller sent {run:?}")));
        }
        if let Some((endpoint, since)) = &history.drained
            && run.endpoint == *endpoint
            && run.began > *since + DRAIN_TIME
        {
            violations.push((Rule::DrainedEndpointIdle, format!("{run:?}")));
        }
        if let (Some((service, since)), Some(call)) = (history.plain_route_target, call)
            && call.kind == CallKind::Plain
            && call.began > since + APPLY_TIME
            && run.service != service
        {
            violations.push((Rule::NewestConfigurationApplied, format!("{run:?}")));
        }
    }
}
