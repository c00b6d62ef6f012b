//! Tests of routes that limit the tokens of their unfinished items.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::choose_subset;
use hyper::StatusCode;
use hyper::header;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::config;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::sleep;

/// Each item of [`submission`] has 9 tokens, so three fit.
const LIMIT: u64 = 27;

/// Reservation of the job that the tests submit first.
const RESERVED: &str = r#""j1":27"#;

fn limited_config(version: u64, limit: u64) -> String {
    let limit = format!(r#""max-count":{limit},"completion-target-ms""#);
    config(version).replace(r#""completion-target-ms""#, &limit)
}

/// Creates a site whose batch route is limited to [`LIMIT`], with an endpoint that runs items until
/// they are cancelled.
async fn limited_site() -> (Site, Endpoint) {
    let site = Site::new();
    site.store.put("config", "main", &limited_config(2, LIMIT));
    let endpoint = site.add_endpoint("e1", "engine", 4).await;
    *endpoint.default_behavior.borrow_mut() =
        Behavior::Stream { to: 10_000, pause: Duration::from_millis(20) };
    (site, endpoint)
}

/// Submits a job with `items` items and returns the status.
async fn submit(site: &Site, job: &str, items: &[&str]) -> StatusCode {
    site.post("/job/x", job, &submission(items)).await.status
}

/// Submits a job until it is accepted.
async fn submit_until_accepted(site: &Site, job: &str, items: &[&str]) {
    for _ in 0..400 {
        let status = submit(site, job, items).await;
        if status == StatusCode::ACCEPTED {
            return;
        }
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
        sleep(Duration::from_millis(50)).await;
    }
    panic!("job {job} is not accepted in time");
}

/// Guards against more tokens than the limit, against a refused job that is stored and runs, and
/// against an accepted job that is refused when it is submitted again.
#[test]
fn a_job_that_does_not_fit_is_refused_and_not_stored() {
    run_local(async {
        let (site, endpoint) = limited_site().await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(submit(&site, "j1", &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        let refused = site.post("/job/x", "j2", &submission(&["d"])).await;
        assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
        let retry_after = refused.headers[header::RETRY_AFTER].to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() > 0.0);
        assert_eq!(submit(&site, "j1", &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        assert_eq!(site.store.spec("batch-jobs", "j2"), None);
        wait_until("the items run", || endpoint.request_count() == 3).await;
        let ids: Vec<String> =
            endpoint.requests.borrow().iter().map(|request| request.id.clone()).collect();
        assert!(!ids.contains(&"d".to_owned()), "{ids:?}");
    });
}

/// Guards against tokens of completed, failed and cancelled items that are never released.
#[test]
fn finished_and_cancelled_items_make_room() {
    run_local(async {
        let (site, endpoint) = limited_site().await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        endpoint.enqueue(Behavior::Stream { to: 3, pause: Duration::ZERO });
        endpoint.enqueue(Behavior::Status(422));
        assert_eq!(submit(&site, "j1", &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        submit_until_accepted(&site, "j2", &["d", "e"]).await;
        assert_eq!(submit(&site, "j3", &["f"]).await, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(site.delete("/api/lots/j2").await.status, StatusCode::OK);
        submit_until_accepted(&site, "j3", &["f", "g"]).await;
    });
}

/// Guards against a limit that stays in force after the configuration was changed, and against a
/// limit of 0 that admits nothing.
#[test]
fn a_changed_limit_is_in_force() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(submit(&site, "j1", &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        site.store.put("config", "main", &limited_config(3, 2 * LIMIT));
        submit_until_accepted(&site, "j2", &["d", "e", "f"]).await;
        assert_eq!(submit(&site, "j3", &["g"]).await, StatusCode::TOO_MANY_REQUESTS);
        site.store.put("config", "main", &limited_config(4, 0));
        submit_until_accepted(&site, "j3", &["g"]).await;
    });
}

/// Guards against a driver that takes over without the jobs that its predecessor has admitted: one
/// that is stored, and one whose gateway failed before it was stored.
#[test]
fn the_next_driver_counts_what_its_predecessor_admitted() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        site.store.put("batch-quotas", "job", r#"{"units":{"lost":9}}"#);
        let first = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(submit(&site, "j1", &["a", "b"]).await, StatusCode::ACCEPTED);
        assert_eq!(submit(&site, "j2", &["c"]).await, StatusCode::TOO_MANY_REQUESTS);
        first.drain().await;
        let _second = site.start_driver("d2").await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(submit(&site, "j2", &["c"]).await, StatusCode::TOO_MANY_REQUESTS);
    });
}

/// Guards against drivers that admit jobs one after the other and together exceed the limit, while
/// submissions go on.
#[test]
fn successive_drivers_admit_no_more_than_the_limit() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        let mut drivers = Vec::new();
        for name in ["d1", "d2", "d3"] {
            drivers.push((name, site.start_driver(name).await));
        }
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_secs(1)).await;
        let mut accepted = 0;
        // Each stop changes the driver that admits jobs, while submissions go on.
        while let Some((_, driver)) = drivers.pop() {
            let submissions = async {
                for index in 0..6 {
                    let job = format!("j{}-{index}", drivers.len());
                    let status = submit(&site, &job, &["a"]).await;
                    accepted += usize::from(status == StatusCode::ACCEPTED);
                }
            };
            if drivers.is_empty() {
                submissions.await;
                break;
            }
            tokio::join!(submissions, driver.drain());
        }
        assert_eq!(accepted, 3);
    });
}

/// Guards against a job that is counted twice or not at all after the store applied the write of
/// its reservation and lost the reply.
#[test]
fn a_lost_reply_to_a_reservation_counts_once() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        site.store.put("batch-quotas", "job", r#"{"units":{}}"#);
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        site.store.lose_replies(1);
        assert_eq!(submit(&site, "j1", &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        let stored = site.store.spec("batch-quotas", "job").unwrap();
        assert!(stored.contains(RESERVED), "{stored}");
        assert_eq!(submit(&site, "j2", &["d"]).await, StatusCode::TOO_MANY_REQUESTS);
    });
}

/// Guards against a refusal that claims that the limit is reached while no driver can know: callers
/// are told that the job was not run, and may return.
#[test]
fn no_job_is_admitted_while_the_store_is_down() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        site.store.set_down(true);
        assert_eq!(submit(&site, "j1", &["a"]).await, StatusCode::SERVICE_UNAVAILABLE);
        site.store.set_down(false);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(submit(&site, "j1", &["a"]).await, StatusCode::ACCEPTED);
    });
}

/// Guards against a gateway without a link to a driver that can submit nothing to a limited route.
#[test]
fn an_isolated_gateway_submits_through_another_one() {
    run_local(async {
        let (site, _endpoint) = limited_site().await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let isolated = site.start_isolated_gateway().await;
        isolated.store.set_down(false);
        isolated.store.put("config", "main", &limited_config(2, LIMIT));
        sleep(Duration::from_millis(2_500)).await;
        isolated.store.set_down(true);
        let items = submission(&["a", "b", "c"]);
        let response = site.post_to(isolated.caller_addr, "/job/x", "j1", &items).await;
        assert_eq!(response.status, StatusCode::ACCEPTED);
        let item = submission(&["d"]);
        let response = site.post_to(isolated.caller_addr, "/job/x", "j2", &item).await;
        assert_eq!(response.status, StatusCode::TOO_MANY_REQUESTS);
    });
}

/// Guards against tokens of finished items that count until the end of their job, because the report
/// of their driver was lost with a silent link.
#[test]
fn a_report_of_tokens_that_was_lost_with_its_link_is_repeated() {
    run_local(async {
        let (site, endpoint) = limited_site().await;
        let names = [Name::from("d1"), Name::from("d2")];
        let admitting = choose_subset("jobs", &names, 1).remove(0);
        let _drivers = (site.start_driver("d1").await, site.start_driver("d2").await);
        let _gateway = site.start_gateway().await;
        let relay = site.relay_to(&admitting, 2).await;
        sleep(Duration::from_millis(500)).await;
        let is_driven_elsewhere = |job: &String| choose_subset(job, &names, 1)[0] != admitting;
        let job = (0..).map(|number| format!("j{number}")).find(is_driven_elsewhere).unwrap();
        endpoint.enqueue(Behavior::Stream { to: 100, pause: Duration::from_millis(20) });
        assert_eq!(submit(&site, &job, &["a", "b", "c"]).await, StatusCode::ACCEPTED);
        wait_until("the items run", || endpoint.request_count() == 3).await;
        // The item ends before the other driver notices the silence.
        sleep(Duration::from_millis(1_600)).await;
        relay.silence();
        let is_done = || !*endpoint.requests.borrow()[0].in_progress.borrow();
        wait_until("an item is done", is_done).await;
        wait_until("the links are opened again", || relay.opened.get() == 4).await;
        // Until they are up, the other driver admits jobs.
        sleep(Duration::from_secs(1)).await;
        submit_until_accepted(&site, "next", &["d"]).await;
    });
}
