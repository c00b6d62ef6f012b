//! Tests of endpoints that repeat, truncate or confuse their answers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use support::ScriptedFleet;
use support::error;
use support::head;
use support::run_local;
use support::stream;
use support::submission;
use support::wait_until;
use tokio::time::sleep;

/// Guards against a caller that is told that its request did not run, or a second run of it, because
/// an endpoint repeated its refusal of another request.
#[test]
fn a_refusal_of_another_request_does_not_count_as_not_run() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let (site, endpoints) = (&fleet.site, &fleet.ledgers);
        for status in [503, 429, 421, 400] {
            let other = format!(
                "HTTP/1.1 {status} X\r\nattempt-id: r0\r\nnot-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            endpoints.set(&[&other]);
            let response = site.post("/once/x", &format!("r{status}"), "payout").await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
            assert_eq!(endpoints.received.get(), 1, "{status}: it was sent again");
            // Both endpoints are avoided for a while after a failure.
            sleep(Duration::from_millis(900)).await;
        }
    });
}

/// Guards against the text of an error in the middle of a stream, and against a stream that looks
/// complete after it.
#[test]
fn an_error_of_the_next_endpoint_does_not_reach_a_stream_that_has_begun() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let (site, endpoints) = (&fleet.site, &fleet.engines);
        for status in [400, 404, 422, 429, 500, 503] {
            endpoints.set(&[&stream(1..=1, false), &error(status)]);
            let response = site.post("/resume/x", &format!("r{status}"), "slip").await;
            assert_eq!(response.status, StatusCode::OK, "{status}");
            assert_eq!(response.body, "id: 1\ndata: e1\n\n", "{status}");
            assert!(!response.complete, "{status}");
            sleep(Duration::from_millis(900)).await;
        }
    });
}

/// Guards against events that a caller receives twice or not at all, because the next endpoint does
/// not continue after the last event.
#[test]
fn a_stream_that_is_not_continued_after_its_last_event_breaks_off() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let (site, endpoints) = (&fleet.site, &fleet.engines);
        for (number, next) in [1..=3, 4..=5].into_iter().enumerate() {
            endpoints.set(&[&stream(1..=2, false), &stream(next.clone(), true)]);
            let response = site.post("/resume/x", &format!("r{number}"), "slip").await;
            assert_eq!(response.body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", "{next:?}");
            assert!(!response.complete, "{next:?}");
            sleep(Duration::from_millis(900)).await;
        }
    });
}

/// Guards against a success with an empty or short body because the endpoint closed the connection
/// within the head of its answer.
#[test]
fn a_head_that_breaks_off_is_no_answer() {
    let whole = head(200) + "content-length: 0\r\n";
    let lengths = [0, 5, 12, 17, 30, whole.len() - 20, whole.len() - 2, whole.len()];
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let (site, ledgers) = (&fleet.site, &fleet.ledgers);
        for length in lengths {
            let cut = whole[..length].to_owned();
            ledgers.set(&[&cut]);
            let response = site.post("/once/x", &format!("o{length}"), "payout").await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{length} bytes");
            assert_eq!(ledgers.received.get(), 1, "{length} bytes: it was sent again");
            sleep(Duration::from_millis(900)).await;
            let answer = head(200) + "content-length: 2\r\n\r\nok";
            ledgers.set(&[&cut, &answer]);
            let response = site.post("/plain/x", &format!("p{length}"), "lookup").await;
            assert_eq!((response.status, &*response.body), (StatusCode::OK, "ok"), "{length}");
            sleep(Duration::from_millis(900)).await;
        }
    });
}

/// Guards against a result of an item with the text of an error, a repeated refusal or a head that
/// breaks off in it, or without the events that came before.
#[test]
fn faulty_answers_leave_no_trace_in_the_output_of_an_item() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let (site, endpoints) = (&fleet.site, &fleet.engines);
        let refusal = "HTTP/1.1 503 X\r\nattempt-id: other\r\nnot-executed: 1\r\n\
                       content-length: 0\r\n\r\n";
        endpoints.set(&[
            &stream(1..=1, false),
            &error(503),
            refusal,
            &head(200)[..40],
            &error(404),
            &stream(2..=3, true),
        ]);
        assert_eq!(
            site.post("/job/x", "j1", &submission(&["a"])).await.status,
            StatusCode::ACCEPTED
        );
        wait_until("all answers were sent", || endpoints.received.get() >= 6).await;
        sleep(Duration::from_millis(500)).await;
        let page = site.get("/api/lots/j1?after=0").await;
        assert!(page.body.contains(r#""output":"e1\ne2\ne3""#), "{}", page.body);
        assert!(page.body.contains(r#""state":"completed""#), "{}", page.body);
    });
}
