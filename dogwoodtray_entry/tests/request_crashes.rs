//! Online requests that are present when endpoints crash, in virtual time.

mod core_support;

use std::time::Duration;

use dogwoodtray_entry::online::OnlineEvent;
use dogwoodtray_entry::online::RequestEnd;

use crate::core_support::Entry;
use crate::core_support::STEP;
use crate::core_support::exchange_evidence;
use crate::core_support::online;

/// Time for which a request that was present at two crashes does not run again.
const MIN_HELD: Duration = Duration::from_secs(10);

/// Time after which a request runs again although it was present at crashes.
const MAX_HELD: Duration = Duration::from_secs(20);

/// Time from a crash of an endpoint until it serves again.
const RESTART: Duration = Duration::from_millis(200);

/// Guards against an innocent request that is never run again because two endpoints crashed while it
/// ran, and against one that is held after it was answered.
#[test]
fn a_request_that_ran_at_two_crashes_is_tried_again_and_cleared_by_its_answer() {
    let mut entry = Entry::new();
    let spec = online(1, 0);
    entry.submit_online(&spec);
    for _ in 0..2 {
        let running = *entry.running.last().expect("the request runs");
        entry.tick();
        entry.crash_endpoint(running.link);
    }
    entry.run(STEP * 5);
    assert!(entry.running.is_empty(), "it runs a third time at once");
    let refused = entry.submit_online(&spec);
    let (number, end) = entry.ended.pop().expect("it is refused at once");
    let RequestEnd::NotRun { retry_after: Some(retry_after), .. } = end else {
        panic!("not refused as not run: {end:?}");
    };
    assert_eq!(number, refused);
    assert!(retry_after > MIN_HELD && retry_after <= MAX_HELD, "{retry_after:?}");
    entry.run(MAX_HELD);
    for _ in 0..2 {
        let request = entry.submit_online(&spec);
        let running = *entry.running.last().expect("the request runs again");
        entry.tick();
        entry.complete(running.attempt);
        let answered = |(number, end): &(_, RequestEnd)| {
            *number == request && matches!(end, RequestEnd::Answered { .. })
        };
        assert!(entry.ended.iter().any(answered), "{:?}", entry.ended);
    }
}

/// Guards against requests that wait for each other after the crash of one endpoint, because each of
/// them may have caused it.
#[test]
fn all_requests_of_a_crashed_endpoint_run_again_at_once() {
    const REQUESTS: u64 = 30;
    let mut entry = Entry::new();
    // Fills the retry budget.
    entry.run(Duration::from_secs(10));
    for number in 0..REQUESTS {
        entry.submit_online(&online(1 + number, 0));
    }
    let link = entry.running[0].link;
    entry.tick();
    for running in entry.running.clone() {
        entry.output(running.attempt);
    }
    entry.crash_endpoint(link);
    entry.run(STEP);
    assert_eq!(entry.running.len() as u64, REQUESTS, "{:?}", entry.ended);
}

/// Guards against a request that crashes two endpoints for each entry through which its caller sends
/// it.
#[test]
fn a_request_that_is_sent_through_two_entries_crashes_two_endpoints() {
    let (mut first, mut second) = (Entry::new(), Entry::new());
    let spec = online(1, 0);
    let mut crashes = 0;
    for _ in 0..10 {
        let request = first.submit_online(&spec);
        first.tick();
        second.tick();
        // The caller gives up and sends it through the other entry.
        first.handle(OnlineEvent::CallerDisconnected { request });
        if let Some(running) = first.running.last().copied() {
            first.crash_endpoint(running.link);
            crashes += 1;
        }
        exchange_evidence(&mut first, &mut second);
        first.run(RESTART);
        second.run(RESTART);
        std::mem::swap(&mut first, &mut second);
    }
    assert_eq!(crashes, 2);
}
