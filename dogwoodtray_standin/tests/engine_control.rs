//! Tests of the faults, reports and orders of the engine stand-in.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::time::Duration;
use std::time::Instant;

use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use hyper::StatusCode;
use serde_json::json;

use crate::common::HttpClient;
use crate::common::chat_body;
use crate::common::eventually;

async fn start(cfg: EngineConfig) -> (EngineStandin, HttpClient) {
    let engine = EngineStandin::bind(cfg).await.unwrap();
    let http = HttpClient::new(engine.addr());
    (engine, http)
}

async fn is_up(http: &HttpClient) -> bool {
    http.send("GET", "/health", &[], "").await.is_some()
}

/// Guards against a crash that leaves other requests running, ends streams like complete answers,
/// or is not followed by the configured restart.
#[tokio::test]
async fn crash_marker_crashes_the_endpoint() {
    let (engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "crash_marker": "POISON", "restart_after_ms": 50 })).await;
    let other = http.clone();
    let other = tokio::spawn(async move {
        other.chat(&[("x-request-id", "other")], &chat_body("slip", 50_000)).await
    });
    eventually("the other request runs", || async { engine.running_sequences() == 1 }).await;
    let marked = chat_body("a POISON slip", 5);
    assert_eq!(http.chat(&[("x-request-id", "marked")], &marked).await, None);
    assert_eq!(other.await.unwrap(), None, "all connections are dropped");
    eventually("the endpoint restarts", || is_up(&http)).await;
    assert_eq!(engine.running_sequences(), 0);
    let runs = http.get("/standin/runs").await;
    assert_eq!(runs["crashes"], 1);
    assert_eq!(runs["runs"]["marked"]["crashed"], 1);
    assert_eq!(runs["runs"]["other"]["crashed"], 1);
    http.set_faults(json!({ "restart_after_ms": null })).await;
    assert_eq!(http.chat(&[], &marked).await, None);
    eventually("the endpoint is down", || async { !is_up(&http).await }).await;
    engine.restart();
    eventually("the endpoint is up", || is_up(&http)).await;
}

/// Guards against a frozen endpoint that sends responses, and against a request that does not
/// continue when the freeze ends.
#[tokio::test]
async fn frozen_endpoint_sends_no_response() {
    let (engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "freeze": true })).await;
    let caller = http.clone();
    let caller = tokio::spawn(async move { caller.chat(&[], &chat_body("slip", 2)).await });
    let health = http.send("GET", "/health", &[], "");
    assert!(tokio::time::timeout(Duration::from_millis(50), health).await.is_err());
    assert!(engine.runs().is_empty());
    http.set_faults(json!({ "freeze": false })).await;
    assert_eq!(caller.await.unwrap().unwrap().0, StatusCode::OK);
}

/// Guards against a slow factor that has no effect on the step duration.
#[tokio::test]
async fn slow_factor_extends_steps() {
    let (_engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "slow_factor": 10.0 })).await;
    let started_at = Instant::now();
    http.chat(&[], &chat_body("slip", 4)).await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(200), "4 steps of at least 50 ms");
}

/// Guards against a load report that ignores the configured lag.
#[tokio::test]
async fn load_report_lags() {
    let lag = Duration::from_millis(300);
    let (engine, http) = start(EngineConfig::default().load_lag(lag)).await;
    let started_at = Instant::now();
    let caller = http.clone();
    let caller = tokio::spawn(async move { caller.chat(&[], &chat_body("slip", 50_000)).await });
    eventually("the request runs", || async { engine.running_sequences() == 1 }).await;
    let is_reported = || async { http.get("/load").await["load"]["running"] == 1 };
    eventually("the report contains the request", is_reported).await;
    assert!(started_at.elapsed() >= lag, "{:?}", started_at.elapsed());
    caller.abort();
}

/// Guards against cache events that ignore the configured delay and loss, and against a cache that
/// grows beyond its capacity.
#[tokio::test]
async fn cache_events_are_delayed_and_incomplete() {
    let lag = Duration::from_millis(300);
    let step = Duration::from_micros(100);
    let cfg = EngineConfig::default()
        .seed(1)
        .step(step, Duration::ZERO, Duration::ZERO)
        .cache(2, 64)
        .cache_events(lag, 0.5);
    let (_engine, http) = start(cfg).await;
    let started_at = Instant::now();
    for n in 0..20 {
        let mut body = chat_body("slip", 1);
        body["prefix"] = json!(format!("p{n}"));
        http.chat(&[], &body).await.unwrap();
    }
    let is_reported = || async { http.get("/cache-events").await["next"].as_u64() > Some(0) };
    eventually("the first event is reported", is_reported).await;
    assert!(started_at.elapsed() >= lag, "{:?}", started_at.elapsed());
    // 20 prefixes are stored and 18 are evicted, which makes 38 events. With this seed at least one
    // of the last four is not lost.
    let is_reported = || async { http.get("/cache-events").await["next"].as_u64() >= Some(35) };
    eventually("the last events are reported", is_reported).await;
    let page = http.get("/cache-events").await;
    let events = page["events"].as_array().unwrap();
    assert!((5..35).contains(&events.len()), "{page}");
    let seqs: Vec<_> = events.iter().map(|event| event["seq"].as_u64().unwrap()).collect();
    assert!(seqs.is_sorted(), "{page}");
    let rest = http.get(&format!("/cache-events?after={}", seqs[0])).await;
    assert_eq!(rest["events"].as_array().unwrap().len(), events.len() - 1);
}

/// Guards against an engine that applies stale orders although it checks the fencing token, or
/// rejects them although it does not.
#[tokio::test]
async fn stale_orders_are_rejected_if_the_fence_is_checked() {
    let order =
        |name: &str, fence: u64| json!({ "order": "load_model", "name": name, "fence": fence });
    for (checks, status) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let (_engine, http) = start(EngineConfig::default().check_fence(checks)).await;
        assert_eq!(http.post("/orders", order("m1", 5)).await.0, StatusCode::OK);
        assert_eq!(http.post("/orders", order("m2", 4)).await.0, status);
        let models = http.get("/orders").await["models"].clone();
        let models = models.as_array().unwrap();
        assert_eq!(models.contains(&json!("m2")), !checks);
        let mut body = chat_body("slip", 1);
        body["model"] = json!("m1");
        assert_eq!(http.chat(&[], &body).await.unwrap().0, StatusCode::OK);
    }
}

/// Guards against an import that does not add the prefix to the cache, or that accepts the export
/// of another prefix.
#[tokio::test]
async fn exported_prefix_can_be_imported() {
    let (_source_engine, source) = start(EngineConfig::default()).await;
    let (_target_engine, target) = start(EngineConfig::default()).await;
    let mut body = chat_body("slip", 1);
    body["prefix"] = json!("shop/7");
    source.chat(&[], &body).await.unwrap();
    let (status, kv) = source.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    let missing = target.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(missing.0, StatusCode::NOT_FOUND);
    let mismatched = target.send("PUT", "/kv/other", &[], kv.clone()).await.unwrap();
    assert_eq!(mismatched.0, StatusCode::BAD_REQUEST);
    target.send("PUT", "/kv/shop%2F7", &[], kv.clone()).await.unwrap();
    let imported = target.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(imported.1, kv);
}

/// Guards against panics when durations overflow the clock, against request bodies that are read
/// without a size limit, and against a stack overflow from nested JSON.
#[tokio::test]
async fn extreme_input_does_not_stop_the_stand_in() {
    let (engine, http) = start(EngineConfig::default()).await;
    let faults = json!({
        "crash_marker": "POISON", "restart_after_ms": u64::MAX, "slow_factor": 1e6,
    });
    http.set_faults(faults).await;
    assert_eq!(http.chat(&[], &chat_body("POISON", 1)).await, None);
    eventually("the endpoint is down", || async { !is_up(&http).await }).await;
    engine.restart();
    eventually("the endpoint is up", || is_up(&http)).await;
    let slow = http.clone();
    let slow = tokio::spawn(async move { slow.chat(&[], &chat_body("slip", 1)).await });
    eventually("the slow request runs", || async { engine.running_sequences() == 1 }).await;
    let oversized_body = vec![b' '; 20 << 20];
    let reply = http.send("POST", "/orders", &[], oversized_body).await;
    assert!(reply.is_none_or(|(status, _)| status == StatusCode::PAYLOAD_TOO_LARGE));
    let nested = "[".repeat(100_000);
    let (status, _) = http.send("POST", "/orders", &[], nested).await.unwrap();
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(is_up(&http).await);
    slow.abort();
}
