//! Tests of the service stand-in.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_standin::ServiceConfig;
use dogwoodtray_standin::ServiceStandin;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::common::HttpClient;
use crate::common::eventually;

async fn start() -> (ServiceStandin, HttpClient) {
    let service = ServiceStandin::bind(ServiceConfig::default()).await.unwrap();
    let http = HttpClient::new(service.addr());
    (service, http)
}

/// Guards against repeated calls that are counted as one run, or counted under the wrong key.
#[tokio::test]
async fn runs_are_echoed_and_counted_by_key() {
    let (_service, http) = start().await;
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    for run in 1..=2 {
        let (status, body) = http.send("PUT", "/refunds/7", &headers, "slip").await.unwrap();
        assert_eq!(status, StatusCode::OK);
        let echo: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(echo["request_id"], "r1");
        assert_eq!(echo["body_hash"], ContentHash::of(b"slip").to_string());
        assert_eq!(echo["run"], run);
    }
    http.send("GET", "/", &[("x-request-id", "r2")], "").await.unwrap();
    let runs = http.get("/standin/runs").await;
    assert_eq!(runs["runs"]["k1"]["finished"], 2);
    assert_eq!(runs["runs"]["r2"]["finished"], 1);
}

/// Guards against runs that are not counted because their reply is a failure or is dropped.
#[tokio::test]
async fn failed_and_dropped_runs_are_counted() {
    let (service, http) = start().await;
    let headers = [("idempotency-key", "k1")];
    http.set_faults(json!({ "fail": 1.0 })).await;
    let (status, _) = http.send("POST", "/refunds", &headers, "").await.unwrap();
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    http.set_faults(json!({ "fail": 0.0, "drop_after_run": 1.0 })).await;
    assert_eq!(http.send("POST", "/refunds", &headers, "").await, None);
    assert_eq!(service.runs()["k1"].finished, 2);
}

/// Guards against a run that stops when its caller disconnects: a repeated effect would then not
/// be counted.
#[tokio::test]
async fn run_finishes_after_its_caller_disconnects() {
    let (service, http) = start().await;
    http.set_faults(json!({ "slow_ms": 200 })).await;
    let caller = tokio::spawn(async move {
        http.send("POST", "/refunds", &[("idempotency-key", "k1")], "").await
    });
    eventually("the run starts", || async { !service.runs().is_empty() }).await;
    caller.abort();
    eventually("the run finishes", || async { service.runs()["k1"].finished == 1 }).await;
}

/// Guards against a crashed service that still replies, and a restarted one that does not.
#[tokio::test]
async fn crashed_service_refuses_connections_until_restart() {
    let (service, http) = start().await;
    http.send("GET", "/a", &[], "").await.unwrap();
    service.crash(None);
    eventually("the service is down", || async { http.send("GET", "/a", &[], "").await.is_none() })
        .await;
    service.restart();
    eventually("the service is up", || async { http.send("GET", "/a", &[], "").await.is_some() })
        .await;
}
