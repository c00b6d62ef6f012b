//! Items of jobs that crash the endpoints that begin to run them, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod core_support;

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;

use crate::core_support::Entry;
use crate::core_support::item;

/// Time in which an item that is not held runs more than a hundred times.
const OBSERVED: Duration = Duration::from_secs(60);

/// Crashes by items with a common prefix, and further runs of them.
const MAX_RUNS: u32 = 5 + 3;

/// Time after which an item runs again although its prefix is blocked.
const MAX_HELD: Duration = Duration::from_secs(20);

/// Guards against items that crash one endpoint after the other, by themselves or by their prefix,
/// and against items that are not tried again, or not run after their prefix was cleared.
#[test]
fn items_that_crash_endpoints_are_held_and_tried_rarely() {
    for (first, second) in [(item(1, 0), item(1, 0)), (item(1, 9), item(2, 9))] {
        let mut entry = Entry::new();
        let (mut runs, mut held_since) = (0, None);
        let mut longest_held = Duration::ZERO;
        while entry.now < Timestamp::ZERO + OBSERVED {
            for spec in [&first, &second] {
                if let Some(attempt) = entry.submit(spec) {
                    runs += 1;
                    entry.tick();
                    entry.crash(attempt);
                    held_since = None;
                }
            }
            entry.tick();
            let held = entry.now - *held_since.get_or_insert(entry.now);
            longest_held = longest_held.max(held);
        }
        assert!(runs <= MAX_RUNS, "{runs} runs");
        assert!(longest_held <= MAX_HELD, "not tried for {longest_held:?}");
        let sound = item(3, 7);
        assert!(entry.submit(&sound).is_some(), "an item with another prefix is held");
        let trial = loop {
            entry.tick();
            if let Some(attempt) = entry.submit(&first) {
                break attempt;
            }
        };
        entry.tick();
        entry.complete(trial);
        assert!(entry.submit(&second).is_some(), "it is held after its content was cleared");
    }
}

/// Guards against an item that is held because endpoints crashed by chance while they ran it.
#[test]
fn an_item_under_which_endpoints_crash_with_others_is_not_held() {
    let mut entry = Entry::new();
    let spec = item(1, 9);
    for round in 0..8 {
        let attempt = entry.submit(&spec).unwrap_or_else(|| panic!("held in round {round}"));
        let others: Vec<AttemptId> =
            (0..3).filter_map(|n| entry.submit(&item(100 + round * 10 + n, 20 + n))).collect();
        assert_eq!(others.len(), 3, "an item beside it is held in round {round}");
        entry.tick();
        for attempt in others.iter().chain([&attempt]) {
            entry.output(*attempt);
        }
        entry.tick();
        for attempt in others.iter().chain([&attempt]) {
            entry.crash(*attempt);
        }
        entry.tick();
        entry.tick();
        entry.tick();
    }
}
