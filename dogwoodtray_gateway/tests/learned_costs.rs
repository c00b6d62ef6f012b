//! Tests of learned costs and of reports of slow streams between processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_gateway::JobDriver;
use support::BUSY;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::run_local;
use support::wait_until;
use tokio::time::sleep;

/// Guards against a driver that would take over without the costs that the first one has learned.
#[test]
fn drivers_that_do_not_assign_places_receive_learned_costs() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 2).await;
        let answer = Behavior::Stream { to: 3, pause: Duration::from_millis(10) };
        *endpoint.default_behavior.borrow_mut() = answer;
        let names = [Name::from("d1"), Name::from("d2")];
        let first = choose_subset("places", &names, 1).remove(0);
        let second = names.iter().find(|name| **name != first).unwrap();
        let first = site.start_driver(&first).await;
        let second = site.start_driver(second).await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_secs(1)).await;
        for number in 0..5 {
            site.post("/stream/x", &format!("r{number}"), "slip").await;
        }
        let mean_of = |driver: &JobDriver| {
            let learned = driver.learned_costs();
            learned.iter().flat_map(|service| &service.routes).map(|route| route.seconds).next()
        };
        assert!(mean_of(&first).is_some());
        wait_until("the costs are known", || mean_of(&second).is_some()).await;
        let (known, learned) = (mean_of(&second).unwrap(), mean_of(&first).unwrap());
        assert!((0.85..=1.01).contains(&(known / learned)), "{known} {learned}");
    });
}

/// Guards against requests that go to an endpoint whose running streams have become slow while another
/// has as many free places.
#[test]
fn an_endpoint_with_a_slow_stream_is_used_less() {
    run_local(async {
        let site = Site::new();
        let endpoints = [
            site.add_endpoint("e1", "engine", 8).await,
            site.add_endpoint("e2", "engine", 8).await,
        ];
        let slow = Behavior::Stream { to: 100, pause: Duration::from_millis(300) };
        for endpoint in &endpoints {
            *endpoint.default_behavior.borrow_mut() = slow.clone();
        }
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let later = async |ms, id| {
            sleep(Duration::from_millis(ms)).await;
            site.post("/stream/x", id, "slip").await;
        };
        let posts = async {
            tokio::join!(
                later(0, "r1"),
                later(800, "r2"),
                later(850, "r3"),
                later(900, "r4"),
                later(950, "r5")
            )
        };
        let checks = async {
            sleep(Duration::from_millis(400)).await;
            let used = |index: usize| endpoints[index].request_count() > 0;
            let (slow, other) = if used(0) { (0, 1) } else { (1, 0) };
            *endpoints[other].default_behavior.borrow_mut() = BUSY;
            wait_until("all requests run", || {
                endpoints.iter().map(Endpoint::request_count).sum::<usize>() == 5
            })
            .await;
            assert_eq!((endpoints[slow].request_count(), endpoints[other].request_count()), (1, 4));
        };
        tokio::select! {
            _ = posts => panic!("the streams go on"),
            () = checks => {}
        }
    });
}
