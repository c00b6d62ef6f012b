//! Tests of online requests on the users' platform.

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
use support::Behavior;
use support::Endpoint;
use support::HOST;
use support::Site;
use support::config;
use support::run_local;
use support::wait_until;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";

/// Guards against changes to requests and responses in transit.
#[test]
fn a_stream_is_forwarded_unchanged() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        let response = site.post("/stream/x?y=1", "r1", "slip").await;
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
        assert_eq!(response.body, EVENTS);
        assert_eq!(response.headers["server-stamp"], "s1");
        assert_eq!(response.headers["attempt-id"], "r1");
        let requests = endpoint.requests.borrow();
        assert_eq!(requests[0].path, "/stream/x?y=1");
        assert_eq!(requests[0].expected, "e1");
        assert_eq!(requests[0].body, Bytes::from_static(b"slip"));
        let left = requests[0].deadline_ms.unwrap();
        assert!((1..=4_000).contains(&left), "{left}");
    });
}

/// Guards against requests that are forwarded although they have no route or no id, or are too
/// large.
#[test]
fn invalid_requests_are_rejected() {
    run_local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/none/x", "r1", "").await.status, StatusCode::NOT_FOUND);
        let req = Request::post("/stream/x").header("host", HOST).body(Full::default()).unwrap();
        let response = support::exchange(site.caller_addr, req).await;
        assert_eq!(response.status, StatusCode::BAD_REQUEST);
        let large = "x".repeat(5 << 20);
        let response = site.post("/stream/x", "r1", &large).await;
        assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    });
}

/// Guards against a second run of a non-idempotent request that may have run already.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for behavior in [Behavior::Disconnect, Behavior::WrongId, Behavior::Unsigned] {
            *a.default_behavior.borrow_mut() = behavior.clone();
            *b.default_behavior.borrow_mut() = behavior.clone();
            let before = a.request_count() + b.request_count();
            // The endpoint that failed is avoided for a while.
            let response = site.post("/once/x", "r1", "payout").await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behavior:?}");
            assert_eq!(a.request_count() + b.request_count() - before, 1, "{behavior:?}");
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a status that informs callers that a request did not run although its endpoint
/// did not state that.
#[test]
fn a_not_run_status_requires_the_not_run_header() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("ledger", 2).await;
        for status in [503, 429, 408] {
            endpoint.enqueue(Behavior::Status(status));
            let response = site.post("/once/x", "r1", "payout").await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
            assert!(!response.headers.contains_key("server-stamp"));
        }
    });
}

/// Guards against failures of one endpoint that reach the caller although another endpoint is
/// available.
#[test]
fn an_idempotent_request_is_retried() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for behavior in [
            Behavior::Disconnect,
            Behavior::WrongId,
            Behavior::Unsigned,
            Behavior::Status(500),
            Behavior::NotRun(503),
        ] {
            // The first attempt fails if it is sent to this endpoint.
            *a.default_behavior.borrow_mut() = behavior.clone();
            b.queued_behaviors.borrow_mut().clear();
            let response = site.post("/plain/x", "r1", "read").await;
            assert_eq!(response.status, StatusCode::OK, "{behavior:?}");
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a request that is sent only to an endpoint that rejects it.
#[test]
fn a_rejected_request_is_sent_to_another_endpoint() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "engine", 2).await;
        let b = site.add_endpoint("b", "engine", 2).await;
        *a.default_behavior.borrow_mut() = Behavior::NotRun(421);
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for _ in 0..4 {
            assert_eq!(site.post("/stream/x", "r1", "slip").await.status, StatusCode::OK);
        }
        assert_eq!((a.request_count(), b.request_count()), (0, 4));
    });
}

/// Guards against events that are missing, duplicated or merged from two parts when a stream is
/// resumed.
#[test]
fn an_interrupted_stream_is_resumed_within_its_response() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        for behavior in
            [Behavior::DisconnectAfter { event: 2 }, Behavior::DisconnectWithin { event: 2 }]
        {
            endpoint.enqueue(behavior);
            let response = site.post("/resume/x", "r1", "slip").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            assert_eq!(response.body, EVENTS);
        }
        let resumed: Vec<_> =
            endpoint.requests.borrow().iter().map(|request| request.last_event_id).collect();
        assert_eq!(resumed, [None, Some(2), None, Some(2)]);
    });
}

/// Guards against a truncated stream that ends like a complete one.
#[test]
fn a_stream_that_cannot_be_resumed_ends_with_an_error() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        endpoint.enqueue(Behavior::DisconnectAfter { event: 2 });
        let response = site.post("/stream/x", "r1", "slip").await;
        assert_eq!((response.status, response.complete), (StatusCode::OK, false));
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Guards against requests that continue to run at an endpoint after their caller disconnected.
#[test]
fn a_disconnect_of_the_caller_ends_the_run() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 1_000, pause: Duration::from_millis(20) };
        for (path, requests) in [("/stream/x", 1), ("/resume/x", 2)] {
            let left = timeout(Duration::from_millis(300), site.post(path, "r1", "slip")).await;
            assert!(left.is_err(), "the stream is longer");
            // The connection of the caller is closed when its task is aborted.
            close_after_first_event(&site, path).await;
            wait_until("the run ends", || {
                let in_progress = endpoint
                    .requests
                    .borrow()
                    .iter()
                    .filter(|request| *request.in_progress.borrow())
                    .count();
                endpoint.request_count() == requests * 2 && in_progress <= requests
            })
            .await;
        }
    });
}

async fn close_after_first_event(site: &Site, path: &str) {
    let stream = TcpStream::connect(site.caller_addr).await.unwrap();
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

/// Guards against callers that wait past the timeout of their route for an endpoint that does not
/// respond.
#[test]
fn a_request_times_out_if_its_endpoint_does_not_respond() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "ledger", 2).await;
        *endpoint.default_behavior.borrow_mut() = Behavior::NoResponse;
        site.store.put("config", "main", &config(2).replace("5000", "400"));
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let started = Instant::now();
        let response = site.post("/once/x", "r1", "payout").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(started.elapsed() >= Duration::from_millis(400));
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Guards against requests to draining endpoints, and against changes of the endpoints or the
/// configuration that are not applied.
#[test]
fn endpoint_and_configuration_changes_are_applied() {
    run_local(async {
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
        assert_eq!((a.request_count(), b.request_count()), (1, 1));
        site.store.put("config", "main", &config(3).replace("/stream/", "/moved/"));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.post("/stream/x", "r3", "slip").await.status, StatusCode::NOT_FOUND);
        assert_eq!(site.post("/moved/x", "r4", "slip").await.status, StatusCode::OK);
        site.store.put("config", "main", &config(2));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.post("/moved/x", "r5", "slip").await.status, StatusCode::OK);
    });
}

/// Guards against a graceful shutdown that truncates a response or keeps the VM in rotation.
#[test]
fn a_graceful_shutdown_completes_open_responses() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 2).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 150, pause: Duration::from_millis(20) };
        let _driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        let stop = async {
            wait_until("the stream runs", || endpoint.request_count() == 1).await;
            gateway.drain().await;
        };
        let (response, ()) = tokio::join!(site.post("/stream/x", "r1", "slip"), stop);
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    });
}

/// Guards against requests that fail while no driver is available to grant a place.
#[test]
fn a_gateway_serves_without_a_driver() {
    run_local(async {
        let site = Site::new();
        let _endpoint = site.add_endpoint("a", "engine", 2).await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/stream/x", "r1", "slip").await.body, EVENTS);
    });
}

/// Guards against online requests that fail while the store is down because the known configuration
/// and endpoints are dropped, and against jobs that are accepted although they cannot be stored.
#[test]
fn online_requests_are_served_while_the_store_is_down() {
    run_local(async {
        let (site, _endpoint, _running) = Site::with_processes("engine", 2).await;
        site.store.set_down(true);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(site.post("/stream/x", "r1", "slip").await.body, EVENTS);
        let response = site.post("/job/x", "j1", &support::submission(&["i"])).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    });
}

/// Guards against changes that are applied only after a watch timeout. This occurs if a watch waits
/// on a connection that became unresponsive while the store was down.
#[test]
fn watches_restart_when_the_store_recovers() {
    run_local(async {
        let (site, _endpoint, _running) = Site::with_processes("engine", 2).await;
        site.store.stall_watches(true);
        site.store.set_down(true);
        sleep(Duration::from_millis(1_200)).await;
        site.store.set_down(false);
        site.store.stall_watches(false);
        site.store.put("config", "main", &config(2).replace("/stream/", "/moved/"));
        let seen = timeout(Duration::from_secs(2), async {
            while site.post("/moved/x", "r1", "slip").await.status != StatusCode::OK {
                sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(seen.await.is_ok(), "the change is not applied after 2 s");
    });
}

/// Guards against overloaded endpoints and refused jobs when a gateway can reach other gateways but
/// neither the drivers nor the store.
#[test]
fn a_gateway_without_drivers_relays_through_another_gateway() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 8).await;
        let isolated = site.start_isolated_gateway().await;
        sleep(Duration::from_millis(2_500)).await;
        let isolated_addr = isolated.caller_addr;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 20, pause: Duration::from_millis(20) };
        let post = |to| site.post_to(to, "/stream/x", "r1", "slip");
        let pair = || async { tokio::join!(post(site.caller_addr), post(isolated_addr)) };
        let pairs = tokio::join!(pair(), pair(), pair(), pair(), pair());
        for (connected, isolated) in [pairs.0, pairs.1, pairs.2, pairs.3, pairs.4] {
            assert_eq!((connected.status, connected.complete), (StatusCode::OK, true));
            assert_eq!((isolated.status, isolated.complete), (StatusCode::OK, true));
        }
        let max = endpoint.max_in_progress.get();
        assert!(max <= 8, "{max} requests at an endpoint with 8 places");
        let response =
            site.post_to(isolated_addr, "/job/x", "j1", &support::submission(&["i"])).await;
        assert_eq!(response.status, StatusCode::ACCEPTED);
    });
}

/// Guards against place requests that gateways relay to each other without end because none of them
/// reaches a driver.
#[test]
fn gateways_without_a_driver_use_their_local_dispatchers() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 4).await;
        let _gateway = site.start_gateway().await;
        let isolated = site.start_isolated_gateway().await;
        let list = Endpoint::entry(&endpoint, "ready");
        isolated.store.set_down(false);
        isolated.store.put("servers", "a", &list);
        sleep(Duration::from_millis(2_500)).await;
        let response = site.post_to(isolated.caller_addr, "/stream/x", "r1", "slip").await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, EVENTS));
    });
}

/// Guards against an endpoint that fails its requests at once, therefore always has free places, and
/// draws the requests: those that must not run twice are lost.
#[test]
fn an_endpoint_that_answers_errors_gets_few_requests() {
    run_local(async {
        let (site, failing, _running) = Site::with_processes("engine", 4).await;
        *failing.default_behavior.borrow_mut() = Behavior::Status(500);
        let sound = site.add_endpoint("e2", "engine", 4).await;
        *sound.default_behavior.borrow_mut() =
            Behavior::Stream { to: 3, pause: Duration::from_millis(10) };
        sleep(Duration::from_secs(1)).await;
        let mut failed = 0;
        for number in 0..60 {
            let response = site.post("/stream/x", &format!("r{number}"), "slip").await;
            failed += usize::from(response.status != StatusCode::OK);
        }
        assert!(failed <= 4, "{failed} of 60 failed");
        assert_eq!(failing.request_count(), failed);
    });
}
