//! Tests of answers that an endpoint begins before it has read the request, and of impossible statuses.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use support::EarlyEnd;
use support::Scripted;
use support::ScriptedFleet;
use support::Site;
use support::head;
use support::post_http10;
use support::run_local;
use support::stream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Size of an upload, more than the buffers of a connection hold at both ends.
const UPLOAD_BYTES: usize = 4_000_000;

/// Size of the encoded body of an item, which has to fit into an object of the store.
const ITEM_BYTES: usize = 900_000;

/// Number of requests that an endpoint may get for one request of a caller.
const MAX_ATTEMPTS: usize = 4;

/// Number of times that a request is sent until endpoints receive it.
const MAX_PLAYS: usize = 20;

/// Time after which both endpoints are usually used again after a failure.
const AVOIDANCE_TIME: Duration = Duration::from_millis(900);

const EVENT: &str = "id: 1\ndata: e1\n\n";

/// Statuses that no answer may have, and forms that are no status.
const BAD_STATUSES: [&str; 9] = ["000", "099", "100", "101", "600", "999", "20", "2000", ""];

/// Returns the starts of an answer that an endpoint sends before it ends the connection: one without
/// framing, heads that are cut, and a body of chunks whose trailers are cut.
fn parts_of_answers(body: &str) -> [String; 4] {
    let head = head(200);
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n", body.len());
    [
        format!("{head}\r\n{body}"),
        head.trim_end().to_owned(),
        format!("{head}content-length: {}\r\n", body.len()),
        format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}server-time: 1\r"),
    ]
}

/// Paths with the endpoints that serve them and a body that may be complete.
fn paths(fleet: &ScriptedFleet) -> [(&Scripted, &'static str, &'static str); 4] {
    [
        (&fleet.engines, "/stream/x", EVENT),
        (&fleet.engines, "/resume/x", EVENT),
        (&fleet.ledgers, "/plain/x", "half"),
        (&fleet.ledgers, "/once/x", "half"),
    ]
}

/// Plays each case with a fleet of its own, all at the same time. An endpoint that fails again and again
/// would be avoided for longer and longer.
async fn play_cases<C: 'static, F: Future<Output = ()> + 'static>(
    cases: impl IntoIterator<Item = C>,
    play_case: impl Fn(Rc<ScriptedFleet>, C) -> F + Copy + 'static,
) {
    let start = |case| {
        spawn_local(async move { play_case(Rc::new(ScriptedFleet::start().await), case).await })
    };
    let running: Vec<_> = cases.into_iter().map(start).collect();
    for case in running {
        case.await.unwrap();
    }
}

/// Repeats a request until the endpoints have received it this number of times. They are avoided for
/// longer after each failure.
async fn play<F: Future>(
    endpoints: &Scripted,
    requests: usize,
    set_answers: impl Fn(),
    send: impl Fn() -> F,
) -> F::Output {
    for _ in 0..MAX_PLAYS {
        set_answers();
        let answer = send().await;
        let received = endpoints.received.get();
        sleep(AVOIDANCE_TIME).await;
        if received >= requests {
            return answer;
        }
    }
    panic!("the endpoints did not receive {requests} requests");
}

/// Returns the number of endpoints that get a request whose attempts all fail.
fn expected_attempts(path: &str) -> usize {
    if matches!(path, "/plain/x" | "/resume/x") { 2 } else { 1 }
}

/// Sends an upload and asserts that its caller gets no part of an answer as a complete one.
async fn assert_no_answer(
    (site, to): (&Site, SocketAddr),
    (endpoints, path, requests): (&Scripted, &str, usize),
    texts: &[&str],
    ends: &[Option<EarlyEnd>],
) {
    let upload = "x".repeat(UPLOAD_BYTES);
    let set_answers = || {
        endpoints.set(texts);
        endpoints.end_early(ends.to_vec());
    };
    let response =
        play(endpoints, requests, set_answers, || site.post_to(to, path, "r1", &upload)).await;
    let is_answer = response.complete && !response.status.is_server_error();
    assert!(!is_answer, "{path}, {ends:?}, {texts:?}: {response:?}");
}

/// Guards against a part of an answer that looks complete, because the endpoint sent it without length
/// and chunks and ended the connection while the upload was written.
#[test]
fn a_part_of_an_answer_to_an_upload_does_not_look_complete() {
    run_local(play_cases(EarlyEnd::all(), |fleet, end| async move {
        let to = (&fleet.site, fleet.site.caller_addr);
        for (endpoints, path, body) in paths(&fleet) {
            let part = &parts_of_answers(body)[0];
            let ends = [Some(end); MAX_ATTEMPTS];
            assert_no_answer(to, (endpoints, path, 1), &[part], &ends).await;
        }
    }));
}

/// Guards against an answer whose head or trailers were cut while the upload was written.
#[test]
fn a_cut_head_or_trailer_of_an_answer_to_an_upload_does_not_look_complete() {
    let reset = EarlyEnd::Reset { after: Duration::from_millis(5), reads_on: true };
    let cases =
        [reset, EarlyEnd::HalfClose].into_iter().flat_map(|end| (1..4).map(move |i| (end, i)));
    run_local(play_cases(cases, |fleet, (end, index)| async move {
        let to = (&fleet.site, fleet.site.caller_addr);
        for (endpoints, path, body) in paths(&fleet) {
            let text = &parts_of_answers(body)[index];
            let ends = [Some(end); MAX_ATTEMPTS];
            assert_no_answer(to, (endpoints, path, 1), &[text], &ends).await;
        }
    }));
}

/// Guards against a resumed stream that looks complete after a part of the next answer.
#[test]
fn a_part_of_the_answer_that_resumes_a_stream_does_not_look_complete() {
    run_local(play_cases(EarlyEnd::all(), |fleet, end| async move {
        let to = (&fleet.site, fleet.site.caller_addr);
        let texts = [stream(1..=1, false), head(200) + "\r\nid: 2\ndata: e2\n\n"];
        let mut ends = [Some(end); MAX_ATTEMPTS];
        ends[0] = None;
        let target = (&fleet.engines, "/resume/x", 2);
        assert_no_answer(to, target, &texts.each_ref().map(|text| &**text), &ends).await;
    }));
}

/// Guards against such a part where the place was assigned by way of another gateway.
#[test]
fn a_part_of_an_answer_on_a_forwarded_place_does_not_look_complete() {
    let ends = [EarlyEnd::all()[0], EarlyEnd::HalfClose];
    run_local(play_cases(ends, |fleet, end| async move {
        let isolated = fleet.site.start_isolated_gateway().await;
        sleep(Duration::from_millis(2_500)).await;
        let to = (&fleet.site, isolated.caller_addr);
        for (endpoints, path, body) in paths(&fleet) {
            let part = &parts_of_answers(body)[0];
            let ends = [Some(end); MAX_ATTEMPTS];
            assert_no_answer(to, (endpoints, path, 1), &[part], &ends).await;
        }
    }));
}

/// Guards against such a part that a caller of HTTP/1.0 takes for a complete answer.
#[test]
fn a_caller_of_http_1_0_can_tell_a_part_of_an_answer_to_an_upload() {
    run_local(play_cases(EarlyEnd::all(), |fleet, end| async move {
        let upload = "x".repeat(UPLOAD_BYTES);
        for (endpoints, path, body) in paths(&fleet) {
            let set_answers = || {
                endpoints.set(&[&parts_of_answers(body)[0]]);
                endpoints.end_early([Some(end); MAX_ATTEMPTS]);
            };
            let send = || post_http10(fleet.site.caller_addr, path, &upload);
            let (text, ended) = play(endpoints, 1, set_answers, send).await;
            let is_error = text.starts_with("HTTP/1.0 5");
            let is_reset = ended.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionReset);
            assert!(is_error || is_reset, "{path}, {end:?}: {text}");
        }
    }));
}

/// Guards against a result of an item that lacks the events after such a part.
#[test]
fn an_item_of_which_a_part_was_answered_is_resumed() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let body = "eHh4".repeat(ITEM_BYTES / 4);
        for (number, end) in EarlyEnd::all().into_iter().enumerate() {
            let part = parts_of_answers(EVENT)[0].clone();
            fleet.engines.set(&[&part, &stream(2..=2, true)]);
            fleet.engines.end_early([Some(end)]);
            let job = format!("j{number}");
            let item = format!(
                r#"{{"items":[{{"id":"a{number}","path":"/job/a","headers":{{"Model":"m"}},
                "body":"{body}","tokens":9}}]}}"#
            );
            let accepted = fleet.site.post("/job/x", &job, &item).await;
            assert_eq!(accepted.status, StatusCode::ACCEPTED, "{}", accepted.body);
            let page = wait_for_output(&fleet.site, &job).await;
            assert!(page.contains(r#""output":"e1\ne2""#), "{end:?}: {page}");
        }
    });
}

/// Returns the page of a job with one item once it has its output.
async fn wait_for_output(site: &Site, job: &str) -> String {
    for _ in 0..200 {
        let page = site.get(&format!("/api/lots/{job}?after=0")).await.body;
        if page.contains("\"output\"") {
            return page;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{job} has no output in time");
}

/// Returns an answer with such a status, which is complete apart from it.
fn with_status(status: &str, headers: &str) -> String {
    head(200).replacen("200 X", &format!("{status} X"), 1)
        + headers
        + "content-length: 16\r\n\r\n"
        + EVENT
}

/// Guards against an answer with a status that no answer may have.
#[test]
fn a_status_that_no_answer_may_have_is_an_error() {
    run_local(play_cases(BAD_STATUSES, |fleet, status| async move {
        for (endpoints, path, _) in paths(&fleet) {
            let expected = expected_attempts(path);
            let set_answers = || endpoints.set(&[&with_status(status, "")]);
            let send = || fleet.site.post(path, "r1", "slip");
            let response = play(endpoints, expected, set_answers, send).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}, {status:?}");
            assert_eq!(response.headers.get("server-stamp"), None, "{path}, {status:?}");
            assert_eq!(endpoints.received.get(), expected, "{path}, {status:?}");
        }
    }));
}

/// Guards against a request that is run twice or reported as not run because of such an answer.
#[test]
fn a_status_that_no_answer_may_have_does_not_state_that_a_request_was_not_run() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        for status in ["000", "101", "600", "999"] {
            let text = with_status(status, "not-executed: 1\r\n");
            let set_answers = || fleet.ledgers.set(&[&text]);
            let send = || fleet.site.post("/once/x", "r1", "payout");
            let response = play(&fleet.ledgers, 1, set_answers, send).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
            assert_eq!(fleet.ledgers.received.get(), 1, "{status}: it was sent again");
        }
    });
}

/// Guards against a request that may be repeated, or an item, that is lost because of such an answer.
#[test]
fn a_request_that_may_be_repeated_is_tried_elsewhere_after_a_bad_status() {
    run_local(play_cases(BAD_STATUSES, |fleet, status| async move {
        let whole = head(200) + "content-length: 16\r\n\r\n" + EVENT;
        let bad = with_status(status, "");
        for (endpoints, path) in [(&fleet.engines, "/resume/x"), (&fleet.ledgers, "/plain/x")] {
            let set_answers = || endpoints.set(&[&bad, &whole]);
            let send = || fleet.site.post(path, "r1", "slip");
            let response = play(endpoints, 2, set_answers, send).await;
            assert_eq!(response.status, StatusCode::OK, "{path}, {status:?}");
            assert_eq!(response.body, EVENT, "{path}, {status:?}");
        }
        fleet.engines.set(&[&bad, &whole]);
        fleet.site.post("/job/x", "j1", &support::submission(&["a"])).await;
        let page = wait_for_output(&fleet.site, "j1").await;
        assert!(page.contains(r#""output":"e1""#), "{status:?}: {page}");
    }));
}

/// Guards against a part of a stream that looks complete because the next endpoint sent such a status.
#[test]
fn a_bad_status_does_not_complete_a_stream_that_has_begun() {
    run_local(play_cases(BAD_STATUSES, |fleet, status| async move {
        let texts = [stream(1..=1, false), with_status(status, "")];
        let set_answers = || fleet.engines.set(&texts.each_ref().map(|text| &**text));
        let send = || fleet.site.post("/resume/x", "r1", "slip");
        let response = play(&fleet.engines, 2, set_answers, send).await;
        assert!(!response.complete, "{status:?}: {response:?}");
        assert_eq!(response.body, EVENT, "{status:?}");
    }));
}

/// Guards against such a status that reaches a caller of HTTP/1.0, or one whose place was assigned by
/// way of another gateway.
#[test]
fn a_bad_status_reaches_no_caller_on_other_ways() {
    run_local(play_cases(["000", "101", "600"], |fleet, status| async move {
        let isolated = fleet.site.start_isolated_gateway().await;
        sleep(Duration::from_millis(2_500)).await;
        for (endpoints, path, _) in paths(&fleet) {
            let set_answers = || endpoints.set(&[&with_status(status, "")]);
            let send = || post_http10(fleet.site.caller_addr, path, "slip");
            let (text, _) = play(endpoints, 1, set_answers, send).await;
            assert!(text.starts_with("HTTP/1.0 502"), "{path}, {status}: {text}");
            let send = || fleet.site.post_to(isolated.caller_addr, path, "r1", "slip");
            let response = play(endpoints, 1, set_answers, send).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}, {status}");
        }
    }));
}
