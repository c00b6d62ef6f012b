//! Tests of batch jobs on the users' platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use support::Behavior;
use support::KillableDriver;
use support::Site;
use support::TestResponse;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::sleep;

/// Returns the id, state and output of each result on a page.
fn results(response: &TestResponse) -> Vec<(String, String, String)> {
    let page: Value = serde_json::from_str(&response.body).unwrap();
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let results = page["results"].as_array().unwrap().iter();
    results.map(|r| (text(&r["id"]), text(&r["state"]), text(&r["output"]))).collect()
}

/// Reads the results of a job until it has at least `count` of them.
async fn read_all(site: &Site, job: &str, count: usize) -> Vec<(String, String, String)> {
    for _ in 0..400 {
        let response = site.get(&format!("/api/lots/{job}?after=0")).await;
        if response.status == StatusCode::OK && results(&response).len() >= count {
            return results(&response);
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("job {job} has no {count} results");
}

/// Guards against results that are missing, duplicated or truncated, also when a job is submitted
/// twice.
#[test]
fn every_item_has_one_result_with_its_complete_output() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        let response = site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        assert_eq!(response.status, StatusCode::ACCEPTED);
        let again = site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        assert_eq!(again.status, StatusCode::ACCEPTED);
        let mut results_found = read_all(&site, "j1", 3).await;
        results_found.sort();
        let outputs = results_found.iter().map(|(id, state, output)| {
            assert_eq!(state, "completed");
            (id.as_str(), output.as_str())
        });
        let complete_output = "e1\ne2\ne3";
        assert!(outputs.eq([
            ("a", complete_output),
            ("b", complete_output),
            ("c", complete_output)
        ]));
        assert_eq!(endpoint.request_count(), 3);
    });
}

/// Guards against a 404 for a job that exists but cannot be read because the store is down.
#[test]
fn a_read_returns_404_for_an_unknown_job_and_503_while_the_store_is_down() {
    run_local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        wait_until("a link", || true).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(site.get("/api/lots/none?after=0").await.status, StatusCode::NOT_FOUND);
        site.store.set_down(true);
        let response = site.get("/api/lots/none?after=0").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// Guards against items of a cancelled job that run again after a driver restarts. It lists jobs
/// and cancellations separately, and either list may arrive first.
#[test]
fn a_restarted_driver_does_not_run_a_cancelled_job() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 1).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 1_000, pause: Duration::from_millis(20) };
        let first = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        let response = site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        assert_eq!(response.status, StatusCode::ACCEPTED);
        wait_until("an item runs", || endpoint.request_count() == 1).await;
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        wait_until("the item is aborted", || !*endpoint.requests.borrow()[0].in_progress.borrow())
            .await;
        first.drain().await;
        let before = endpoint.request_count();
        for slow in ["batch-jobs", "batch-ends"] {
            site.store.delay_lists(slow, Duration::from_millis(300));
            let next = site.start_driver(slow).await;
            sleep(Duration::from_secs(1)).await;
            assert_eq!(endpoint.request_count(), before, "the list of {slow} arrives last");
            next.drain().await;
        }
        drop(gateway);
    });
}

/// Guards against missing or duplicated output after the connection to the endpoint is lost in the
/// middle of an event.
#[test]
fn an_interrupted_item_resumes_after_its_last_complete_event() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        endpoint.enqueue(Behavior::DisconnectWithin { event: 2 });
        endpoint.enqueue(Behavior::Stream { to: 4, pause: Duration::ZERO });
        site.post("/job/x", "j1", &submission(&["a"])).await;
        let results_found = read_all(&site, "j1", 1).await;
        assert_eq!(results_found[0].2, "e1\ne2\ne3\ne4");
        assert_eq!(endpoint.requests.borrow()[1].last_event_id, Some(2));
    });
}

/// Guards against items that fail before `max_attempts` failed runs, and against items that are
/// retried without end, also after a 422.
#[test]
fn an_item_fails_after_max_attempts_or_an_unprocessable_status() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        endpoint.enqueue(Behavior::Status(500));
        endpoint.enqueue(Behavior::Status(500));
        endpoint.enqueue(Behavior::Status(422));
        site.post("/job/x", "j1", &submission(&["a"])).await;
        assert_eq!(read_all(&site, "j1", 1).await[0].1, "dead_letter");
        assert_eq!(endpoint.request_count(), 2);
        site.post("/job/x", "j2", &submission(&["b"])).await;
        assert_eq!(read_all(&site, "j2", 1).await[0].1, "dead_letter");
        assert_eq!(endpoint.request_count(), 3);
    });
}

/// Guards against missing or duplicated results when a write succeeds but the reply of the store is
/// lost.
#[test]
fn a_lost_reply_to_a_commit_duplicates_no_result() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 4).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 3, pause: Duration::from_millis(100) };
        site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        wait_until("items run", || endpoint.request_count() == 3).await;
        site.store.lose_replies(2);
        let mut results_found = read_all(&site, "j1", 3).await;
        results_found.sort();
        results_found.dedup_by(|a, b| a.0 == b.0);
        assert_eq!(results_found.len(), 3);
    });
}

/// Guards against online requests that are queued behind batch items in an endpoint.
#[test]
fn a_batch_item_is_preempted_by_online_requests_and_resumed() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 3).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 60, pause: Duration::from_millis(20) };
        site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        wait_until("both items run", || endpoint.request_count() == 2).await;
        // Wait for a few events, so that there is output to resume from.
        sleep(Duration::from_millis(200)).await;
        let (x, y, z) = tokio::join!(
            site.post("/stream/x", "r1", "slip"),
            site.post("/stream/x", "r2", "slip"),
            site.post("/stream/x", "r3", "slip"),
        );
        for response in [x, y, z] {
            assert_eq!(response.status, StatusCode::OK);
            assert!(response.complete);
        }
        assert_eq!(read_all(&site, "j1", 2).await.len(), 2);
        let requests = endpoint.requests.borrow();
        assert!(
            requests.iter().any(|request| request.last_event_id.is_some()),
            "no item was resumed"
        );
    });
}

/// Guards against item bodies that cannot be read, and against item bodies that remain readable
/// after their job is cancelled.
#[test]
fn an_item_body_is_readable_until_its_job_is_cancelled() {
    run_local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        site.post("/job/x", "j1", &submission(&["a"])).await;
        let response = site.get("/api/items/j1?id=a").await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "hi"));
        assert_eq!(site.get("/api/items/j1?id=b").await.status, StatusCode::NOT_FOUND);
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        let store = site.store.clone();
        wait_until("the cancellation is stored", || store.spec("batch-ends", "j1").is_some()).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(site.get("/api/items/j1?id=a").await.status, StatusCode::NOT_FOUND);
    });
}

/// Guards against a retirement that is recorded while the driver still has work, or that is never
/// recorded.
#[test]
fn a_retiring_driver_hands_over_its_jobs_and_records_completion() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 40, pause: Duration::from_millis(20) };
        let _first = site.start_driver("d1").await;
        let _second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        for job in ["j1", "j2", "j3", "j4"] {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        wait_until("items run", || endpoint.request_count() > 0).await;
        site.store.put("retirements", "d1", r#"{"duration-s":10}"#);
        let store = site.store.clone();
        let done =
            || store.status("retirements", "d1").is_some_and(|status| status.contains("completed"));
        wait_until("the retirement is recorded", done).await;
        for job in ["j1", "j2", "j3", "j4"] {
            assert_eq!(read_all(&site, job, 1).await.len(), 1);
        }
    });
}

/// Guards against items of a cancelled job that continue to run because the watch of cancellations
/// delivers nothing.
#[test]
fn a_driver_receives_a_cancellation_on_its_links() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 1).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 1_000, pause: Duration::from_millis(20) };
        site.post("/job/x", "j1", &submission(&["a"])).await;
        wait_until("the item runs", || endpoint.request_count() == 1).await;
        site.store.stall_watches(true);
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        wait_until("the item is aborted", || !*endpoint.requests.borrow()[0].in_progress.borrow())
            .await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Guards against jobs that make no progress because the store rejects the calls of their driver
/// while it accepts those of other processes.
#[test]
fn a_driver_rejected_by_the_store_uses_its_peers() {
    run_local(async {
        let site = Site::new();
        let _endpoint = site.add_endpoint("e1", "engine", 8).await;
        let rejecting_store = site.store.separate_handle();
        let _first = site.start_driver_on("d1", rejecting_store.clone()).await;
        let _second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        rejecting_store.set_rejecting(true);
        let jobs = ["j1", "j2", "j3", "j4", "j5", "j6"];
        for job in jobs {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        for job in jobs {
            assert_eq!(read_all(&site, job, 1).await[0].1, "completed", "{job}");
        }
    });
}

/// Guards against two drivers that both drive a job and compete for places at the endpoints. This
/// occurs if they cannot reach each other while gateways reach both.
#[test]
fn only_one_of_two_partitioned_drivers_drives_a_job() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 64).await;
        let store = site.store.separate_handle();
        let _first =
            site.start_driver_on("d1", store.clone().with_hidden_object("nodes", "d2")).await;
        let _second = site.start_driver_on("d2", store.with_hidden_object("nodes", "d1")).await;
        let _gateway = site.start_gateway().await;
        // Wait until the gateway has links to both and has reported which one it uses.
        sleep(Duration::from_millis(1_500)).await;
        let jobs = ["j1", "j2", "j3", "j4"];
        for job in jobs {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        for job in jobs {
            assert_eq!(read_all(&site, job, 1).await.len(), 1);
        }
        assert_eq!(endpoint.request_count(), jobs.len());
    });
}

/// Guards against items that stay in the queue of an endpoint, where they delay online requests.
/// This occurs if the endpoint runs work that the drivers are not aware of.
#[test]
fn a_queued_item_leaves_its_endpoint() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 4).await;
        endpoint.enqueue(Behavior::NoResponse);
        site.post("/job/x", "j1", &submission(&["a"])).await;
        wait_until("the item was sent", || endpoint.request_count() == 1).await;
        let sent = std::time::Instant::now();
        wait_until("the item is sent again", || endpoint.request_count() == 2).await;
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
        assert_eq!(read_all(&site, "j1", 1).await[0].1, "completed");
    });
}

/// Guards against output that is lost when a driver stops: the next driver resumes the item after
/// the output that was replicated to it.
#[test]
fn a_driver_resumes_from_replicated_output() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 150, pause: Duration::from_millis(20) };
        let first = site.start_driver("d1").await;
        let second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        site.post("/job/x", "j1", &submission(&["a"])).await;
        wait_until("the item runs", || endpoint.request_count() == 1).await;
        sleep(Duration::from_millis(1_700)).await;
        let stop = |driver: dogwoodtray_gateway::JobDriver| driver.drain();
        if first.drives("j1") {
            stop(first).await;
        } else {
            stop(second).await;
        }
        let results_found = read_all(&site, "j1", 1).await;
        let complete_output: Vec<String> = (1..=150).map(|event| format!("e{event}")).collect();
        assert_eq!(results_found[0].2, complete_output.join("\n"));
        let requests = endpoint.requests.borrow();
        assert!(
            requests.last().unwrap().last_event_id.is_some_and(|last| last > 30),
            "{requests:?}"
        );
    });
}

/// Guards against results that disappear after they were read. This occurs if the driver that takes
/// over a job replies before it has read the results that the previous driver stored.
#[test]
fn a_new_owner_replies_only_after_it_has_read_the_stored_results() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        let first = site.start_driver("d1").await;
        let second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        endpoint.enqueue(Behavior::Stream { to: 3, pause: Duration::ZERO });
        endpoint.enqueue(Behavior::Stream { to: 1_000, pause: Duration::from_millis(20) });
        site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        read_all(&site, "j1", 1).await;
        let (owner, other) = if first.drives("j1") { (first, second) } else { (second, first) };
        site.store.set_down(true);
        owner.drain().await;
        wait_until("the other driver takes over the job", || other.drives("j1")).await;
        for _ in 0..20 {
            let response = site.get("/api/lots/j1?after=0").await;
            let lost = response.status == StatusCode::OK && results(&response).is_empty();
            assert!(!lost, "{response:?}");
        }
        site.store.set_down(false);
        read_all(&site, "j1", 1).await;
    });
}

/// Guards against an operator who takes the last driver away because its VM is reported as emptied, and
/// against two drivers that wait for each other (review/2).
#[test]
fn the_last_driver_is_emptied_only_when_another_one_can_take_over() {
    run_local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        *endpoint.default_behavior.borrow_mut() =
            Behavior::Stream { to: 40, pause: Duration::from_millis(20) };
        let mut drivers = vec![("d1", KillableDriver::start(&site, "d1"))];
        drivers.push(("d2", KillableDriver::start(&site, "d2")));
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post("/job/x", "j1", &submission(&["a"])).await.status, 202);
        wait_until("the item runs", || endpoint.request_count() > 0).await;
        for name in ["d1", "d2"] {
            site.store.put("retirements", name, r#"{"duration-s":10}"#);
        }
        let status = |name: &str| site.store.status("retirements", name).unwrap_or_default();
        let completed = || drivers.iter().position(|(name, _)| status(name).contains("completed"));
        wait_until("one is emptied", || completed().is_some()).await;
        let first = drivers.remove(completed().unwrap());
        drop(first);
        assert_eq!(read_all(&site, "j1", 1).await.len(), 1);
        let (last, driver) = drivers.remove(0);
        sleep(Duration::from_secs(4)).await;
        assert!(status(last).contains("running"), "{}", status(last));
        assert_eq!(site.post("/job/x", "j2", &submission(&["b"])).await.status, 202);
        assert_eq!(read_all(&site, "j2", 1).await.len(), 1);
        let _successor = site.start_driver("d3").await;
        wait_until("the last one is emptied", || status(last).contains("completed")).await;
        drop(driver);
        assert_eq!(site.post("/job/x", "j3", &submission(&["c"])).await.status, 202);
        for job in ["j1", "j2", "j3"] {
            assert_eq!(read_all(&site, job, 1).await.len(), 1);
        }
    });
}

/// Guards against an item that is accepted and then given up without a run, because it can be sent to
/// no endpoint: the whole job is refused instead.
#[test]
fn a_job_with_an_item_that_cannot_be_sent_is_refused() {
    run_local(async {
        let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
        let sound = submission(&["a", "b"]);
        let odd = [
            (r#""id":"b""#, r#""id":"b\u0001""#),
            (r#""id":"b""#, r#""id":"""#),
            (r#""path":"/job/b""#, r#""path":"/job/b b""#),
            (r#""path":"/job/b""#, r#""path":"http://other.example/job/b""#),
            (r#""path":"/job/b""#, r#""path":"""#),
            (r#""Model":"m""#, r#""Mod el":"m""#),
            (r#""Model":"m""#, r#""Model":"m\r\nTenant: x""#),
        ];
        for (number, (from, to)) in odd.into_iter().enumerate() {
            let body = sound.replace(from, to);
            assert_ne!(body, sound);
            let response = site.post("/job/x", &format!("j{number}"), &body).await;
            assert_eq!(response.status, StatusCode::BAD_REQUEST, "{body}");
        }
        sleep(Duration::from_millis(300)).await;
        assert_eq!(endpoint.request_count(), 0);
        assert_eq!(site.post("/job/x", "sound", &sound).await.status, StatusCode::ACCEPTED);
    });
}
