//! Tests of the answers of the engine stand-in and their timing.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::time::Duration;
use std::time::Instant;

use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use dogwoodtray_standin::PromptHash;
use dogwoodtray_standin::check_answer;
use http_body_util::BodyExt;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::common::HttpClient;
use crate::common::chat_body;
use crate::common::eventually;
use crate::common::stream_text;

const CHAT_PATH: &str = "/v1/chat/completions";

fn fast_config() -> EngineConfig {
    EngineConfig::default().step(
        Duration::from_millis(1),
        Duration::from_micros(10),
        Duration::from_micros(1),
    )
}

async fn start(cfg: EngineConfig) -> (EngineStandin, HttpClient) {
    let engine = EngineStandin::bind(cfg).await.unwrap();
    let http = HttpClient::new(engine.addr());
    (engine, http)
}

/// Guards against tokens that are sent to the wrong request when several requests share a batch.
#[tokio::test]
async fn concurrent_streams_return_their_own_answers() {
    let (engine, http) = start(fast_config()).await;
    let streams = (0..40).map(|n| {
        let http = http.clone();
        tokio::spawn(async move {
            let body = chat_body(&format!("slip {n}"), 10 + n);
            let id = format!("r{n}");
            let (status, events) = http.chat(&[("x-request-id", &id)], &body).await.unwrap();
            assert_eq!(status, StatusCode::OK);
            assert!(events.ends_with("data: [DONE]\n\n"));
            let prompt = PromptHash::of_body(&body).unwrap();
            assert_eq!(check_answer(prompt, 10 + n, &stream_text(&events)), Ok(()));
        })
    });
    for stream in streams.collect::<Vec<_>>() {
        stream.await.unwrap();
    }
    let runs = http.get("/standin/runs").await;
    assert_eq!(runs["runs"]["r7"]["tokens"], 17);
    assert!(engine.runs().values().all(|run| run.started == 1 && run.finished == 1));
}

/// Guards against different texts for the same prompt with and without streaming.
#[tokio::test]
async fn unstreamed_answer_equals_streamed_answer() {
    let (_engine, http) = start(fast_config()).await;
    let mut body = chat_body("slip", 5);
    let (_, events) = http.chat(&[], &body).await.unwrap();
    body["stream"] = json!(false);
    let (_, answer) = http.chat(&[], &body).await.unwrap();
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], stream_text(&events));
    assert_eq!(answer["usage"]["completion_tokens"], 5);
}

/// Guards against a gap, an overlap or different bytes in a stream that is resumed at a token.
#[tokio::test]
async fn resumed_stream_returns_the_remaining_events() {
    let (_engine, http) = start(fast_config()).await;
    let mut body = chat_body("slip", 6);
    let (_, events) = http.chat(&[], &body).await.unwrap();
    for resume_from in [1, 4, 6] {
        body["resume_from"] = json!(resume_from);
        let (_, rest) = http.chat(&[], &body).await.unwrap();
        let skipped = events.split_inclusive("\n\n").take(resume_from).map(str::len).sum();
        assert_eq!(rest, events[skipped..]);
    }
}

/// Guards against a stream that continues after its attempt is cancelled, or that ends like a
/// complete answer.
#[tokio::test]
async fn cancelled_stream_ends_without_done() {
    let (engine, http) = start(fast_config()).await;
    let headers = [("x-attempt", "a-1"), ("x-request-id", "r")];
    let body = chat_body("slip", 50_000).to_string();
    let mut response = http.open("POST", CHAT_PATH, &headers, body.clone()).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    let (status, _) = http.send("POST", CHAT_PATH, &headers, body).await.unwrap();
    assert_eq!(status, StatusCode::CONFLICT, "the attempt is running");
    let (status, answer) = http.post("/v1/cancel/a-1", json!({})).await;
    assert_eq!(status, StatusCode::OK);
    let events = response.collect().await.unwrap().to_bytes();
    let events = String::from_utf8(events.to_vec()).unwrap();
    assert!(events.contains(r#""finish_reason":"cancelled""#) && !events.contains("[DONE]"));
    assert_eq!(engine.runs()["r"].tokens, answer["tokens"].as_u64().unwrap());
    assert_eq!(engine.runs()["r"].cancelled, 1);
    let (status, _) = http.post("/v1/cancel/a-1", json!({})).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// Guards against a run that continues after its caller disconnects.
#[tokio::test]
async fn disconnect_cancels_the_run() {
    let (engine, http) = start(fast_config()).await;
    for stream in [true, false] {
        let mut body = chat_body("slip", 50_000);
        body["stream"] = json!(stream);
        let id = if stream { "streamed" } else { "whole" };
        let caller = http.clone();
        let caller = tokio::spawn(async move {
            caller.chat(&[("x-request-id", id)], &body).await;
        });
        let has_tokens = || async { engine.runs().get(id).is_some_and(|run| run.tokens > 0) };
        eventually("tokens are generated", has_tokens).await;
        caller.abort();
        eventually("the run is cancelled", || async { engine.runs()[id].cancelled == 1 }).await;
    }
    assert_eq!(engine.running_sequences(), 0);
}

/// Guards against a step duration that does not grow with the number of sequences in the batch.
#[tokio::test]
async fn step_duration_grows_with_the_batch() {
    let per_sequence = Duration::from_millis(2);
    let cfg = EngineConfig::default().step(Duration::ZERO, per_sequence, Duration::ZERO);
    let (_engine, http) = start(cfg).await;
    let started_at = Instant::now();
    let streams = (0..5).map(|n| {
        let http = http.clone();
        tokio::spawn(async move { http.chat(&[], &chat_body(&format!("slip {n}"), 20)).await })
    });
    for stream in streams.collect::<Vec<_>>() {
        stream.await.unwrap().unwrap();
    }
    // Each of the 5 * 20 tokens takes 2 ms of engine time, regardless of the batching.
    assert!(started_at.elapsed() >= Duration::from_millis(200), "{:?}", started_at.elapsed());
}

/// Guards against a cached prefix that is processed again, and against a prefill that is skipped
/// for a prefix that is not cached.
#[tokio::test]
async fn cached_prefix_skips_prefill() {
    let per_token = Duration::from_millis(1);
    let cfg =
        EngineConfig::default().step(Duration::ZERO, Duration::ZERO, per_token).cache(4, 1_200);
    let (_engine, http) = start(cfg).await;
    let mut durations = Vec::new();
    for (prefix, suffix) in [("a", "1"), ("b", "1"), ("a", "2")] {
        let started_at = Instant::now();
        http.chat(&[], &chat_body(&(prefix.repeat(1_200) + suffix), 1)).await.unwrap();
        durations.push(started_at.elapsed());
    }
    let prefill_duration = Duration::from_millis(300);
    assert!(durations[0] >= prefill_duration && durations[1] >= prefill_duration, "{durations:?}");
    assert!(durations[2] < durations[0], "{durations:?}");
}

/// Guards against panics and success replies when the input is invalid.
#[tokio::test]
async fn invalid_input_is_rejected() {
    let (_engine, http) = start(fast_config()).await;
    let messages = json!([{ "role": "user", "content": "slip" }]);
    let cases = [
        (json!("text"), 400),
        (json!({ "messages": [] }), 400),
        (json!({ "messages": [{ "content": 3 }] }), 400),
        (json!({ "messages": messages, "max_tokens": -1 }), 400),
        (json!({ "messages": messages, "max_tokens": 100_001 }), 400),
        (json!({ "messages": messages, "max_tokens": 3, "resume_from": 4 }), 400),
        (json!({ "messages": messages, "stream": "yes" }), 400),
        (json!({ "messages": messages, "model": "other" }), 404),
    ];
    for (body, status) in cases {
        let (actual, answer) = http.post(CHAT_PATH, body.clone()).await;
        assert_eq!(actual.as_u16(), status, "{body}");
        assert!(answer["error"]["message"].is_string(), "{body}");
    }
    let (status, _) = http.send("POST", CHAT_PATH, &[], "{").await.unwrap();
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let (status, _) = http.post("/orders", json!({ "order": "explode", "name": "x" })).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let (status, _) = http.post("/standin/faults", json!({ "slow_factor": -1.0 })).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
