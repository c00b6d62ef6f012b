//! Trials of a blocked request by entries: the ways in which they can end, in virtual time.

mod core_support;

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_entry::online::AttemptOutcome;
use dogwoodtray_entry::online::NotRunReason;
use dogwoodtray_entry::online::OnlineEvent;

use crate::core_support::Entry;
use crate::core_support::STEP;
use crate::core_support::exchange_evidence;
use crate::core_support::item;
use crate::core_support::online;

/// Time after which the first trial of a blocked request is due.
const FIRST_TRIAL: Duration = Duration::from_secs(16);

/// Time after which the next trial is due if the last one told nothing: a pause of 1 s, and the spread
/// between entries. It is 30 s after a crash.
const NEXT_TRIAL: Duration = Duration::from_millis(1_500);

/// Time after which the trial of a lost entry lapses.
const LEASE: Duration = Duration::from_secs(3);

/// Trials that may reach endpoints.
const BUDGET: usize = 3;

/// Creates an entry in which request 1 is blocked and may be tried.
fn blocked() -> Entry {
    let mut entry = Entry::new();
    entry.submit_online(&online(1, 0));
    for _ in 0..2 {
        let running = *entry.running.last().expect("the request runs");
        entry.tick();
        entry.crash_endpoint(running.link);
    }
    entry.run(FIRST_TRIAL);
    assert!(entry.running.is_empty());
    entry
}

/// Sends request 1 again and again, and returns the time until it runs.
fn runs_after(entry: &mut Entry) -> Duration {
    let started = entry.now;
    for _ in 0..400 {
        let request = entry.submit_online(&online(1, 0));
        if !entry.running.is_empty() {
            break;
        }
        entry.tick();
        entry.handle(OnlineEvent::CallerDisconnected { request });
        if !entry.running.is_empty() {
            break;
        }
    }
    entry.now - started
}

/// Starts a trial that is due.
fn start_trial(entry: &mut Entry) -> AttemptId {
    entry.submit_online(&online(1, 0));
    assert_eq!(entry.running.len(), 1, "the trial is not due");
    entry.running[0].attempt
}

/// Guards against a trial that is spent while its request waits for a place.
#[test]
fn a_trial_without_a_place_is_not_spent() {
    let mut entry = blocked();
    entry.set_links(false);
    let request = entry.submit_online(&online(1, 0));
    entry.run(STEP * 5);
    assert!(entry.running.is_empty());
    entry.handle(OnlineEvent::CallerDisconnected { request });
    entry.set_links(true);
    start_trial(&mut entry);
}

/// Guards against a trial that its own next attempt may not use after an agent did not forward it, and
/// against one that is spent when its caller leaves then.
#[test]
fn a_trial_that_is_not_forwarded_is_used_by_its_next_attempt_or_given_back() {
    let mut entry = blocked();
    let request = entry.submit_online(&online(1, 0));
    for _ in 0..5 {
        let attempt = entry.running.last().expect("its next attempt is sent").attempt;
        entry.done(attempt, AttemptOutcome::NotRun(NotRunReason::Busy));
        entry.run(STEP * 2);
    }
    let attempt = entry.running[0].attempt;
    entry.handle(OnlineEvent::CallerDisconnected { request });
    entry.done(attempt, AttemptOutcome::NotRun(NotRunReason::Busy));
    let waited = runs_after(&mut entry);
    assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
}

/// Guards against requests that wait long after a trial that told nothing.
#[test]
fn a_trial_that_tells_nothing_delays_the_next_by_a_pause() {
    let outcomes = [
        AttemptOutcome::Failed,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Preempted,
        AttemptOutcome::Unknown,
        AttemptOutcome::Answered { status: 500 },
    ];
    for outcome in outcomes {
        let mut entry = blocked();
        let request = entry.submit_online(&online(1, 0));
        let attempt = entry.running.last().expect("the trial runs").attempt;
        entry.handle(OnlineEvent::CallerDisconnected { request });
        entry.done(attempt, outcome);
        let waited = runs_after(&mut entry);
        assert!(waited <= NEXT_TRIAL, "{outcome:?}: it waited {waited:?}");
    }
}

/// Guards against items that wait long after a trial that was not forwarded.
#[test]
fn an_item_whose_trial_is_not_forwarded_delays_the_next_by_a_pause() {
    let mut entry = blocked();
    let attempt = entry.submit(&item(1, 0)).expect("the trial is due");
    entry.done(attempt, AttemptOutcome::NotRun(NotRunReason::Busy));
    let started = entry.now;
    while entry.submit(&item(1, 0)).is_none() && entry.now - started < FIRST_TRIAL {
        entry.tick();
    }
    let waited = entry.now - started;
    assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
}

/// Guards against more trials than the budget because they told nothing, and against further trials
/// after a crash.
#[test]
fn trials_that_may_have_run_count_against_the_budget() {
    let error = AttemptOutcome::Answered { status: 500 };
    let ends = [(AttemptOutcome::Failed, BUDGET), (error, BUDGET), (AttemptOutcome::Crashed, 1)];
    for (outcome, expected) in ends {
        let mut entry = blocked();
        let mut trials = 0;
        for _ in 0..200 {
            let request = entry.submit_online(&online(1, 0));
            if let Some(running) = entry.running.last().copied() {
                trials += 1;
                entry.handle(OnlineEvent::CallerDisconnected { request });
                entry.done(running.attempt, outcome);
            }
            entry.tick();
            entry.handle(OnlineEvent::CallerDisconnected { request });
            let late: Vec<AttemptId> = entry.running.iter().map(|run| run.attempt).collect();
            for attempt in late {
                trials += 1;
                entry.done(attempt, outcome);
            }
        }
        assert_eq!(trials, expected, "{outcome:?}");
    }
}

/// Guards against a second trial through another entry, and against one that stays with an entry that
/// was lost.
#[test]
fn the_trial_of_a_lost_entry_lapses_at_the_others() {
    let (mut first, mut second) = (blocked(), Entry::new());
    second.now = first.now;
    let known = first.core.evidence_mut().known();
    second.core.evidence_mut().merge(second.now, known);
    start_trial(&mut first);
    let still_held = LEASE * 2;
    for _ in 0..still_held.as_millis() / STEP.as_millis() {
        first.tick();
        second.tick();
        exchange_evidence(&mut first, &mut second);
        let request = second.submit_online(&online(1, 0));
        assert!(second.running.is_empty(), "a second trial started");
        second.handle(OnlineEvent::CallerDisconnected { request });
    }
    let waited = runs_after(&mut second);
    assert!(waited > LEASE - NEXT_TRIAL && waited <= LEASE + NEXT_TRIAL, "it waited {waited:?}");
}
