//! Tests of batch items that crash the endpoints that begin to run them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use support::Item;
use support::Site;
use support::run_local;
use support::start_crashing;
use support::start_crashing_with;
use support::submit_items;
use support::wait_until;
use tokio::task::JoinSet;
use tokio::time::sleep;

const ENDPOINTS: usize = 6;

/// Time for which an endpoint is down after a crash.
const DOWN: Duration = Duration::from_millis(300);

/// Time in which items that are not held back reach an endpoint several times each.
const OBSERVED: Duration = Duration::from_secs(4);

/// Crashes by items with a common part, and further ones of them that may reach an endpoint.
const MAX_WITH_PART: u32 = 5 + 3;

/// Crashes by one item, and further times that it may reach an endpoint.
const MAX_OF_ONE: u32 = 3 + 3;

/// Guards against items with one common part that crash one endpoint after the other, and against
/// other items that wait because of them.
#[test]
fn items_with_a_part_that_crashes_endpoints_stop_reaching_them() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let deadly: Vec<Item> = (0..6)
            .map(|n| Item::new(format!("d{n}"), format!("a1:9,lethal:9,f{n}:9"), format!("d{n}")))
            .collect();
        submit_items(&site, "j1", &deadly).await;
        sleep(OBSERVED).await;
        let reached = counts.deadly.get();
        assert!(reached <= MAX_WITH_PART, "{reached} items reached endpoints");
        let sound: Vec<Item> = (0..4)
            .map(|n| Item::new(format!("s{n}"), format!("b1:9,s{n}:9"), format!("s{n}")))
            .collect();
        submit_items(&site, "j2", &sound).await;
        wait_until("the other items are complete", || counts.sound.get() == 4).await;
    });
}

/// Guards against one item that crashes one endpoint after the other.
#[test]
fn an_item_that_crashes_endpoints_stops_reaching_them() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        submit_items(&site, "j1", &[Item::new("i1", "a1:9,b1:9", "lethal")]).await;
        sleep(OBSERVED).await;
        let reached = counts.deadly.get();
        assert!(reached <= MAX_OF_ONE, "it reached endpoints {reached} times");
    });
}

/// Guards against items that crash endpoints by their common prompt and are not recognized because
/// their bodies differ.
#[test]
fn items_with_the_same_prompt_and_different_bodies_stop_reaching_endpoints() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        submit_items(&site, "j1", &[Item::new("s1", "a1:9,s1:9", "sound")]).await;
        wait_until("an item with the first part is complete", || counts.sound.get() == 1).await;
        let deadly: Vec<Item> = (0..6)
            .map(|n| Item::new(format!("d{n}"), "a1:9,own:9", format!("lethal {n}")))
            .collect();
        submit_items(&site, "j2", &deadly).await;
        sleep(OBSERVED).await;
        let reached = counts.deadly.get();
        assert!(reached <= MAX_WITH_PART, "{reached} items reached endpoints");
        submit_items(&site, "j3", &[Item::new("s2", "a1:9,s2:9", "sound")]).await;
        wait_until("another item with the first part is complete", || counts.sound.get() == 2)
            .await;
    });
}

/// Guards against an item that crashes endpoints after it was preempted and is not noticed.
#[test]
fn an_item_that_crashes_endpoints_after_it_was_preempted_stops_reaching_them() {
    run_local(async {
        let site = Rc::new(Site::new());
        let counts = start_crashing_with(&site.store, 3, DOWN, 1).await;
        counts.crash_delay.set(Duration::from_millis(100));
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        submit_items(&site, "j1", &[Item::new("i1", "a1:9,i1:9", "lethal")]).await;
        let started = Instant::now();
        let mut requests = JoinSet::new();
        let mut seen = 0;
        while started.elapsed() < OBSERVED {
            if counts.deadly.get() > seen {
                seen = counts.deadly.get();
                sleep(Duration::from_millis(20)).await;
                for number in 0..3 {
                    let site = Rc::clone(&site);
                    requests.spawn_local(async move {
                        site.post("/stream/x", &format!("r{seen}-{number}"), "online").await
                    });
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        let reached = counts.deadly.get();
        assert!(reached <= MAX_OF_ONE, "it reached endpoints {reached} times");
    });
}

/// Guards against items that are lost, or held for good, because their content was blocked.
#[test]
fn held_items_run_as_soon_as_their_content_is_cleared() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let deadly: Vec<Item> = (0..4)
            .map(|n| Item::new(format!("d{n}"), format!("a1:9,lethal:9,f{n}:9"), format!("d{n}")))
            .collect();
        submit_items(&site, "j1", &deadly).await;
        sleep(OBSERVED).await;
        let reached = counts.deadly.get();
        assert!(reached <= MAX_WITH_PART, "{reached} items reached endpoints");
        counts.is_healed.set(true);
        wait_until("the trial is complete", || counts.sound.get() > 0).await;
        let cleared_at = Instant::now();
        wait_until("the other items are complete", || counts.sound.get() == 4).await;
        let waited = cleared_at.elapsed();
        assert!(waited <= Duration::from_secs(3), "they waited {waited:?}");
    });
}

/// Guards against an item that is held because endpoints were killed while they ran it.
#[test]
fn an_item_under_which_endpoints_were_killed_with_others_runs_again_at_once() {
    run_local(async {
        let site = Site::new();
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        counts.events.set(60);
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let items: Vec<Item> = (0..12)
            .map(|n| Item::new(format!("i{n}"), format!("a1:9,i{n}:9"), format!("i{n}")))
            .collect();
        submit_items(&site, "j1", &items).await;
        for wave in 1..=6 {
            let before = counts.received.get();
            wait_until("items run again", || counts.received.get() > before).await;
            sleep(Duration::from_millis(60)).await;
            counts.kill_all();
            let crashes = ENDPOINTS as u32 * wave;
            wait_until("the endpoints are down", || counts.crashes.get() == crashes).await;
            sleep(DOWN).await;
        }
        let back_at = Instant::now();
        wait_until("all items are complete", || counts.sound.get() == 12).await;
        let waited = back_at.elapsed();
        assert!(waited <= Duration::from_secs(4), "they took {waited:?}");
    });
}
