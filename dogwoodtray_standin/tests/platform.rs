//! Tests of the platform stand-in through the platform client.

#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::BudgetConfig;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
use dogwoodtray_platform::WatchReply;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformFaults;
use dogwoodtray_standin::PlatformStandin;
use dogwoodtray_standin::Vm;
use dogwoodtray_standin::VmRole;
use hyper::StatusCode;
use serde_json::json;

use crate::common::HttpClient;
use crate::common::eventually;

async fn start(cfg: PlatformConfig) -> (PlatformStandin, HttpStore, HttpClient) {
    let platform = PlatformStandin::bind(cfg).await.unwrap();
    let rate = 100_000.0;
    let budget =
        BudgetConfig { reads_per_second: rate, writes_per_second: rate, burst_seconds: 1.0 };
    let cfg = HttpStoreConfig::new(platform.addr().to_string())
        .timeout(Duration::from_secs(20))
        .budget(budget);
    let http = HttpClient::new(platform.addr());
    (platform, HttpStore::open(cfg), http)
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new("jobs", name)
}

fn put(name: &str, expect: Precondition, value: &[u8]) -> StoreOp {
    StoreOp::Put { key: key(name), expect, value: Arc::from(value) }
}

async fn create(store: &HttpStore, name: &str) -> Version {
    match store.call(put(name, Precondition::Absent, name.as_bytes())).await {
        StoreReply::Written { version } => version,
        other => panic!("{other:?}"),
    }
}

/// Guards against a write or delete that succeeds although its expected version is stale.
#[tokio::test]
async fn stale_preconditions_conflict() {
    let (_platform, store, _) = start(PlatformConfig::default()).await;
    let first = create(&store, "a/b c%").await;
    assert_eq!(store.call(put("a/b c%", Precondition::Absent, b"x")).await, StoreReply::Conflict);
    let update = put("a/b c%", Precondition::Version(first), b"");
    let StoreReply::Written { version } = store.call(update.clone()).await else {
        panic!("the update was not written");
    };
    assert!(version > first);
    assert_eq!(store.call(update).await, StoreReply::Conflict);
    let found = StoreReply::Found { version, value: Arc::from(&b""[..]) };
    assert_eq!(store.call(StoreOp::Get { key: key("a/b c%") }).await, found);
    let delete = |expect| StoreOp::Delete { key: key("a/b c%"), expect };
    assert_eq!(store.call(delete(first)).await, StoreReply::Conflict);
    assert_eq!(store.call(delete(version)).await, StoreReply::Deleted);
    assert_eq!(store.call(delete(version)).await, StoreReply::Missing);
    assert!(create(&store, "a/b c%").await > version, "a recreated object has a new version");
}

/// Guards against an off-by-one error in the size limit, and against a connection that is closed
/// instead of a reply.
#[tokio::test]
async fn values_over_the_limit_are_rejected() {
    let (_platform, store, _) = start(PlatformConfig::default()).await;
    let limit = vec![7; 1_048_576];
    let reply = store.call(put("limit", Precondition::Absent, &limit)).await;
    assert!(matches!(reply, StoreReply::Written { .. }), "{reply:?}");
    let oversized = vec![7; 1_048_577];
    assert_eq!(
        store.call(put("over", Precondition::Absent, &oversized)).await,
        StoreReply::TooLarge
    );
    assert_eq!(store.call(StoreOp::Get { key: key("over") }).await, StoreReply::Missing);
}

/// Guards against pages that overlap, skip names or contain names without the prefix.
#[tokio::test]
async fn lists_are_paginated() {
    let (_platform, store, _) = start(PlatformConfig::default()).await;
    for name in ["a1", "b1", "b2", "b3", "c1"] {
        create(&store, name).await;
    }
    let mut after = None;
    let mut pages = Vec::new();
    loop {
        let list = StoreOp::List { kind: "jobs".into(), prefix: "b".into(), after, limit: 2 };
        let StoreReply::Listed { entries, more } = store.call(list).await else {
            panic!("the list was not returned");
        };
        after = entries.last().map(|(name, _)| Arc::clone(name));
        pages.push(entries.iter().map(|(name, _)| name.to_string()).collect::<Vec<_>>());
        if !more {
            break;
        }
    }
    assert_eq!(pages, [vec!["b1", "b2"], vec!["b3"]]);
}

/// Guards against a write that has no effect when its reply is lost, and against a lost reply that
/// is reported as a refused call.
#[tokio::test]
async fn lost_reply_is_ambiguous_and_takes_effect() {
    let (platform, store, http) = start(PlatformConfig::default()).await;
    create(&store, "warm").await;
    http.set_faults(json!({ "lost_reply": 1.0 })).await;
    assert_eq!(store.call(put("a", Precondition::Absent, b"x")).await, StoreReply::Ambiguous);
    platform.set_faults(PlatformFaults::default());
    let reply = store.call(StoreOp::Get { key: key("a") }).await;
    assert!(matches!(reply, StoreReply::Found { .. }), "{reply:?}");
}

/// Guards against writes that take effect during an outage, and against watches that stay pending.
#[tokio::test]
async fn outage_refuses_calls_and_ends_watches() {
    let (platform, store, http) = start(PlatformConfig::default()).await;
    let version = create(&store, "a").await;
    let watch = tokio::spawn(store.watch(key("a"), version, Duration::from_secs(200)));
    eventually("the watch is pending", || async { http.get("/standin/calls").await["reads"] == 1 })
        .await;
    platform.set_outage(true);
    assert!(matches!(watch.await.unwrap(), WatchReply::Unavailable { .. }));
    let reply = store.call(put("b", Precondition::Absent, b"x")).await;
    assert!(matches!(reply, StoreReply::Unavailable { .. }), "{reply:?}");
    assert_eq!(store.vms().await, None);
    platform.set_outage(false);
    assert_eq!(store.call(StoreOp::Get { key: key("b") }).await, StoreReply::Missing);
}

/// Guards against a refused call that takes effect.
#[tokio::test]
async fn refused_call_has_no_effect() {
    let faults = PlatformFaults { refuse: 1.0, ..PlatformFaults::default() };
    let (platform, store, _) = start(PlatformConfig::default().faults(faults)).await;
    let reply = store.call(put("a", Precondition::Absent, b"x")).await;
    assert!(matches!(reply, StoreReply::Unavailable { .. }), "{reply:?}");
    platform.set_faults(PlatformFaults::default());
    create(&store, "a").await;
}

/// Guards against a watch that misses a change made before or after it starts.
#[tokio::test]
async fn watch_returns_on_change() {
    let (_platform, store, http) = start(PlatformConfig::default()).await;
    let wait = Duration::from_secs(200);
    let watch = tokio::spawn(store.watch(key("a"), Version(0), wait));
    eventually("the watch is pending", || async { http.get("/standin/calls").await["reads"] == 1 })
        .await;
    let version = create(&store, "a").await;
    let changed = WatchReply::Changed { version, value: Arc::from(&b"a"[..]) };
    assert_eq!(watch.await.unwrap(), changed);
    assert_eq!(store.watch(key("a"), Version(0), wait).await, changed);
    let unchanged = store.watch(key("a"), version, Duration::from_millis(20)).await;
    assert_eq!(unchanged, WatchReply::Unchanged);
}

/// Guards against calls that are counted twice, not at all, or under the wrong kind.
#[tokio::test]
async fn calls_are_counted_and_rate_limited() {
    let (platform, store, http) = start(PlatformConfig::default().rates(0.001, 1.0)).await;
    create(&store, "a").await;
    let reply = store.call(put("b", Precondition::Absent, b"x")).await;
    assert!(matches!(reply, StoreReply::Unavailable { .. }), "{reply:?}");
    let reply = store.call(StoreOp::Get { key: key("a") }).await;
    assert!(
        matches!(reply, StoreReply::Unavailable { .. }),
        "a bucket with less than one token refuses the call"
    );
    let calls = http.get("/standin/calls").await;
    let expected = json!([
        { "kind": "jobs", "op": "get", "count": 1 },
        { "kind": "jobs", "op": "put", "count": 2 },
    ]);
    assert_eq!(calls["calls"], expected);
    assert_eq!(calls["refused"], json!({ "rate_limit": 2 }));
    assert_eq!(platform.call_count(), 3);
}

/// Guards against a list of VMs that ignores the configured lag, or never includes a change.
#[tokio::test]
async fn vm_list_lags() {
    let vm = Vm::live("entry-1", VmRole::Entry, "127.0.0.1:1", "apeldoorn");
    let lag = Duration::from_secs(100);
    let cfg = PlatformConfig::default().vms(vec![vm.clone()]).vm_lag(lag);
    let (_platform, store, http) = start(cfg).await;
    let added = json!({
        "name": "agent-1", "role": "agent", "addr": "127.0.0.1:2",
        "data_centre": "zutphen", "state": "leaving",
    });
    let reply = http.send("PUT", "/standin/vms/agent-1", &[], added.to_string()).await.unwrap();
    assert_eq!(reply.0, StatusCode::NO_CONTENT);
    assert_eq!(store.vms().await.unwrap().len(), 1);
    http.set_faults(json!({ "vm_lag_ms": 1 })).await;
    eventually("the new VM is listed", || async { store.vms().await.unwrap().len() == 2 }).await;
    let reply = http.send("DELETE", "/standin/vms/entry-1", &[], "").await.unwrap();
    assert_eq!(reply.0, StatusCode::NO_CONTENT);
    eventually("the old VM is no longer listed", || async {
        store.vms().await.unwrap().len() == 1
    })
    .await;
}

/// Guards against panics and success replies when the input is invalid.
#[tokio::test]
async fn invalid_input_is_rejected() {
    let (_platform, _, http) = start(PlatformConfig::default()).await;
    let cases = [
        ("PUT", "/v1/objects/jobs/a", "x", 400),
        ("DELETE", "/v1/objects/jobs/a", "", 400),
        ("POST", "/v1/objects/jobs/a", "", 405),
        ("GET", "/v1/objects/jobs?limit=many", "", 400),
        ("GET", "/v1/watch/jobs/a?after=-1", "", 400),
        ("GET", "/v1/objects/jobs/%FF", "", 400),
        ("GET", "/v1/nothing", "", 404),
        ("POST", "/standin/faults", r#"{"lost_reply":2}"#, 400),
        ("POST", "/standin/faults", r#"{"unknown":1}"#, 400),
        ("PUT", "/standin/vms/a", "{}", 400),
    ];
    for (method, path, body, status) in cases {
        let (actual, answer) = http.send(method, path, &[], body).await.unwrap();
        assert_eq!(actual.as_u16(), status, "{method} {path}");
        let answer: serde_json::Value = serde_json::from_slice(&answer).unwrap();
        assert!(answer["error"]["message"].is_string(), "{method} {path}");
    }
    let headers = [("if-match", "5")];
    let reply = http.send("PUT", "/v1/objects/jobs/a", &headers, "x").await.unwrap();
    assert_eq!(reply.0, StatusCode::BAD_REQUEST);
}
