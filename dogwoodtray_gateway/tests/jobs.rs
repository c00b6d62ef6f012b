//! Batch jobs on the users' platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use support::Act;
use support::Answer;
use support::Site;
use support::local;
use support::submission;
use support::until;
use tokio::time::sleep;

fn results(answer: &Answer) -> Vec<(String, String, String)> {
    let page: Value = serde_json::from_str(&answer.body).unwrap();
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let results = page["results"].as_array().unwrap().iter();
    results.map(|r| (text(&r["id"]), text(&r["state"]), text(&r["output"]))).collect()
}

/// Reads until the job has this many results.
async fn read_all(site: &Site, job: &str, count: usize) -> Vec<(String, String, String)> {
    for _ in 0..400 {
        let answer = site.get(&format!("/api/lots/{job}?after=0")).await;
        if answer.status == StatusCode::OK && results(&answer).len() >= count {
            return results(&answer);
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("job {job} has no {count} results");
}

/// Guards against items that are lost, doubled or cut on the way to their results.
#[test]
fn every_item_of_a_job_has_its_whole_output_once() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 2).await;
        let answer = site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
        let again = site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        assert_eq!(again.status, StatusCode::ACCEPTED);
        let mut found = read_all(&site, "j1", 3).await;
        found.sort();
        let outputs = found.iter().map(|(id, state, output)| {
            assert_eq!(state, "completed");
            (id.as_str(), output.as_str())
        });
        let whole = "e1\ne2\ne3";
        assert!(outputs.eq([("a", whole), ("b", whole), ("c", whole)]));
        assert_eq!(endpoint.run_count(), 3);
    });
}

/// Guards against a job that is not known being told apart wrongly from one that cannot be read.
#[test]
fn an_unknown_job_is_missing_and_an_unreadable_one_is_not() {
    local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        until("a link", || true).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(site.get("/api/lots/none?after=0").await.status, StatusCode::NOT_FOUND);
        site.store.set_down(true);
        let answer = site.get("/api/lots/none?after=0").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// Guards against items of a cancelled job that run again when a driver starts anew: it lists the
/// ends and the jobs apart, in any order.
#[test]
fn a_restarted_driver_does_not_run_a_cancelled_job() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 1).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 1_000, pause: Duration::from_millis(20) };
        let first = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        let answer = site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
        until("an item runs", || endpoint.run_count() == 1).await;
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        until("the item is cut off", || !*endpoint.runs.borrow()[0].open.borrow()).await;
        first.drain().await;
        let before = endpoint.run_count();
        for slow in ["batch-jobs", "batch-ends"] {
            site.store.delay_lists(slow, Duration::from_millis(300));
            let next = site.start_driver(slow).await;
            sleep(Duration::from_secs(1)).await;
            assert_eq!(endpoint.run_count(), before, "the list of {slow} comes last");
            next.drain().await;
        }
        drop(gateway);
    });
}

/// Guards against output that is lost or doubled where a run breaks off, also within an event.
#[test]
fn a_broken_item_goes_on_after_its_last_whole_event() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 1).await;
        endpoint.then(Act::BreakWithin { event: 2 });
        endpoint.then(Act::Stream { to: 4, pause: Duration::ZERO });
        site.post("/job/x", "j1", &submission(&["a"])).await;
        let found = read_all(&site, "j1", 1).await;
        assert_eq!(found[0].2, "e1\ne2\ne3\ne4");
        assert_eq!(endpoint.runs.borrow()[1].last_event_id, Some(2));
    });
}

/// Guards against items that are given up too soon or never.
#[test]
fn an_item_is_given_up_after_its_failures_or_when_it_is_impossible() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 1).await;
        endpoint.then(Act::Status(500));
        endpoint.then(Act::Status(500));
        endpoint.then(Act::Status(422));
        site.post("/job/x", "j1", &submission(&["a"])).await;
        assert_eq!(read_all(&site, "j1", 1).await[0].1, "dead_letter");
        assert_eq!(endpoint.run_count(), 2);
        site.post("/job/x", "j2", &submission(&["b"])).await;
        assert_eq!(read_all(&site, "j2", 1).await[0].1, "dead_letter");
        assert_eq!(endpoint.run_count(), 3);
    });
}

/// Guards against results that are lost or listed twice when the store loses its replies.
#[test]
fn a_lost_reply_to_a_commit_doubles_no_result() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 4).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 3, pause: Duration::from_millis(100) };
        site.post("/job/x", "j1", &submission(&["a", "b", "c"])).await;
        until("items run", || endpoint.run_count() == 3).await;
        site.store.lose_replies(2);
        let mut found = read_all(&site, "j1", 3).await;
        found.sort();
        found.dedup_by(|a, b| a.0 == b.0);
        assert_eq!(found.len(), 3);
    });
}

/// Guards against online requests that wait behind batch work inside an endpoint.
#[test]
fn a_batch_item_gives_its_place_to_an_online_request() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 3).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 60, pause: Duration::from_millis(20) };
        site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        until("both items run", || endpoint.run_count() == 2).await;
        // A few events arrive, so that there is something to go on from.
        sleep(Duration::from_millis(200)).await;
        let (x, y, z) = tokio::join!(
            site.post("/stream/x", "r1", "slip"),
            site.post("/stream/x", "r2", "slip"),
            site.post("/stream/x", "r3", "slip"),
        );
        for answer in [x, y, z] {
            assert_eq!(answer.status, StatusCode::OK);
            assert!(answer.whole);
        }
        assert_eq!(read_all(&site, "j1", 2).await.len(), 2);
        let runs = endpoint.runs.borrow();
        assert!(runs.iter().any(|run| run.last_event_id.is_some()), "no item was resumed");
    });
}

/// Guards against the body of an item that cannot be read back, or still can after the end.
#[test]
fn the_body_of_an_open_item_can_be_read() {
    local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        site.post("/job/x", "j1", &submission(&["a"])).await;
        let answer = site.get("/api/items/j1?id=a").await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "hi"));
        assert_eq!(site.get("/api/items/j1?id=b").await.status, StatusCode::NOT_FOUND);
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        let store = site.store.clone();
        until("the end is stored", || store.spec("batch-ends", "j1").is_some()).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(site.get("/api/items/j1?id=a").await.status, StatusCode::NOT_FOUND);
    });
}

/// Guards against a VM that is taken away while its driver still has work, and against a
/// retirement that is never recorded.
#[test]
fn a_retired_driver_hands_its_jobs_over_and_says_so() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 40, pause: Duration::from_millis(20) };
        let _first = site.start_driver("d1").await;
        let _second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        for job in ["j1", "j2", "j3", "j4"] {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        until("items run", || endpoint.run_count() > 0).await;
        site.store.put("retirements", "d1", r#"{"duration-s":10}"#);
        let store = site.store.clone();
        let done =
            || store.status("retirements", "d1").is_some_and(|status| status.contains("completed"));
        until("the retirement is recorded", done).await;
        for job in ["j1", "j2", "j3", "j4"] {
            assert_eq!(read_all(&site, job, 1).await.len(), 1);
        }
    });
}

/// Guards against items of a cancelled job that go on because the watch of the ends is silent.
#[test]
fn a_driver_hears_of_an_end_on_its_links() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 1).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 1_000, pause: Duration::from_millis(20) };
        site.post("/job/x", "j1", &submission(&["a"])).await;
        until("the item runs", || endpoint.run_count() == 1).await;
        site.store.silence_watches(true);
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        until("the item is cut off", || !*endpoint.runs.borrow()[0].open.borrow()).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(endpoint.run_count(), 1);
    });
}

/// Guards against jobs that lie idle, and results that are late, because the store turns their
/// driver away while it serves the other processes.
#[test]
fn a_driver_that_the_store_turns_away_works_through_its_peers() {
    local(async {
        let site = Site::new();
        let _endpoint = site.add_endpoint("e1", "engine", 8).await;
        let refused = site.store.for_one_process();
        let _first = site.start_driver_on("d1", refused.clone()).await;
        let _second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        refused.turn_away(true);
        let jobs = ["j1", "j2", "j3", "j4", "j5", "j6"];
        for job in jobs {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        for job in jobs {
            assert_eq!(read_all(&site, job, 1).await[0].1, "completed", "{job}");
        }
    });
}

/// Guards against drivers that both drive a job, and take each other's places at the endpoints,
/// because they do not reach each other while gateways reach both.
#[test]
fn of_two_drivers_that_do_not_hear_each_other_one_drives() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 64).await;
        let store = site.store.for_one_process();
        let _first = site.start_driver_on("d1", store.clone().hiding("nodes", "d2")).await;
        let _second = site.start_driver_on("d2", store.hiding("nodes", "d1")).await;
        let _gateway = site.start_gateway().await;
        // The gateway links to both and says whom it asks.
        sleep(Duration::from_millis(1_500)).await;
        let jobs = ["j1", "j2", "j3", "j4"];
        for job in jobs {
            site.post("/job/x", job, &submission(&["a"])).await;
        }
        for job in jobs {
            assert_eq!(read_all(&site, job, 1).await.len(), 1);
        }
        assert_eq!(endpoint.run_count(), jobs.len());
    });
}

/// Guards against items that stand in the queue of an endpoint which runs something that no driver
/// knows of: online requests would wait behind them.
#[test]
fn an_item_does_not_wait_inside_an_endpoint() {
    local(async {
        let (site, endpoint, _running) = Site::serving("engine", 4).await;
        endpoint.then(Act::Silence);
        site.post("/job/x", "j1", &submission(&["a"])).await;
        until("the item was sent", || endpoint.run_count() == 1).await;
        let sent = std::time::Instant::now();
        until("the item is sent again", || endpoint.run_count() == 2).await;
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
        assert_eq!(read_all(&site, "j1", 1).await[0].1, "completed");
    });
}

/// Guards against work that is lost with a driver: the one that takes its job over goes on where
/// the output that it was given ends.
#[test]
fn a_driver_goes_on_where_a_lost_one_stopped() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        *endpoint.usual.borrow_mut() = Act::Stream { to: 150, pause: Duration::from_millis(20) };
        let first = site.start_driver("d1").await;
        let second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        site.post("/job/x", "j1", &submission(&["a"])).await;
        until("the item runs", || endpoint.run_count() == 1).await;
        sleep(Duration::from_millis(1_700)).await;
        let stop = |driver: dogwoodtray_gateway::JobDriver| driver.drain();
        if first.drives("j1") {
            stop(first).await;
        } else {
            stop(second).await;
        }
        let found = read_all(&site, "j1", 1).await;
        let whole: Vec<String> = (1..=150).map(|event| format!("e{event}")).collect();
        assert_eq!(found[0].2, whole.join("\n"));
        let runs = endpoint.runs.borrow();
        assert!(runs.last().unwrap().last_event_id.is_some_and(|last| last > 30), "{runs:?}");
    });
}

/// Guards against results that were read and then seem to be gone, because the driver that takes a
/// job over answers before it has read what the one before it stored.
#[test]
fn a_driver_that_takes_a_job_over_does_not_answer_for_results_that_it_has_not_read() {
    local(async {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 4).await;
        let first = site.start_driver("d1").await;
        let second = site.start_driver("d2").await;
        let _gateway = site.start_gateway().await;
        sleep(Duration::from_millis(500)).await;
        endpoint.then(Act::Stream { to: 3, pause: Duration::ZERO });
        endpoint.then(Act::Stream { to: 1_000, pause: Duration::from_millis(20) });
        site.post("/job/x", "j1", &submission(&["a", "b"])).await;
        read_all(&site, "j1", 1).await;
        let (owner, other) = if first.drives("j1") { (first, second) } else { (second, first) };
        site.store.set_down(true);
        owner.drain().await;
        until("the other driver takes the job over", || other.drives("j1")).await;
        for _ in 0..20 {
            let answer = site.get("/api/lots/j1?after=0").await;
            let lost = answer.status == StatusCode::OK && results(&answer).is_empty();
            assert!(!lost, "{answer:?}");
        }
        site.store.set_down(false);
        read_all(&site, "j1", 1).await;
    });
}
