//! Tests of requests and items that wait for a place while their route or its services change.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::StatusCode;
use support::BUSY;
use support::Behavior;
use support::Endpoint;
use support::HOST;
use support::Site;
use support::config_moving;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::sleep;

/// Time in which a change must reach what waits. It is far below the time that an item waits for a
/// place, and above the interval of all periodic checks.
const CHANGE_TIME: Duration = Duration::from_secs(5);

/// Occupies the only place of an endpoint with an item, and queues two further items.
async fn queue_items(site: &Site, endpoint: &Endpoint) {
    *endpoint.default_behavior.borrow_mut() = BUSY;
    let submitted = site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
    assert_eq!(submitted.status, StatusCode::ACCEPTED);
    wait_until("an item runs", || endpoint.request_count() == 1).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(endpoint.request_count(), 1, "the other items wait");
}

/// Waits until this number of items of the job has been given up, and returns the time it took.
async fn wait_for_failures(site: &Site, count: usize) -> Duration {
    let started = Instant::now();
    while started.elapsed() < 2 * CHANGE_TIME {
        let page = site.get("/api/lots/j1?after=0").await;
        if page.body.matches("dead_letter").count() == count {
            return started.elapsed();
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("fewer than {count} items are given up in time");
}

/// Guards against accepted items that wait for a place of the service that their route had, until they
/// are given up unrun.
#[test]
fn items_that_wait_for_a_place_follow_their_route_to_another_service() {
    run_local(async {
        let (site, old, _running) = Site::with_processes("engine", 1).await;
        let new = site.add_endpoint("e2", "other", 4).await;
        queue_items(&site, &old).await;
        site.store.put("config", "main", &config_moving(2, &[("job", &["other"])]));
        let changed = Instant::now();
        wait_until("the items run at the new service", || new.request_count() == 2).await;
        assert!(changed.elapsed() < CHANGE_TIME, "{:?}", changed.elapsed());
        assert_eq!(old.request_count(), 1);
    });
}

/// Guards against items that wait for a service of a split route that has lost its endpoints, while the
/// other service has free places.
#[test]
fn items_leave_a_service_of_a_split_route_that_has_no_endpoints() {
    run_local(async {
        let (site, old, _running) = Site::with_processes("engine", 1).await;
        let new = site.add_endpoint("e2", "other", 1).await;
        *new.default_behavior.borrow_mut() = BUSY;
        let split = config_moving(2, &[("job", &["engine", "other"])]);
        site.store.put("config", "main", &split);
        *old.default_behavior.borrow_mut() = BUSY;
        sleep(Duration::from_millis(500)).await;
        let items: Vec<String> = (0..16).map(|number| format!("i{number}")).collect();
        let items: Vec<&str> = items.iter().map(String::as_str).collect();
        site.post("/job/x", "j1", &submission(&items)).await;
        wait_until("both run an item", || old.request_count() + new.request_count() == 2).await;
        // Fourteen items wait, for either service.
        site.store.put("servers", "e1", &old.entry("draining"));
        *new.default_behavior.borrow_mut() = Behavior::Stream { to: 2, pause: Duration::ZERO };
        let third = site.add_endpoint("e3", "other", 16).await;
        let changed = Instant::now();
        wait_until("all others run", || third.request_count() + new.request_count() >= 15).await;
        assert!(changed.elapsed() < CHANGE_TIME, "{:?}", changed.elapsed());
    });
}

/// Guards against items that wait for a place after their route was removed.
#[test]
fn items_that_wait_for_a_place_end_with_their_route() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        queue_items(&site, &endpoint).await;
        site.store.put("config", "main", &config_moving(2, &[("job", &[])]));
        wait_for_failures(&site, 2).await;
    });
}

/// Guards against items that stay queued beyond their retention, because the wait for a place has a
/// limit of its own.
#[test]
fn an_item_is_given_up_when_its_retention_ends_while_it_waits() {
    run_local(async {
        let site = Site::new();
        let short = config_moving(2, &[]).replace(r#""retention-s":60"#, r#""retention-s":2"#);
        site.store.put("config", "main", &short);
        let endpoint = site.add_endpoint("e1", "engine", 1).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        queue_items(&site, &endpoint).await;
        let given_up = wait_for_failures(&site, 2).await;
        assert!(given_up >= Duration::from_millis(1_500), "{given_up:?}");
    });
}

/// Guards against items that are given up as without a route by a driver whose configuration is older
/// than that by which their job was accepted.
#[test]
fn an_item_waits_for_the_configuration_by_which_its_job_was_accepted() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        let item = r#"{"id":"a","path":"/late/a","headers":[],"body":"aGk=","tokens":9}"#;
        let job = format!(
            r#"{{"route":"late","host":"{HOST}","accepted_unix_ms":{},"target_ms":18000,
            "retention_ms":60000,"max_attempts":2,"total":1,"parts":0,"generation":5,
            "items":[{item}]}}"#,
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
        );
        site.store.put("batch-jobs", "j1", &job);
        // Longer than the time for which a route may be missing.
        sleep(Duration::from_secs(5)).await;
        let page = site.get("/api/lots/j1?after=0").await;
        assert!(!page.body.contains("dead_letter"), "{}", page.body);
        let renamed = config_moving(5, &[]).replace(r#""/job/""#, r#""/late/""#);
        site.store.put("config", "main", &renamed);
        wait_until("the item runs", || endpoint.request_count() == 1).await;
    });
}

/// Guards against an online request that waits, until its time is up, for a place of the service that
/// its route had.
#[test]
fn a_request_that_waits_for_a_place_follows_its_route_to_another_service() {
    run_local(async {
        let site = Site::new();
        let old = site.add_endpoint("e1", "engine", 1).await;
        let new = site.add_endpoint("e2", "other", 4).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        site.make_busy("/resume/x", &old).await;
        let before = old.request_count();
        let first = site.post("/resume/x", "r1", "slip");
        let second = async {
            wait_until("the first request runs", || old.request_count() > before).await;
            let started = Instant::now();
            let moved = async {
                sleep(Duration::from_millis(150)).await;
                let moved = config_moving(2, &[("resume", &["other"])]);
                site.store.put("config", "main", &moved);
            };
            let (response, ()) = tokio::join!(site.post("/resume/x", "r2", "slip"), moved);
            (response, started.elapsed())
        };
        let (_, (response, took)) = tokio::join!(first, second);
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
        assert_eq!(new.request_count(), 1);
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

/// Guards against an online request that waits until its time is up for a place of a service whose last
/// endpoint has left.
#[test]
fn a_request_that_waits_for_a_service_without_endpoints_is_refused() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        site.make_busy("/stream/x", &endpoint).await;
        let before = endpoint.request_count();
        let first = site.post("/stream/x", "r1", "slip");
        let second = async {
            wait_until("the first request runs", || endpoint.request_count() > before).await;
            let started = Instant::now();
            let removed = async {
                sleep(Duration::from_millis(100)).await;
                site.store.put("servers", "e1", &endpoint.entry("draining"));
            };
            let (response, ()) = tokio::join!(site.post("/stream/x", "r2", "slip"), removed);
            (response, started.elapsed())
        };
        let (_, (response, took)) = tokio::join!(first, second);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(took > Duration::from_millis(100), "the request waits: {took:?}");
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

/// Guards against requests that are refused on a split route because one of its services has no
/// endpoints.
#[test]
fn requests_on_a_split_route_go_to_a_service_with_endpoints() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 8).await;
        let split = config_moving(2, &[("stream", &["engine", "other"])]);
        site.store.put("config", "main", &split);
        sleep(Duration::from_millis(500)).await;
        for number in 0..20 {
            let response = site.post("/stream/x", &format!("r{number}"), "slip").await;
            assert_eq!(response.status, StatusCode::OK);
        }
        assert_eq!(endpoint.request_count(), 20);
    });
}
