//! Online requests on the users' platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use support::Act;
use support::Endpoint;
use support::HOST;
use support::Site;
use support::config;
use support::local;
use support::until;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

/// Guards against answers that are changed on the way and requests that are.
#[test]
fn a_stream_is_passed_on_unchanged() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 2).await;
        let answer = site.post("/stream/x?y=1", "r1", "slip").await;
        assert_eq!((answer.status, answer.whole), (StatusCode::OK, true));
        assert_eq!(answer.body, EVENTS);
        assert_eq!(answer.headers["server-stamp"], "s1");
        assert_eq!(answer.headers["attempt-id"], "r1");
        let runs = endpoint.runs.borrow();
        assert_eq!(runs[0].path, "/stream/x?y=1");
        assert_eq!(runs[0].expected, "e1");
        assert_eq!(runs[0].body, Bytes::from_static(b"slip"));
        let left = runs[0].deadline_ms.unwrap();
        assert!((1..=4_000).contains(&left), "{left}");
    });
}

/// Guards against requests that go where no route leads, or without an id.
#[test]
fn requests_without_a_route_or_an_id_are_rejected() {
    local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/none/x", "r1", "").await.status, StatusCode::NOT_FOUND);
        let req = Request::post("/stream/x").header("host", HOST).body(Full::default()).unwrap();
        let answer = support::exchange(site.callers, req).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        let large = "x".repeat(5 << 20);
        let answer = site.post("/stream/x", "r1", &large).await;
        assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    });
}

/// Guards against a second run of a request that may have run already.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for act in [Act::Close, Act::Foreign, Act::Unsigned] {
            *a.usual.borrow_mut() = act.clone();
            *b.usual.borrow_mut() = act.clone();
            let before = a.run_count() + b.run_count();
            // The endpoint that failed is avoided for a while.
            let answer = site.post("/once/x", "r1", "payout").await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{act:?}");
            assert_eq!(a.run_count() + b.run_count() - before, 1, "{act:?}");
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a promise that a request did not run that its endpoint never gave.
#[test]
fn a_status_that_promises_not_to_have_run_needs_the_promise() {
    local(async {
        let (site, endpoint, _running) = Site::serving("ledger", 2).await;
        for status in [503, 429, 408] {
            endpoint.then(Act::Status(status));
            let answer = site.post("/once/x", "r1", "payout").await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}");
            assert!(!answer.headers.contains_key("server-stamp"));
        }
    });
}

/// Guards against failures of one endpoint that a caller sees though another could answer.
#[test]
fn an_idempotent_request_is_sent_again() {
    local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for act in [Act::Close, Act::Foreign, Act::Unsigned, Act::Status(500), Act::NotRun(503)] {
            // Whichever is asked first fails.
            *a.usual.borrow_mut() = act.clone();
            b.acts.borrow_mut().clear();
            let answer = site.post("/plain/x", "r1", "read").await;
            assert_eq!(answer.status, StatusCode::OK, "{act:?}");
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a request that stays with an endpoint that turns it away.
#[test]
fn a_request_that_was_turned_away_goes_elsewhere() {
    local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "engine", 2).await;
        let b = site.add_endpoint("b", "engine", 2).await;
        *a.usual.borrow_mut() = Act::NotRun(421);
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for _ in 0..4 {
            assert_eq!(site.post("/stream/x", "r1", "slip").await.status, StatusCode::OK);
        }
        assert_eq!((a.run_count(), b.run_count()), (0, 4));
    });
}

/// Guards against events that are lost, doubled or joined from halves when a stream goes on at
/// another endpoint.
#[test]
fn a_broken_stream_is_resumed_within_its_answer() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 2).await;
        for act in [Act::BreakAfter { event: 2 }, Act::BreakWithin { event: 2 }] {
            endpoint.then(act);
            let answer = site.post("/resume/x", "r1", "slip").await;
            assert_eq!((answer.status, answer.whole), (StatusCode::OK, true));
            assert_eq!(answer.body, EVENTS);
        }
        let resumed: Vec<_> = endpoint.runs.borrow().iter().map(|run| run.last_event_id).collect();
        assert_eq!(resumed, [None, Some(2), None, Some(2)]);
    });
}

/// Guards against a broken stream that looks complete.
#[test]
fn a_stream_that_cannot_be_resumed_ends_as_broken() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 2).await;
        endpoint.then(Act::BreakAfter { event: 2 });
        let answer = site.post("/stream/x", "r1", "slip").await;
        assert_eq!((answer.status, answer.whole), (StatusCode::OK, false));
        assert_eq!(endpoint.run_count(), 1);
    });
}

/// Guards against work for callers that are gone.
#[test]
fn a_caller_that_leaves_ends_the_run() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 2).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 1_000, pause: Duration::from_millis(20) };
        for (path, runs) in [("/stream/x", 1), ("/resume/x", 2)] {
            let left = timeout(Duration::from_millis(300), site.post(path, "r1", "slip")).await;
            assert!(left.is_err(), "the stream is longer");
            // The connection of the caller is closed when its task ends.
            close_after_first_event(&site, path).await;
            until("the run ends", || {
                let open = endpoint.runs.borrow().iter().filter(|run| *run.open.borrow()).count();
                endpoint.run_count() == runs * 2 && open <= runs
            })
            .await;
        }
    });
}

async fn close_after_first_event(site: &Site, path: &str) {
    let stream = TcpStream::connect(site.callers).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let connection = tokio::task::spawn_local(connection);
    let req = Request::post(path)
        .header("host", HOST)
        .header("attempt-id", "r2")
        .body(Full::new(Bytes::from_static(b"slip")))
        .unwrap();
    let mut response = sender.send_request(req).await.unwrap();
    response.frame().await.unwrap().unwrap();
    connection.abort();
}

/// Guards against callers that are kept waiting past the time of their route.
#[test]
fn a_silent_endpoint_is_answered_for_in_time() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "ledger", 2).await;
        *endpoint.usual.borrow_mut() = Act::Silence;
        site.store.put("config", "main", &config(2).replace("5000", "400"));
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let began = Instant::now();
        let answer = site.post("/once/x", "r1", "payout").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(began.elapsed() >= Duration::from_millis(400));
        assert_eq!(endpoint.run_count(), 1);
    });
}

/// Guards against requests to endpoints that are leaving, and against changes that are not seen.
#[test]
fn changes_of_endpoints_and_configuration_are_followed() {
    local(async {
        let site = Site::new();
        let a = Endpoint::start("a", "engine", 2).await;
        let b = Endpoint::start("b", "engine", 2).await;
        site.register(&a);
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/stream/x", "r1", "slip").await.status, StatusCode::OK);
        site.store.put("servers", "a", &a.entry("draining"));
        site.store.put("servers", "foreign", r#"{"service":7}"#);
        site.register(&b);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(site.post("/stream/x", "r2", "slip").await.status, StatusCode::OK);
        assert_eq!((a.run_count(), b.run_count()), (1, 1));
        site.store.put("config", "main", &config(3).replace("/stream/", "/moved/"));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.post("/stream/x", "r3", "slip").await.status, StatusCode::NOT_FOUND);
        assert_eq!(site.post("/moved/x", "r4", "slip").await.status, StatusCode::OK);
        site.store.put("config", "main", &config(2));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.post("/moved/x", "r5", "slip").await.status, StatusCode::OK);
    });
}

/// Guards against a planned stop that cuts an answer off or that keeps the VM in rotation.
#[test]
fn a_planned_stop_cuts_no_answer_off() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 2).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 150, pause: Duration::from_millis(20) };
        let _driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        let stop = async {
            until("the stream runs", || endpoint.run_count() == 1).await;
            gateway.drain().await;
        };
        let (answer, ()) = tokio::join!(site.post("/stream/x", "r1", "slip"), stop);
        assert_eq!((answer.status, answer.whole), (StatusCode::OK, true));
    });
}

/// Guards against requests that fail while no driver can be asked for a place.
#[test]
fn a_gateway_serves_without_a_driver() {
    local(async {
        let site = Site::new();
        let _endpoint = site.add_endpoint("a", "engine", 2).await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/stream/x", "r1", "slip").await.body, EVENTS);
    });
}

/// Guards against known state that is lost, and requests that fail, while the store is down.
#[test]
fn requests_are_served_while_the_store_is_down() {
    local(async {
        let (site, _endpoint, _running) = Site::serving("engine", 2).await;
        site.store.set_down(true);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(site.post("/stream/x", "r1", "slip").await.body, EVENTS);
        let answer = site.post("/job/x", "j1", &support::submission(&["i"])).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

/// Guards against watches that hang on connections which went silent while the store was away: a
/// change after its return has to be seen soon, not when the watch times out.
#[test]
fn watches_start_anew_when_the_store_returns() {
    local(async {
        let (site, _endpoint, _running) = Site::serving("engine", 2).await;
        site.store.silence_watches(true);
        site.store.set_down(true);
        sleep(Duration::from_millis(1_200)).await;
        site.store.set_down(false);
        site.store.silence_watches(false);
        site.store.put("config", "main", &config(2).replace("/stream/", "/moved/"));
        let seen = timeout(Duration::from_secs(2), async {
            while site.post("/moved/x", "r1", "slip").await.status != StatusCode::OK {
                sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(seen.await.is_ok(), "the change is not in force after 2 s");
    });
}

/// Guards against callers of a gateway that is cut off from the drivers and the store, while it
/// still reaches other gateways: its requests must not overrun the endpoints, and its jobs must
/// not be refused.
#[test]
fn a_gateway_that_reaches_no_driver_works_through_another_one() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 8).await;
        let cut = site.start_cut_gateway().await;
        sleep(Duration::from_millis(2_500)).await;
        let callers = cut.callers;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 20, pause: Duration::from_millis(20) };
        let post = |to| site.post_to(to, "/stream/x", "r1", "slip");
        let pair = || async { tokio::join!(post(site.callers), post(callers)) };
        let pairs = tokio::join!(pair(), pair(), pair(), pair(), pair());
        for (near, cut) in [pairs.0, pairs.1, pairs.2, pairs.3, pairs.4] {
            assert_eq!((near.status, near.whole), (StatusCode::OK, true));
            assert_eq!((cut.status, cut.whole), (StatusCode::OK, true));
        }
        let most = endpoint.most_open.get();
        assert!(most <= 8, "{most} requests at an endpoint with 8 places");
        let answer = site.post_to(callers, "/job/x", "j1", &support::submission(&["i"])).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    });
}

/// Guards against gateways that pass an ask to each other for ever because none reaches a driver.
#[test]
fn gateways_without_a_driver_serve_by_their_own_count() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 4).await;
        let _gateway = site.start_gateway().await;
        let cut = site.start_cut_gateway().await;
        let list = Endpoint::entry(&endpoint, "ready");
        cut.store.set_down(false);
        cut.store.put("servers", "a", &list);
        sleep(Duration::from_millis(2_500)).await;
        let answer = site.post_to(cut.callers, "/stream/x", "r1", "slip").await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, EVENTS));
    });
}
