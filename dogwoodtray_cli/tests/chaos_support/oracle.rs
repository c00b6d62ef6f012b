//! Checks the history of a run for violations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::history::Call;
use super::history::CallKind;
use super::history::Drain;
use super::history::History;
use super::history::Job;
use super::history::JobView;
use super::history::Outcome;

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    JobFinishes,
    OneResultPerItem,
    CorrectResult,
    CancelledJobStops,
    CorrectAnswer,
    NotRunMeansNoRun,
    AtMostOnce,
    PoisonLimit,
    GenerationsConverge,
    GenerationsIncrease,
    DrainInterruptsNothing,
    DrainExitsCleanly,
    NoPanic,
    ServesAfterFaults,
}

/// Maximum number of engines that one request may crash, apart from trials.
const POISON_LIMIT: u64 = 2;

/// Maximum number of trials of one request. The second one is due 30 s after the first, which is
/// longer than a run.
const MAX_TRIALS: u64 = 1;

/// Outcomes allowed for an item of a job that was not cancelled.
const ALLOWED_OUTCOMES: &[&str] = &["done", "attempts_exhausted"];
/// Outcomes allowed for a non-idempotent item. `unknown` is allowed because such an item is not run
/// again.
const ALLOWED_OUTCOMES_NON_IDEMPOTENT: &[&str] = &["done", "attempts_exhausted", "unknown"];

/// Returns all violations.
pub(crate) fn check(history: &History) -> Vec<(Rule, String)> {
    let mut violations = Vec::new();
    for job in &history.jobs {
        check_job(history, job, &mut violations);
    }
    check_calls(history, &mut violations);
    check_generations(history, &mut violations);
    for drain in &history.drains {
        if drain.exit_code != Some(0) {
            let what = format!("{} ended with {:?}", drain.node, drain.exit_code);
            violations.push((Rule::DrainExitsCleanly, what));
        }
        let interrupted = drain.interrupted.iter().map(|what| format!("{}: {what}", drain.node));
        violations.extend(interrupted.map(|what| (Rule::DrainInterruptsNothing, what)));
        let ended_early = interrupted_runs(history, drain);
        if ended_early.len() as u64 > drain.cancelled_hedges {
            let hedges = drain.cancelled_hedges;
            let what = format!(
                "{}: {ended_early:?} ended early, {hedges} of them cancelled as hedges",
                drain.node
            );
            violations.push((Rule::DrainInterruptsNothing, what));
        }
    }
    let failed = history.probes.iter().filter(|call| call.outcome != Outcome::Answered(None));
    violations.extend(failed.map(|call| (Rule::ServesAfterFaults, format!("{call:?}"))));
    violations.extend(history.panics.iter().map(|line| (Rule::NoPanic, line.clone())));
    violations
}

/// Returns the runs that a draining agent must not have ended. It may preempt items of idempotent
/// jobs, as it does for an online request, and they continue at another agent; items of cancelled
/// jobs are aborted. A caller may learn of its job only after the drain.
fn interrupted_runs<'a>(history: &History, drain: &'a Drain) -> Vec<&'a String> {
    let is_relevant = |run: &&String| {
        let job = history.jobs.iter().find(|job| run.starts_with(&job.id));
        job.is_none_or(|job| !job.idempotent && !drain.cancelled_jobs.contains(&job.id))
    };
    drain.ended_early.iter().filter(is_relevant).collect()
}

fn check_job(history: &History, job: &Job, violations: &mut Vec<(Rule, String)>) {
    for view in &job.views {
        check_view(job, view, violations);
    }
    let prefix = format!("{}.", job.id);
    if !job.idempotent {
        for index in 0..job.items.len() {
            let key = format!("{prefix}{index}");
            let started = history.count_runs(|run| run == key).started;
            if started > 1 {
                violations.push((Rule::AtMostOnce, format!("item {key} ran {started} times")));
            }
        }
    }
    let Some(before) = job.cancelled.as_ref().and_then(|cancelled| cancelled.runs_started) else {
        return;
    };
    let started = history.count_runs(|run| run.starts_with(&prefix)).started;
    if started > before {
        let what = format!("job {}: {} items started after it", job.id, started - before);
        violations.push((Rule::CancelledJobStops, what));
    }
}

fn check_view(job: &Job, view: &JobView, violations: &mut Vec<(Rule, String)>) {
    let at = format!("job {} at entry {}", job.id, view.entry);
    let expected = if job.cancelled.is_some() { "cancelled" } else { "completed" };
    if view.status != expected {
        violations
            .push((Rule::JobFinishes, format!("{at}: {} instead of {expected}", view.status)));
    }
    let ids: Vec<&str> = view.lines.iter().map(|line| line.custom_id.as_str()).collect();
    let distinct: BTreeSet<&str> = ids.iter().copied().collect();
    let wanted: BTreeSet<&str> = job.items.iter().map(String::as_str).collect();
    if ids.len() != distinct.len() || distinct != wanted {
        let what = format!(
            "{at}: {} lines for {} items, missing {:?}",
            ids.len(),
            wanted.len(),
            wanted.difference(&distinct).collect::<Vec<_>>()
        );
        violations.push((Rule::OneResultPerItem, what));
    }
    let allowed_outcomes =
        if job.idempotent { ALLOWED_OUTCOMES } else { ALLOWED_OUTCOMES_NON_IDEMPOTENT };
    for line in &view.lines {
        let allowed = allowed_outcomes.contains(&line.outcome.as_str())
            || (job.cancelled.is_some() && line.outcome == "cancelled");
        if line.mismatch.is_some() || !allowed {
            let what =
                format!("{at}: item {} {} {:?}", line.custom_id, line.outcome, line.mismatch);
            violations.push((Rule::CorrectResult, what));
        }
    }
    if let Some(cancelled) = &job.cancelled {
        let results = view.lines.iter().filter(|line| line.outcome != "cancelled").count() as u64;
        if results > cancelled.results {
            let what = format!("{at}: {results} results, {} at the cancel", cancelled.results);
            violations.push((Rule::CancelledJobStops, what));
        }
    }
}

fn check_calls(history: &History, violations: &mut Vec<(Rule, String)>) {
    let mut keys: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in &history.calls {
        keys.entry(&call.key).or_default().push(call);
        if let Outcome::Answered(Some(mismatch)) = &call.outcome {
            violations.push((Rule::CorrectAnswer, format!("{}: {mismatch}", call.id)));
        }
        let ran = history.count_runs(|run| run == call.id).started;
        if matches!(call.outcome, Outcome::NotRun(_)) && ran > 0 {
            violations.push((Rule::NotRunMeansNoRun, format!("{:?}, but {ran} runs", call)));
        }
    }
    for (key, calls) in keys {
        check_key(history, key, &calls, violations);
    }
}

fn check_key(history: &History, key: &str, calls: &[&Call], violations: &mut Vec<(Rule, String)>) {
    let ids: BTreeSet<&str> = calls.iter().map(|call| call.id.as_str()).collect();
    let counts = history.count_runs(|run| run == key || ids.contains(run));
    let trials = history.trials.iter().filter(|id| ids.contains(&***id)).count() as u64;
    let not_run = |call: &&Call| matches!(call.outcome, Outcome::NotRun(_) | Outcome::Refused);
    if calls.iter().all(not_run) && counts.started > 0 {
        let what = format!("{key}: {} runs, although no call ran", counts.started);
        violations.push((Rule::NotRunMeansNoRun, what));
    }
    match calls[0].kind {
        CallKind::NonIdempotentChat | CallKind::NonIdempotentService if counts.started > 1 => {
            violations.push((Rule::AtMostOnce, format!("{key} ran {} times", counts.started)));
        }
        CallKind::Poison if counts.crashed > POISON_LIMIT + trials.min(MAX_TRIALS) => {
            let what =
                format!("{key} killed {} engines, {trials} trials: {calls:?}", counts.crashed);
            violations.push((Rule::PoisonLimit, what));
        }
        _ => {}
    }
}

fn check_generations(history: &History, violations: &mut Vec<(Rule, String)>) {
    let Some(highest) = history.published.iter().max() else { return };
    for (node, generation) in &history.final_generations {
        if generation.as_ref() != Some(highest) {
            let what = format!("{node} reports {generation:?}, published is {highest}");
            violations.push((Rule::GenerationsConverge, what));
        }
    }
    for reported in &history.reported {
        if !reported.generations.is_sorted() {
            let what = format!("{reported:?}");
            violations.push((Rule::GenerationsIncrease, what));
        }
    }
}
