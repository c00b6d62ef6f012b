//! Faults, reports and orders of the engine stand-in.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::time::Duration;
use std::time::Instant;

use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use hyper::StatusCode;
use serde_json::json;

use crate::common::Http;
use crate::common::chat_body;
use crate::common::eventually;

async fn start(cfg: EngineConfig) -> (EngineStandin, Http) {
    let engine = EngineStandin::bind(cfg).await.unwrap();
    let http = Http::new(engine.addr());
    (engine, http)
}

async fn is_up(http: &Http) -> bool {
    http.send("GET", "/health", &[], "").await.is_some()
}

/// Guards against a crash that spares other requests, looks like an orderly end, or is final
/// although a restart was set.
#[tokio::test]
async fn marked_request_kills_the_endpoint() {
    let (engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "crash_marker": "POISON", "restart_after_ms": 50 })).await;
    let innocent = http.clone();
    let innocent = tokio::spawn(async move {
        innocent.chat(&[("x-request-id", "innocent")], &chat_body("slip", 50_000)).await
    });
    eventually("innocent runs", || async { engine.running() == 1 }).await;
    let marked = chat_body("a POISON slip", 5);
    assert_eq!(http.chat(&[("x-request-id", "marked")], &marked).await, None);
    assert_eq!(innocent.await.unwrap(), None, "all connections are dropped");
    eventually("endpoint restarts", || is_up(&http)).await;
    assert_eq!(engine.running(), 0);
    let runs = http.get("/standin/runs").await;
    assert_eq!(runs["crashes"], 1);
    assert_eq!(runs["runs"]["marked"]["crashed"], 1);
    assert_eq!(runs["runs"]["innocent"]["crashed"], 1);
    http.set_faults(json!({ "restart_after_ms": null })).await;
    assert_eq!(http.chat(&[], &marked).await, None);
    eventually("endpoint is down", || async { !is_up(&http).await }).await;
    engine.restart();
    eventually("endpoint is up", || is_up(&http)).await;
}

/// Guards against a frozen endpoint that answers, and one that never thaws.
#[tokio::test]
async fn frozen_endpoint_answers_nothing() {
    let (engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "freeze": true })).await;
    let caller = http.clone();
    let caller = tokio::spawn(async move { caller.chat(&[], &chat_body("slip", 2)).await });
    let silent = http.send("GET", "/health", &[], "");
    assert!(tokio::time::timeout(Duration::from_millis(50), silent).await.is_err());
    assert!(engine.runs().is_empty());
    http.set_faults(json!({ "freeze": false })).await;
    assert_eq!(caller.await.unwrap().unwrap().0, StatusCode::OK);
}

/// Guards against a slow factor without effect.
#[tokio::test]
async fn slow_factor_stretches_steps() {
    let (_engine, http) = start(EngineConfig::default()).await;
    http.set_faults(json!({ "slow_factor": 10.0 })).await;
    let begun = Instant::now();
    http.chat(&[], &chat_body("slip", 4)).await.unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(200), "4 steps of at least 50 ms");
}

/// Guards against a load report that is current.
#[tokio::test]
async fn load_report_lags() {
    let lag = Duration::from_millis(300);
    let (engine, http) = start(EngineConfig::default().load_lag(lag)).await;
    let begun = Instant::now();
    let caller = http.clone();
    let caller = tokio::spawn(async move { caller.chat(&[], &chat_body("slip", 50_000)).await });
    eventually("request runs", || async { engine.running() == 1 }).await;
    let shown = || async { http.get("/load").await["load"]["running"] == 1 };
    eventually("report shows the request", shown).await;
    assert!(begun.elapsed() >= lag, "{:?}", begun.elapsed());
    caller.abort();
}

/// Guards against cache events without gaps or without a delay, and against an unbounded cache.
#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let lag = Duration::from_millis(300);
    let step = Duration::from_micros(100);
    let cfg = EngineConfig::default()
        .seed(1)
        .step(step, Duration::ZERO, Duration::ZERO)
        .cache(2, 64)
        .cache_events(lag, 0.5);
    let (_engine, http) = start(cfg).await;
    let begun = Instant::now();
    for n in 0..20 {
        let mut body = chat_body("slip", 1);
        body["prefix"] = json!(format!("p{n}"));
        http.chat(&[], &body).await.unwrap();
    }
    let shown = || async { http.get("/cache-events").await["next"].as_u64() > Some(0) };
    eventually("first event shows", shown).await;
    assert!(begun.elapsed() >= lag, "{:?}", begun.elapsed());
    // 20 prefixes are stored and 18 evicted; one of the last events is not lost.
    let shown = || async { http.get("/cache-events").await["next"].as_u64() >= Some(35) };
    eventually("last event shows", shown).await;
    let page = http.get("/cache-events").await;
    let events = page["events"].as_array().unwrap();
    assert!((5..35).contains(&events.len()), "{page}");
    let seqs: Vec<_> = events.iter().map(|event| event["seq"].as_u64().unwrap()).collect();
    assert!(seqs.is_sorted(), "{page}");
    let rest = http.get(&format!("/cache-events?after={}", seqs[0])).await;
    assert_eq!(rest["events"].as_array().unwrap().len(), events.len() - 1);
}

/// Guards against a fence that is ignored where it is checked, and checked where it is ignored.
#[tokio::test]
async fn orders_are_fenced_where_the_engine_checks() {
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

/// Guards against an import that does not warm the cache, or that takes foreign bytes.
#[tokio::test]
async fn prefixes_move_between_engines() {
    let (_source, source) = start(EngineConfig::default()).await;
    let (_target, target) = start(EngineConfig::default()).await;
    let mut body = chat_body("slip", 1);
    body["prefix"] = json!("shop/7");
    source.chat(&[], &body).await.unwrap();
    let (status, kv) = source.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    let missing = target.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(missing.0, StatusCode::NOT_FOUND);
    let foreign = target.send("PUT", "/kv/other", &[], kv.clone()).await.unwrap();
    assert_eq!(foreign.0, StatusCode::BAD_REQUEST);
    target.send("PUT", "/kv/shop%2F7", &[], kv.clone()).await.unwrap();
    let moved = target.send("GET", "/kv/shop%2F7", &[], "").await.unwrap();
    assert_eq!(moved.1, kv);
}

/// Guards against times that overflow the clock, and bodies that are read without a bound.
#[tokio::test]
async fn extreme_input_does_not_stop_the_stand_in() {
    let (engine, http) = start(EngineConfig::default()).await;
    let faults = json!({
        "crash_marker": "POISON", "restart_after_ms": u64::MAX, "slow_factor": 1e6,
    });
    http.set_faults(faults).await;
    assert_eq!(http.chat(&[], &chat_body("POISON", 1)).await, None);
    eventually("endpoint is down", || async { !is_up(&http).await }).await;
    engine.restart();
    eventually("endpoint is up", || is_up(&http)).await;
    let slow = http.clone();
    let slow = tokio::spawn(async move { slow.chat(&[], &chat_body("slip", 1)).await });
    eventually("slow request runs", || async { engine.running() == 1 }).await;
    let huge = vec![b' '; 20 << 20];
    let refused = http.send("POST", "/orders", &[], huge).await;
    assert!(refused.is_none_or(|(status, _)| status == StatusCode::PAYLOAD_TOO_LARGE));
    let nested = "[".repeat(100_000);
    let (status, _) = http.send("POST", "/orders", &[], nested).await.unwrap();
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(is_up(&http).await);
    slow.abort();
}
