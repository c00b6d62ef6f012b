//! The subcommands `status`, `drain` and `timeline`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "each test file uses part of the servers")]

mod common;

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use common::run;
use dogwoodtray_cli::Exit;
use expect_test::expect;
use oxhttp::model::Method;
use oxhttp::model::StatusCode;
use serde_json::Value;
use serde_json::json;

fn serve_entry(node: &str, generation: u64, leaving: bool, peers: Value) -> SocketAddr {
    let status = json!({
        "node": node, "role": "entry", "data_centre": "zutphen", "incarnation": "ab",
        "generation": generation, "ready": true, "leaving": leaving, "peers": peers,
        "jobs_open": 3, "attempts": 41,
    });
    common::serve(move |method, path, _| match (method, path) {
        (&Method::GET, "/status") => (StatusCode::OK, status.to_string()),
        (&Method::POST, "/drain") => (StatusCode::ACCEPTED, String::new()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
}

fn event(seq: u64, wall_us: u64, logical: u64, request: &str) -> Value {
    json!({
        "seq": seq, "wall_us": wall_us, "logical": logical, "code": "DT1001", "level": "info",
        "text": "request arrived", "request": request, "fields": { "bytes": 7 },
    })
}

/// Serves events in pages of at most two.
fn serve_timeline(node: &'static str, events: Vec<Value>) -> SocketAddr {
    common::serve(move |_, _, query| {
        let param = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
        let after: u64 = param("after=").unwrap().parse().unwrap();
        let is_requested = |event: &&Value| {
            event["seq"].as_u64().unwrap() > after
                && param("request=").is_none_or(|id| event["request"] == id)
        };
        let page: Vec<&Value> = events.iter().filter(is_requested).take(2).collect();
        let next = page.last().map_or(after, |event| event["seq"].as_u64().unwrap());
        (StatusCode::OK, json!({ "node": node, "events": page, "next": next }).to_string())
    })
}

/// Guards against a `status` that does not list the processes with an older generation.
#[test]
fn status_lists_the_generation_of_each_process() {
    let peers = json!([
        { "node": "agent-1", "state": "live", "generation": 42 },
        { "node": "entry-2", "state": "leaving", "generation": 40 },
    ]);
    let older = json!([
        { "node": "agent-1", "state": "live", "generation": 41 },
        { "node": "agent-2", "state": "silent", "generation": 41 },
    ]);
    let first = serve_entry("entry-1", 42, false, peers).to_string();
    let second = serve_entry("entry-2", 42, true, older).to_string();
    let output = run(&["status", "--entry", &first, &second]);
    assert_eq!(output.exit, Exit::Ok);
    expect![[r#"
        NODE                 ROLE   DATA CENTRE    GENERATION  STATE       JOBS ATTEMPTS
        entry-1              entry  zutphen                42  ready          3       41
        entry-2              entry  zutphen                42  leaving        3       41
        agent-1              peer                          42  live
        agent-2              peer                          41  silent
        generation 42 is in force on 3 of 4; behind: agent-2
    "#]]
    .assert_eq(&output.out);
    let output = run(&["status", "--json", "--entry", &first, "--entry", &second]);
    let json: Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(json["processes"][1]["incarnation"], "ab");
    assert_eq!(json["peers"][1]["node"], "agent-2");
}

/// Guards against a `status` that shows no process when one of them is unreachable.
#[test]
fn status_lists_other_processes_when_one_is_unreachable() {
    let live = serve_entry("entry-1", 1, false, json!([])).to_string();
    let dead = common::UNREACHABLE_ADDR.to_string();
    let output = run(&["status", "--entry", &dead, &live]);
    assert_eq!(output.exit, Exit::Unreachable);
    assert!(output.out.contains("entry-1"), "{}", output.out);
    assert!(output.out.contains(&format!("error: {dead} does not answer")), "{}", output.out);
}

/// Guards against a drain that is reported as started although the process rejected it.
#[test]
fn drain_reports_each_response() {
    let addr = serve_entry("entry-1", 1, false, json!([])).to_string();
    let output = run(&["drain", "--admin", &addr]);
    assert_eq!((output.exit, output.out), (Exit::Ok, format!("{addr} drains\n")));
    let rejecting = common::serve(|_, _, _| (StatusCode::CONFLICT, String::new())).to_string();
    let output = run(&["drain", "--admin", &rejecting]);
    let expected = format!("error: {rejecting} answers 409 Conflict\n");
    assert_eq!((output.exit, output.out), (Exit::Findings, expected));
}

/// Guards against events that are sorted by the order of the arguments instead of by their clock.
#[test]
fn timeline_merges_by_hybrid_logical_clock() {
    let first = vec![
        event(1, 1_000_000, 0, "r1"),
        event(2, 1_000_005, 1, "r2"),
        event(9, 3_000_000, 0, "r1"),
    ];
    let second = vec![
        event(1, 1_000_005, 0, "r1"),
        event(2, 1_000_005, 1, "r1"),
        event(3, 2_000_000, 0, "r2"),
    ];
    let first = serve_timeline("entry-1", first).to_string();
    let second = serve_timeline("agent-1", second).to_string();
    let output = run(&["timeline", "--admin", &first, &second]);
    expect![[r#"
        1.000000+0   entry-1          DT1001 INFO  request arrived request=r1 bytes=7
        1.000005+0   agent-1          DT1001 INFO  request arrived request=r1 bytes=7
        1.000005+1   agent-1          DT1001 INFO  request arrived request=r1 bytes=7
        1.000005+1   entry-1          DT1001 INFO  request arrived request=r2 bytes=7
        2.000000+0   agent-1          DT1001 INFO  request arrived request=r2 bytes=7
        3.000000+0   entry-1          DT1001 INFO  request arrived request=r1 bytes=7
    "#]]
    .assert_eq(&output.out);
    let output = run(&["timeline", "--admin", &first, &second, "--request", "r2", "--json"]);
    expect![[r#"
        {"node":"entry-1","seq":2,"wall_us":1000005,"logical":1,"code":"DT1001","level":"info","text":"request arrived","request":"r2","fields":{"bytes":7}}
        {"node":"agent-1","seq":3,"wall_us":2000000,"logical":0,"code":"DT1001","level":"info","text":"request arrived","request":"r2","fields":{"bytes":7}}
    "#]].assert_eq(&output.out);
}

/// Guards against a `timeline --follow` that skips or repeats events, and against one that does not
/// exit once no process responds.
#[test]
fn follow_prints_each_event_once() {
    let polls = AtomicUsize::new(0);
    let addr = common::serve(move |_, _, query| {
        let after: u64 = query.trim_start_matches("after=").parse().unwrap();
        let last_seq = match polls.fetch_add(1, Ordering::Relaxed) {
            0..2 => 1,
            2..5 => 3,
            _ => return (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        };
        let events: Vec<Value> =
            (after + 1..=last_seq).map(|seq| event(seq, seq * 1_000_000, 0, "r")).collect();
        let next = last_seq.max(after);
        (StatusCode::OK, json!({ "node": "e", "events": events, "next": next }).to_string())
    });
    let output = run(&["timeline", "--follow", "--admin", &addr.to_string()]);
    assert_eq!(output.exit, Exit::Findings);
    let seconds: Vec<&str> = output.out.lines().map(|line| &line[..1]).collect();
    assert_eq!(seconds, ["1", "2", "3"]);
}
