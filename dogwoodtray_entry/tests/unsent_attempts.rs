//! Permissions that were given for attempts which were never sent, in virtual time.

mod core_support;

use std::time::Duration;

use dogwoodtray_entry::online::AttemptOutcome;
use dogwoodtray_entry::online::NotRunReason;
use dogwoodtray_entry::online::OnlineEvent;

use crate::core_support::Entry;
use crate::core_support::STEP;
use crate::core_support::online;

/// Time in which the retry budget fills up.
const FILL: Duration = Duration::from_secs(11);

/// Number of retries in the full budget.
const RETRIES: u64 = 100;

/// Guards against requests that are not retried because retries of others, which found no endpoint or
/// were not forwarded, used up the budget.
#[test]
fn retries_that_are_not_sent_leave_the_budget_to_others() {
    for is_forwarded in [false, true] {
        let mut entry = Entry::new();
        entry.run(FILL);
        for number in 0..RETRIES {
            let request = entry.submit_online(&online(1 + number, 0));
            let attempt = entry.running.last().expect("the request runs").attempt;
            if !is_forwarded {
                entry.set_links(false);
            }
            entry.done(attempt, AttemptOutcome::Failed);
            if is_forwarded {
                let retry = entry.running.last().expect("it is retried").attempt;
                entry.set_links(false);
                entry.done(retry, AttemptOutcome::NotRun(NotRunReason::Busy));
            }
            entry.handle(OnlineEvent::CallerDisconnected { request });
            entry.set_links(true);
        }
        entry.submit_online(&online(1 + RETRIES, 0));
        let attempt = entry.running.last().expect("the request runs").attempt;
        entry.done(attempt, AttemptOutcome::Failed);
        let is_retried = entry.running.iter().any(|running| running.attempt != attempt);
        assert!(is_retried, "forwarded to an agent: {is_forwarded}: {:?}", entry.ended);
    }
}

/// Guards against slow requests that get no second attempt, because agents did not run those of others.
#[test]
fn hedges_that_are_not_run_leave_the_budget_to_others() {
    const SAMPLES: u64 = 200;
    const SLOW_REQUESTS: u64 = 20;
    let mut entry = Entry::new();
    for number in 0..SAMPLES {
        entry.submit_online(&online(1 + number, 0));
        let attempt = entry.running.last().expect("the request runs").attempt;
        entry.complete(attempt);
    }
    for number in 0..SLOW_REQUESTS {
        let request = entry.submit_online(&online(1_000 + number, 0));
        let first = entry.running.last().expect("the request runs").attempt;
        entry.run(STEP * 5);
        let hedge = entry.running.last().expect("it runs").attempt;
        assert_ne!(hedge, first, "slow request {number} is not hedged");
        entry.done(hedge, AttemptOutcome::NotRun(NotRunReason::Busy));
        entry.handle(OnlineEvent::CallerDisconnected { request });
        for running in entry.running.clone() {
            entry.done(running.attempt, AttemptOutcome::Cancelled);
        }
    }
}
