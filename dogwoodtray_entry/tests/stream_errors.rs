//! Streams that break off and go on at an endpoint that answers with an error, in virtual time.

mod core_support;

use std::time::Duration;

use dogwoodtray_entry::online::RequestEnd;

use crate::core_support::Entry;
use crate::core_support::TOKEN;
use crate::core_support::online;

/// Guards against the text of an error in the middle of a stream, and against a stream that looks
/// complete after it.
#[test]
fn an_error_of_the_next_endpoint_does_not_reach_a_stream_that_has_begun() {
    for status in [400, 404, 422, 429, 500, 503] {
        let mut entry = Entry::new();
        // Fills the retry budget.
        entry.run(Duration::from_secs(10));
        entry.submit_online(&online(1, 0));
        let first = entry.running[0].attempt;
        entry.output(first);
        entry.crash(first);
        let mut is_resumed = false;
        while entry.ended.is_empty() {
            entry.tick();
            let Some(next) = entry.running.first().copied() else { continue };
            is_resumed = true;
            entry.answer_with_error(next.attempt, status, "the model is overloaded");
        }
        assert!(is_resumed, "{status}: the stream is not resumed");
        assert_eq!(String::from_utf8_lossy(&entry.delivered), TOKEN, "{status}");
        let (_, end) = &entry.ended[0];
        assert!(matches!(end, RequestEnd::Unknown { .. }), "{status}: {end:?}");
    }
}
