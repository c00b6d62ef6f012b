//! Tests of requests that crash the endpoints that begin to answer them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::run_local;
use support::start_crashing;
use support::submission;
use support::wait_until;
use tokio::time::sleep;

const ENDPOINTS: usize = 6;

/// Time for which an endpoint is down after a crash.
const DOWN: Duration = Duration::from_millis(300);

/// Crashes by requests with a common part, and further ones of them that may reach an endpoint.
const MAX_WITH_PART: u32 = 5 + 3;

/// Crashes by one request, and further times that it may reach an endpoint.
const MAX_OF_ONE: u32 = 3 + 3;

/// Guards against requests with one common part that crash one endpoint after the other.
#[test]
fn requests_with_a_part_that_crashes_endpoints_stop_reaching_them() {
    for path in ["/stream/x", "/resume/x"] {
        run_local(async {
            let site = Site::new();
            let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
            let _driver = site.start_driver("d1").await;
            let _gateway = site.start_gateway().await;
            for number in 0..30 {
                let id = format!("r{number}");
                let own = format!("a1:9,b1:9,dead:9,f{number}:9");
                let response = site.post_prompt(path, &id, &own, &id).await;
                assert!(!response.complete || response.status != StatusCode::OK);
                sleep(Duration::from_millis(20)).await;
            }
            let reached = counts.deadly.get();
            assert!(reached <= MAX_WITH_PART, "{path}: {reached} requests reached endpoints");
        });
    }
}

/// Guards against a request that crashes an endpoint each time it comes again.
#[test]
fn a_request_that_crashes_endpoints_stops_reaching_them() {
    for path in ["/stream/x", "/resume/x"] {
        run_local(async {
            let site = Site::new();
            let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
            let _driver = site.start_driver("d1").await;
            let _gateway = site.start_gateway().await;
            for number in 0..30 {
                let id = format!("r{number}");
                site.post_prompt(path, &id, "a1:9,b1:9,c1:9", "dead").await;
                sleep(Duration::from_millis(20)).await;
            }
            let reached = counts.deadly.get();
            assert!(reached <= MAX_OF_ONE, "{path}: it reached endpoints {reached} times");
        });
    }
}

/// Guards against an item that waits long after endpoints crashed while they ran it, although others
/// are back and have room.
#[test]
fn an_item_under_which_endpoints_crashed_is_placed_again_at_once() {
    const IDS: [&str; 8] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
    run_local(async {
        let site = Site::new();
        let mut endpoints = Vec::new();
        for id in IDS {
            let endpoint = site.add_endpoint(id, "engine", 2).await;
            *endpoint.default_behavior.borrow_mut() = Behavior::Disconnect;
            endpoints.push(endpoint);
        }
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let response = site.post("/job/x", "j1", &submission(&["a"])).await;
        assert_eq!(response.status, StatusCode::ACCEPTED);
        let runs = || endpoints.iter().map(Endpoint::request_count).sum::<usize>();
        wait_until("endpoints broke off the item", || runs() == IDS.len()).await;
        let broken_off_at = Instant::now();
        for endpoint in &endpoints {
            *endpoint.default_behavior.borrow_mut() =
                Behavior::Stream { to: 3, pause: Duration::ZERO };
        }
        wait_until("the item runs again", || runs() > IDS.len()).await;
        let waited = broken_off_at.elapsed();
        assert!(waited <= Duration::from_secs(1), "it waited {waited:?}");
    });
}
