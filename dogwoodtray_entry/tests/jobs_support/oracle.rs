//! Checks of the stored results against the observations of agents and callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_entry::jobs::Counts;
use dogwoodtray_entry::jobs::ItemOutcome;
use dogwoodtray_entry::jobs::ItemResult;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::JobState;
use dogwoodtray_entry::jobs::Reason;

use super::Simulation;

/// Time after an acknowledged cancellation in which items may still start if all notifications are
/// lost.
const CANCEL_BOUND: Duration = Duration::from_secs(5);

/// Expected properties of a job, as known to its callers.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) job: Name,
    pub(crate) items: u32,
    pub(crate) idempotent: bool,
    /// Time of the acknowledged cancellation and the counts it returned.
    pub(crate) cancelled: Option<(Timestamp, Counts)>,
}

/// Reads the results of a job through a process.
pub(crate) fn results(
    sim: &mut Simulation,
    index: usize,
    job: &Name,
) -> (Option<JobState>, Vec<ItemResult>) {
    let job = Name::clone(job);
    let token = sim.request(index, |token| JobEvent::Results { token, job });
    sim.run_until(Duration::from_secs(60), "results", |sim| {
        sim.reply(token).is_some_and(|(_, reply)| !matches!(reply, JobReply::ResultsPart(_)))
    });
    let mut all = Vec::new();
    let mut state = None;
    for (_, reply) in &sim.replies[&token] {
        match reply {
            JobReply::ResultsPart(part) => all.extend(part.iter().cloned()),
            JobReply::ResultsEnd { state: last } => state = Some(*last),
            _ => {}
        }
    }
    (state, all)
}

/// Returns the violations found for a job, reading its results through a process.
pub(crate) fn check(sim: &mut Simulation, index: usize, expected: &Expected) -> Vec<String> {
    let (state, results) = results(sim, index, &expected.job);
    let mut violations = Vec::new();
    if !matches!(state, Some(JobState::Finished | JobState::Cancelled)) {
        violations.push(format!("the job has not ended: {state:?}"));
    }
    let mut seen = BTreeSet::new();
    for result in &results {
        if !seen.insert(result.item) {
            violations.push(format!("item {} has two results", result.item));
        }
        if *result.custom_id != format!("id-{}", result.item) {
            violations.push(format!("item {} has the id {}", result.item, result.custom_id));
        }
    }
    if seen.len() != expected.items as usize {
        violations.push(format!("{} of {} items have a result", seen.len(), expected.items));
    }
    check_runs(sim, expected, &results, &mut violations);
    check_counts(sim, expected, &results, &mut violations);
    check_cancel(sim, expected, &mut violations);
    violations
}

/// Waits until a job that was not cancelled ends and asserts that it has no violations.
pub(crate) fn assert_clean(
    sim: &mut Simulation,
    index: usize,
    job: &Name,
    items: u32,
    idempotent: bool,
) {
    let limit = Duration::from_secs(900);
    sim.run_until(limit, "ended", |sim| sim.header(job).unwrap().state != JobState::Open);
    let expected = Expected { job: Name::clone(job), items, idempotent, cancelled: None };
    assert_eq!(check(sim, index, &expected), Vec::<String>::new());
}

fn check_runs(
    sim: &Simulation,
    expected: &Expected,
    results: &[ItemResult],
    violations: &mut Vec<String>,
) {
    let mut runs: BTreeMap<u32, Vec<_>> = BTreeMap::new();
    for run in sim.agents.runs.iter().filter(|run| run.job == expected.job) {
        runs.entry(run.item).or_default().push(run);
    }
    for (item, runs) in &runs {
        if !expected.idempotent && runs.len() > 1 {
            violations.push(format!("item {item} ran {} times", runs.len()));
        }
    }
    for result in results {
        let runs = runs.get(&result.item).map_or(&[][..], |runs| runs);
        let item = result.item;
        match &result.outcome {
            ItemOutcome::Done { body, .. } => {
                if !runs.iter().any(|run| run.answer.as_ref() == Some(body)) {
                    violations
                        .push(format!("no agent returned the answer recorded for item {item}"));
                }
            }
            ItemOutcome::Cancelled { may_have_run: false }
            | ItemOutcome::Failed { reason: Reason::Deadline | Reason::ServiceClosed, .. } => {
                if !expected.idempotent && !runs.is_empty() {
                    violations.push(format!("item {item} ran but is recorded as not run"));
                }
            }
            ItemOutcome::Cancelled { .. } | ItemOutcome::Failed { .. } => {}
        }
    }
}

fn check_counts(
    sim: &Simulation,
    expected: &Expected,
    results: &[ItemResult],
    violations: &mut Vec<String>,
) {
    let Some(header) = sim.header(&expected.job) else {
        violations.push("the header does not exist".to_owned());
        return;
    };
    let count = |test: fn(&ItemOutcome) -> bool| {
        results.iter().filter(|result| test(&result.outcome)).count() as u32
    };
    let counted = Counts {
        items: expected.items,
        done: count(|outcome| matches!(outcome, ItemOutcome::Done { .. })),
        failed: count(|outcome| matches!(outcome, ItemOutcome::Failed { .. })),
        cancelled: count(|outcome| matches!(outcome, ItemOutcome::Cancelled { .. })),
    };
    if counted != header.counts {
        violations.push(format!("counts are {:?}, results give {counted:?}", header.counts));
    }
}

fn check_cancel(sim: &Simulation, expected: &Expected, violations: &mut Vec<String>) {
    let Some((at, counts)) = expected.cancelled else {
        return;
    };
    let header = sim.header(&expected.job);
    if header.as_ref().is_none_or(|header| header.counts != counts) {
        violations.push("an outcome was recorded after the cancellation".to_owned());
    }
    // The additional tick covers attempts in flight to an agent and the clock resolution.
    let bound = at + CANCEL_BOUND + super::TICK;
    for run in sim.agents.runs.iter().filter(|run| run.job == expected.job && run.at > bound) {
        violations.push(format!("item {} started at {} after a cancel at {at}", run.item, run.at));
    }
}
