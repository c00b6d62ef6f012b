//! Tests that the oracle of the chaos test detects each kind of violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "some fields are only printed with a violation")]

#[path = "chaos_support/history.rs"]
mod history;
#[path = "chaos_support/oracle.rs"]
mod oracle;

use std::collections::BTreeMap;

use history::Call;
use history::CallKind;
use history::Cancellation;
use history::Drain;
use history::GenerationReport;
use history::History;
use history::Job;
use history::JobView;
use history::Outcome;
use history::ResultLine;
use history::RunCounts;
use history::Runs;
use oracle::Rule;

/// A rule and a change to a valid history that violates it.
type BrokenRule = (Rule, fn(&mut History));

fn call(kind: CallKind, id: &str, outcome: Outcome) -> Call {
    let key = id.split('.').next().unwrap().to_owned();
    Call { id: id.to_owned(), key, kind, entry: 0, began_ms: 0, ended_ms: 1, outcome }
}

fn line(custom_id: &str, outcome: &str) -> ResultLine {
    ResultLine { custom_id: custom_id.to_owned(), outcome: outcome.to_owned(), mismatch: None }
}

fn job(id: &str, cancelled: Option<Cancellation>, lines: Vec<ResultLine>) -> Job {
    let status = if cancelled.is_some() { "cancelled" } else { "completed" }.to_owned();
    let items = lines.iter().map(|line| line.custom_id.clone()).collect();
    let views = vec![JobView { entry: 0, status, lines }];
    Job { id: id.to_owned(), items, idempotent: false, cancelled, views }
}

fn runs(entries: &[(&str, u64, u64)]) -> Runs {
    let counts = |started, crashed| RunCounts { started, crashed, finished: 1, cancelled: 0 };
    entries
        .iter()
        .map(|(key, started, crashed)| ((*key).to_owned(), counts(*started, *crashed)))
        .collect()
}

/// Returns the history of a run without violations.
fn valid_history() -> History {
    let cancelled = Some(Cancellation { results: 1, runs_started: Some(1) });
    History {
        calls: vec![
            call(CallKind::Online, "o0.0", Outcome::Answered(None)),
            call(CallKind::NonIdempotentChat, "n0.0", Outcome::Broken),
            call(CallKind::NonIdempotentChat, "n0.1", Outcome::NotRun("outage".to_owned())),
            call(CallKind::NonIdempotentChat, "n0.2", Outcome::Answered(None)),
            call(CallKind::NonIdempotentService, "s0.0", Outcome::NotRun("outage".to_owned())),
            call(CallKind::Poison, "p0.0", Outcome::Failed("quarantined".to_owned())),
        ],
        jobs: vec![
            job("j0", None, vec![line("a", "done"), line("b", "unknown")]),
            job("j1", cancelled, vec![line("a", "done"), line("b", "cancelled")]),
        ],
        runs: BTreeMap::from([
            ("engine-0".to_owned(), runs(&[("o0.0", 1, 0), ("j0.0", 1, 0), ("p0.0", 1, 1)])),
            ("engine-1".to_owned(), runs(&[("n0.0", 1, 0), ("j1.0", 1, 0), ("p0.0", 1, 1)])),
        ]),
        published: vec![1, 2],
        reported: vec![GenerationReport {
            node: "entry-0".to_owned(),
            incarnation: "ab".to_owned(),
            generations: vec![0, 1, 2],
        }],
        final_generations: vec![("entry-0".to_owned(), Some(2))],
        drains: vec![Drain {
            node: "entry-0".to_owned(),
            exit_code: Some(0),
            interrupted: Vec::new(),
            ended_early: Vec::new(),
            cancelled_hedges: 0,
            cancelled_jobs: Vec::new(),
        }],
        panics: Vec::new(),
        trials: Vec::new(),
        probes: vec![call(CallKind::Online, "o1.0", Outcome::Answered(None))],
    }
}

fn first_lines(history: &mut History) -> &mut Vec<ResultLine> {
    &mut history.jobs[0].views[0].lines
}

fn add_run(history: &mut History, run: &str, crashed: u64) {
    let counts = RunCounts { started: 1, crashed, ..RunCounts::default() };
    history.runs.insert("engine-2".to_owned(), BTreeMap::from([(run.to_owned(), counts)]));
}

/// Guards against an oracle that accepts a history that violates a rule.
#[test]
fn each_broken_rule_is_detected() {
    assert_eq!(oracle::check(&valid_history()), []);
    let cases: &[BrokenRule] = &[
        (Rule::JobFinishes, |h| h.jobs[0].views[0].status = "in_progress".to_owned()),
        (Rule::OneResultPerItem, |h| drop(first_lines(h).pop())),
        (Rule::OneResultPerItem, |h| first_lines(h).push(line("a", "done"))),
        (Rule::CorrectResult, |h| first_lines(h)[0].mismatch = Some("wrong".to_owned())),
        (Rule::CorrectResult, |h| first_lines(h)[0].outcome = "cancelled".to_owned()),
        (Rule::CancelledJobStops, |h| add_run(h, "j1.1", 0)),
        (Rule::CancelledJobStops, |h| h.jobs[1].views[0].lines[1].outcome = "done".to_owned()),
        (Rule::CorrectAnswer, |h| h.calls[0].outcome = Outcome::Answered(Some("short".to_owned()))),
        (Rule::NotRunMeansNoRun, |h| h.calls[0].outcome = Outcome::NotRun("busy".to_owned())),
        (Rule::NotRunMeansNoRun, |h| add_run(h, "s0", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "n0.2", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "n0.0", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "j0.0", 0)),
        (Rule::PoisonLimit, |h| add_run(h, "p0.0", 1)),
        (Rule::PoisonLimit, |h| {
            // The trial of another request excuses nothing.
            h.trials = vec!["o0.0".to_owned()];
            add_run(h, "p0.0", 1);
        }),
        (Rule::PoisonLimit, |h| {
            h.trials = vec!["p0.0".to_owned(); 2];
            add_run(h, "p0.0", 2);
        }),
        (Rule::GenerationsConverge, |h| h.final_generations[0].1 = Some(1)),
        (Rule::GenerationsConverge, |h| h.final_generations[0].1 = None),
        (Rule::GenerationsIncrease, |h| h.reported[0].generations.push(1)),
        (Rule::DrainExitsCleanly, |h| h.drains[0].exit_code = None),
        (Rule::DrainInterruptsNothing, |h| h.drains[0].interrupted.push("n0.0".to_owned())),
        (Rule::DrainInterruptsNothing, |h| h.drains[0].ended_early.push("n0.0".to_owned())),
        (Rule::DrainInterruptsNothing, |h| h.drains[0].ended_early.push("j1.0".to_owned())),
        (Rule::ServesAfterFaults, |h| h.probes[0].outcome = Outcome::TimedOut),
        (Rule::NoPanic, |h| h.panics.push("panicked at".to_owned())),
    ];
    for (rule, break_rule) in cases {
        let mut history = valid_history();
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

/// Guards against a violation for items that a draining agent may preempt, when their caller learned
/// of the job only after the drain.
#[test]
fn preempted_items_of_idempotent_jobs_are_allowed() {
    let mut history = valid_history();
    history.jobs[0].idempotent = true;
    // An item of an idempotent job must not end as unknown.
    for view in &mut history.jobs[0].views {
        view.lines.iter_mut().for_each(|line| line.outcome = "done".to_owned());
    }
    history.drains[0].ended_early.push("j0.0".to_owned());
    assert_eq!(oracle::check(&history), []);
}

/// Guards against an oracle that reports the crash of an endpoint by a trial.
#[test]
fn one_trial_of_a_blocked_request_is_accepted() {
    let mut history = valid_history();
    history.trials = vec!["p0.0".to_owned()];
    add_run(&mut history, "p0.0", 1);
    assert_eq!(oracle::check(&history), []);
}
