//! Judges a run from its history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::history::Call;
use super::history::CallKind;
use super::history::History;
use super::history::Job;
use super::history::JobView;
use super::history::Outcome;

/// What a violation breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    JobFinishes,
    OneResultPerItem,
    RightItem,
    CancelledJobStops,
    RightAnswer,
    NotRunIsTrue,
    AtMostOnce,
    PoisonKillsTwo,
    OneGeneration,
    GenerationGrows,
    DrainCutsNothing,
    DrainEnds,
    NoPanic,
    ServesAgain,
}

/// Most engines that one request may kill.
const POISON_LIMIT: u64 = 2;

/// Ends that the design allows for an item of a job that was not cancelled.
const ENDS: &[&str] = &["done", "attempts_exhausted", "quarantined"];
/// A non-idempotent item may also end so, because it is not run again.
const ENDS_ONCE: &[&str] = &["done", "attempts_exhausted", "quarantined", "unknown"];

/// Returns all violations.
pub(crate) fn check(history: &History) -> Vec<(Rule, String)> {
    let mut found = Vec::new();
    for job in &history.jobs {
        check_job(history, job, &mut found);
    }
    check_calls(history, &mut found);
    check_generations(history, &mut found);
    for drained in &history.drained {
        if drained.exit != Some(0) {
            let what = format!("{} ended with {:?}", drained.node, drained.exit);
            found.push((Rule::DrainEnds, what));
        }
        let cut = drained.cut.iter().map(|cut| format!("{}: {cut}", drained.node));
        found.extend(cut.map(|what| (Rule::DrainCutsNothing, what)));
    }
    let failed = history.probes.iter().filter(|call| call.outcome != Outcome::Answered(None));
    found.extend(failed.map(|call| (Rule::ServesAgain, format!("{call:?}"))));
    found.extend(history.panics.iter().map(|line| (Rule::NoPanic, line.clone())));
    found
}

fn check_job(history: &History, job: &Job, found: &mut Vec<(Rule, String)>) {
    for view in &job.views {
        check_view(job, view, found);
    }
    let prefix = format!("{}.", job.id);
    if !job.idempotent {
        for index in 0..job.items.len() {
            let key = format!("{prefix}{index}");
            let started = history.count(|run| run == key).started;
            if started > 1 {
                found.push((Rule::AtMostOnce, format!("item {key} ran {started} times")));
            }
        }
    }
    let Some(before) = job.cancelled.as_ref().and_then(|cancelled| cancelled.starts) else {
        return;
    };
    let started = history.count(|run| run.starts_with(&prefix)).started;
    if started > before {
        let what = format!("job {}: {} items started after it", job.id, started - before);
        found.push((Rule::CancelledJobStops, what));
    }
}

fn check_view(job: &Job, view: &JobView, found: &mut Vec<(Rule, String)>) {
    let at = format!("job {} at entry {}", job.id, view.entry);
    let expected = if job.cancelled.is_some() { "cancelled" } else { "completed" };
    if view.status != expected {
        found.push((Rule::JobFinishes, format!("{at}: {} instead of {expected}", view.status)));
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
        found.push((Rule::OneResultPerItem, what));
    }
    let ends = if job.idempotent { ENDS } else { ENDS_ONCE };
    for line in &view.lines {
        let allowed = ends.contains(&line.end.as_str())
            || (job.cancelled.is_some() && line.end == "cancelled");
        if line.fault.is_some() || !allowed {
            let what = format!("{at}: item {} {} {:?}", line.custom_id, line.end, line.fault);
            found.push((Rule::RightItem, what));
        }
    }
    if let Some(cancelled) = &job.cancelled {
        let results = view.lines.iter().filter(|line| line.end != "cancelled").count() as u64;
        if results > cancelled.results {
            let what = format!("{at}: {results} results, {} at the cancel", cancelled.results);
            found.push((Rule::CancelledJobStops, what));
        }
    }
}

fn check_calls(history: &History, found: &mut Vec<(Rule, String)>) {
    let mut keys: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in &history.calls {
        keys.entry(&call.key).or_default().push(call);
        if let Outcome::Answered(Some(fault)) = &call.outcome {
            found.push((Rule::RightAnswer, format!("{}: {fault}", call.id)));
        }
        let ran = history.count(|run| run == call.id).started;
        if matches!(call.outcome, Outcome::NotRun(_)) && ran > 0 {
            found.push((Rule::NotRunIsTrue, format!("{:?}, but {ran} runs", call)));
        }
    }
    for (key, calls) in keys {
        check_key(history, key, &calls, found);
    }
}

fn check_key(history: &History, key: &str, calls: &[&Call], found: &mut Vec<(Rule, String)>) {
    let ids: BTreeSet<&str> = calls.iter().map(|call| call.id.as_str()).collect();
    let counts = history.count(|run| run == key || ids.contains(run));
    let not_run = |call: &&Call| matches!(call.outcome, Outcome::NotRun(_) | Outcome::Refused);
    if calls.iter().all(not_run) && counts.started > 0 {
        let what = format!("{key}: {} runs, although no call ran", counts.started);
        found.push((Rule::NotRunIsTrue, what));
    }
    match calls[0].kind {
        CallKind::OnceChat | CallKind::OnceService if counts.started > 1 => {
            found.push((Rule::AtMostOnce, format!("{key} ran {} times", counts.started)));
        }
        CallKind::Poison if counts.crashed > POISON_LIMIT => {
            let what = format!("{key} killed {} engines: {calls:?}", counts.crashed);
            found.push((Rule::PoisonKillsTwo, what));
        }
        _ => {}
    }
}

fn check_generations(history: &History, found: &mut Vec<(Rule, String)>) {
    let Some(highest) = history.published.iter().max() else { return };
    for (node, generation) in &history.settled {
        if generation.as_ref() != Some(highest) {
            let what = format!("{node} reports {generation:?}, published is {highest}");
            found.push((Rule::OneGeneration, what));
        }
    }
    for reported in &history.reported {
        if !reported.generations.is_sorted() {
            let what = format!("{reported:?}");
            found.push((Rule::GenerationGrows, what));
        }
    }
}
