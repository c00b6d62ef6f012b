//! Shows that the oracle of the failure runs finds each kind of violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "some fields are only printed with a violation")]

#[path = "chaos_support/history.rs"]
mod history;
#[path = "chaos_support/oracle.rs"]
mod oracle;

use std::collections::BTreeMap;

use history::Call;
use history::CallKind;
use history::Cancelled;
use history::Counts;
use history::Drained;
use history::History;
use history::Job;
use history::JobView;
use history::Line;
use history::Outcome;
use history::Reported;
use history::Runs;
use oracle::Rule;

/// A rule and a change of the records that breaks it.
type Falsified = (Rule, fn(&mut History));

fn call(kind: CallKind, id: &str, outcome: Outcome) -> Call {
    let key = id.split('.').next().unwrap().to_owned();
    Call { id: id.to_owned(), key, kind, entry: 0, began_ms: 0, ended_ms: 1, outcome }
}

fn line(custom_id: &str, end: &str) -> Line {
    Line { custom_id: custom_id.to_owned(), end: end.to_owned(), fault: None }
}

fn job(id: &str, cancelled: Option<Cancelled>, lines: Vec<Line>) -> Job {
    let status = if cancelled.is_some() { "cancelled" } else { "completed" }.to_owned();
    let items = lines.iter().map(|line| line.custom_id.clone()).collect();
    let views = vec![JobView { entry: 0, status, lines }];
    Job { id: id.to_owned(), items, idempotent: false, cancelled, views }
}

fn runs(of: &[(&str, u64, u64)]) -> Runs {
    let counts = |started, crashed| Counts { started, crashed, finished: 1, cancelled: 0 };
    of.iter()
        .map(|(key, started, crashed)| ((*key).to_owned(), counts(*started, *crashed)))
        .collect()
}

/// A run without a violation.
fn sound() -> History {
    let cancelled = Some(Cancelled { results: 1, starts: Some(1) });
    History {
        calls: vec![
            call(CallKind::Online, "o0.0", Outcome::Answered(None)),
            call(CallKind::OnceChat, "n0.0", Outcome::Broken),
            call(CallKind::OnceChat, "n0.1", Outcome::NotRun("outage".to_owned())),
            call(CallKind::OnceChat, "n0.2", Outcome::Answered(None)),
            call(CallKind::OnceService, "s0.0", Outcome::NotRun("outage".to_owned())),
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
        reported: vec![Reported {
            node: "entry-0".to_owned(),
            incarnation: "ab".to_owned(),
            generations: vec![0, 1, 2],
        }],
        settled: vec![("entry-0".to_owned(), Some(2))],
        drained: vec![Drained { node: "entry-0".to_owned(), exit: Some(0), cut: Vec::new() }],
        panics: Vec::new(),
        probes: vec![call(CallKind::Online, "o1.0", Outcome::Answered(None))],
    }
}

fn first_lines(history: &mut History) -> &mut Vec<Line> {
    &mut history.jobs[0].views[0].lines
}

fn add_run(history: &mut History, run: &str, crashed: u64) {
    let counts = Counts { started: 1, crashed, ..Counts::default() };
    history.runs.insert("engine-2".to_owned(), BTreeMap::from([(run.to_owned(), counts)]));
}

/// Guards against an oracle that passes whatever happened.
#[test]
fn each_falsified_record_is_found() {
    assert_eq!(oracle::check(&sound()), []);
    let falsified: &[Falsified] = &[
        (Rule::JobFinishes, |h| h.jobs[0].views[0].status = "in_progress".to_owned()),
        (Rule::OneResultPerItem, |h| drop(first_lines(h).pop())),
        (Rule::OneResultPerItem, |h| first_lines(h).push(line("a", "done"))),
        (Rule::RightItem, |h| first_lines(h)[0].fault = Some("wrong".to_owned())),
        (Rule::RightItem, |h| first_lines(h)[0].end = "cancelled".to_owned()),
        (Rule::CancelledJobStops, |h| add_run(h, "j1.1", 0)),
        (Rule::CancelledJobStops, |h| h.jobs[1].views[0].lines[1].end = "done".to_owned()),
        (Rule::RightAnswer, |h| h.calls[0].outcome = Outcome::Answered(Some("short".to_owned()))),
        (Rule::NotRunIsTrue, |h| h.calls[0].outcome = Outcome::NotRun("busy".to_owned())),
        (Rule::NotRunIsTrue, |h| add_run(h, "s0", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "n0.2", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "n0.0", 0)),
        (Rule::AtMostOnce, |h| add_run(h, "j0.0", 0)),
        (Rule::PoisonKillsTwo, |h| add_run(h, "p0.0", 1)),
        (Rule::OneGeneration, |h| h.settled[0].1 = Some(1)),
        (Rule::OneGeneration, |h| h.settled[0].1 = None),
        (Rule::GenerationGrows, |h| h.reported[0].generations.push(1)),
        (Rule::DrainEnds, |h| h.drained[0].exit = None),
        (Rule::DrainCutsNothing, |h| h.drained[0].cut.push("n0.0".to_owned())),
        (Rule::ServesAgain, |h| h.probes[0].outcome = Outcome::Silent),
        (Rule::NoPanic, |h| h.panics.push("panicked at".to_owned())),
    ];
    for (rule, falsify) in falsified {
        let mut history = sound();
        falsify(&mut history);
        let found: Vec<Rule> = oracle::check(&history).into_iter().map(|(rule, _)| rule).collect();
        assert!(!found.is_empty(), "{rule:?} was not found");
        assert!(found.iter().all(|other| other == rule), "{rule:?} was found as {found:?}");
    }
}
