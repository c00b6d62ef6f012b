//! Tests of requests that crash the endpoints that begin to answer them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::TestResponse;
use support::block_parts;
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
                let own = format!("a1:9,b1:9,lethal:9,f{number}:9");
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
                site.post_prompt(path, &id, "a1:9,b1:9,c1:9", "lethal").await;
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

/// Guards against a block that one process keeps to itself, or that is lost with the drivers.
#[test]
fn a_block_reaches_all_processes_and_outlives_the_drivers() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let first = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let (other_addr, _other) = site.start_other_gateway("g3").await;
        sleep(Duration::from_millis(300)).await;
        block_parts(&site, &counts).await;
        let reached = counts.deadly.get();
        let refused = |response: TestResponse| {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            let retry_after: f64 =
                response.headers["retry-after"].to_str().unwrap().parse().unwrap();
            assert!((0.001..=60.0).contains(&retry_after), "{retry_after}");
            assert!(response.body.contains("not run"), "{}", response.body);
        };
        let prompt = "a1:9,p1:9,x:9";
        refused(site.post_prompt_to(other_addr, "/stream/x", "o1", prompt, "lethal o1").await);
        first.drain().await;
        let _second = site.start_driver("d2").await;
        sleep(Duration::from_millis(1_500)).await;
        // A gateway that starts later learns it from the new driver, with the store down.
        let (late_addr, _late) = site.start_other_gateway("g4").await;
        site.store.set_down(true);
        sleep(Duration::from_millis(500)).await;
        refused(site.post_prompt("/stream/x", "o2", prompt, "lethal o2").await);
        refused(site.post_prompt_to(late_addr, "/stream/x", "o3", prompt, "lethal o3").await);
        assert_eq!(counts.deadly.get(), reached);
    });
}

/// Guards against an item that is not run because online requests with its parts crashed endpoints,
/// and against an innocent part that stays blocked although an item with it was completed.
#[test]
fn an_item_runs_whatever_parts_it_has_and_clears_them() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(300)).await;
        block_parts(&site, &counts).await;
        sleep(DOWN).await;
        let job = r#"{"items":[{"id":"i1","path":"/job/i1","body":"aGk=","tokens":9,
            "headers":{"Model":"m","Prompt-Prefix":"a1:9,p1:9,i1:9"}}]}"#;
        let before = counts.sound.get();
        assert_eq!(site.post("/job/x", "j1", job).await.status, StatusCode::ACCEPTED);
        wait_until("the item is complete", || counts.sound.get() > before).await;
        sleep(Duration::from_millis(300)).await;
        let response = site.post_prompt("/stream/x", "s1", "a1:9,p1:9,s1:9", "sound").await;
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    });
}

/// Guards against requests that are refused because an endpoint that runs on broke off others.
#[test]
fn endpoints_that_break_off_requests_without_a_crash_accuse_nobody() {
    run_local(async {
        let site = Site::new();
        let mut endpoints = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let endpoint = site.add_endpoint(id, "engine", 8).await;
            *endpoint.default_behavior.borrow_mut() = Behavior::DisconnectAfter { event: 0 };
            endpoints.push(endpoint);
        }
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for number in 0..8 {
            site.post_prompt("/stream/x", &format!("r{number}"), "a1:9,p1:9,x:9", "same").await;
        }
        let broken: usize = endpoints.iter().map(Endpoint::request_count).sum();
        assert!(broken >= 4, "{broken} requests broke off");
        for endpoint in &endpoints {
            *endpoint.default_behavior.borrow_mut() =
                Behavior::Stream { to: 3, pause: Duration::ZERO };
        }
        sleep(Duration::from_millis(500)).await;
        let response = site.post_prompt("/stream/x", "r9", "a1:9,p1:9,x:9", "same").await;
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    });
}
