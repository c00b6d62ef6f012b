//! Tests of requests that wait for a place at a driver whose knowledge has become outdated.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::choose_subset;
use hyper::StatusCode;
use support::Site;
use support::config_moving;
use support::run_local;
use support::wait_until;
use tokio::time::sleep;

/// Time until a driver that cannot list the endpoints says so in its heartbeats, and requests move.
const OUTDATED_TIME: Duration = Duration::from_secs(3);

/// Guards against a request that waits, until its time is up, at a driver that cannot learn of new
/// endpoints any more, while another driver grants places there.
#[test]
fn a_request_leaves_a_driver_with_an_outdated_list_of_endpoints() {
    run_local(async {
        let site = Site::new();
        site.store.put("config", "main", &config_moving(2, &[]));
        let names = [Name::from("d1"), Name::from("d2")];
        let first = choose_subset("places", &names, 1).remove(0);
        let second = names.iter().find(|name| **name != first).unwrap();
        let old = site.add_endpoint("e1", "engine", 1).await;
        // The drivers do not know each other, as if the path between them were cut.
        let first_store = site.store.separate_handle().with_hidden_object("nodes", second);
        let second_store = site.store.separate_handle().with_hidden_object("nodes", &first);
        let _first = site.start_driver_on(&first, first_store.clone()).await;
        let _second = site.start_driver_on(second, second_store).await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_secs(1)).await;
        site.make_busy("/stream/x", &old).await;
        let before = old.request_count();
        let running = site.post("/stream/x", "r1", "slip");
        let waiting = async {
            wait_until("the first request runs", || old.request_count() > before).await;
            let started = Instant::now();
            let outdated = async {
                sleep(Duration::from_millis(50)).await;
                first_store.set_rejecting(true);
                sleep(Duration::from_millis(50)).await;
                site.add_endpoint("e2", "engine", 1).await
            };
            let (response, new) = tokio::join!(site.post("/stream/x", "r2", "slip"), outdated);
            (response, started.elapsed(), new)
        };
        let (_, (response, took, new)) = tokio::join!(running, waiting);
        assert_eq!(response.status, StatusCode::OK, "after {took:?}");
        assert_eq!(new.request_count(), 1);
        assert!(took > Duration::from_millis(500), "the request waits: {took:?}");
        assert!(took < OUTDATED_TIME, "{took:?}");
    });
}
