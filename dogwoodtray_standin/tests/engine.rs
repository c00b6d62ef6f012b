//! Answers of the engine stand-in, and their timing.
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

use crate::common::Http;
use crate::common::chat_body;
use crate::common::eventually;
use crate::common::stream_text;

const PATH: &str = "/v1/chat/completions";

fn fast() -> EngineConfig {
    EngineConfig::default().step(
        Duration::from_millis(1),
        Duration::from_micros(10),
        Duration::from_micros(1),
    )
}

async fn start(cfg: EngineConfig) -> (EngineStandin, Http) {
    let engine = EngineStandin::bind(cfg).await.unwrap();
    let http = Http::new(engine.addr());
    (engine, http)
}

/// Guards against answers that are mixed up between requests in one batch.
#[tokio::test]
async fn concurrent_streams_carry_their_own_answers() {
    let (engine, http) = start(fast()).await;
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

/// Guards against a whole answer that differs from the streamed one.
#[tokio::test]
async fn whole_answer_equals_the_streamed_one() {
    let (_engine, http) = start(fast()).await;
    let mut body = chat_body("slip", 5);
    let (_, events) = http.chat(&[], &body).await.unwrap();
    body["stream"] = json!(false);
    let (_, answer) = http.chat(&[], &body).await.unwrap();
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], stream_text(&events));
    assert_eq!(answer["usage"]["completion_tokens"], 5);
}

/// Guards against a resumed stream with a gap, an overlap or other bytes.
#[tokio::test]
async fn resumed_stream_is_the_rest_of_the_first() {
    let (_engine, http) = start(fast()).await;
    let mut body = chat_body("slip", 6);
    let (_, events) = http.chat(&[], &body).await.unwrap();
    for resume_from in [1, 4, 6] {
        body["resume_from"] = json!(resume_from);
        let (_, rest) = http.chat(&[], &body).await.unwrap();
        let skipped = events.split_inclusive("\n\n").take(resume_from).map(str::len).sum();
        assert_eq!(rest, events[skipped..]);
    }
}

/// Guards against a cancelled stream that goes on, or that looks whole.
#[tokio::test]
async fn cancelled_stream_ends_without_done() {
    let (engine, http) = start(fast()).await;
    let headers = [("x-attempt", "a-1"), ("x-request-id", "r")];
    let body = chat_body("slip", 50_000).to_string();
    let mut response = http.open("POST", PATH, &headers, body.clone()).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    let (status, _) = http.send("POST", PATH, &headers, body).await.unwrap();
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

/// Guards against an engine that works on for a caller that went away.
#[tokio::test]
async fn disconnect_cancels() {
    let (engine, http) = start(fast()).await;
    for stream in [true, false] {
        let mut body = chat_body("slip", 50_000);
        body["stream"] = json!(stream);
        let id = if stream { "streamed" } else { "whole" };
        let caller = http.clone();
        let caller = tokio::spawn(async move {
            caller.chat(&[("x-request-id", id)], &body).await;
        });
        let tokens = || async { engine.runs().get(id).is_some_and(|run| run.tokens > 0) };
        eventually("tokens are generated", tokens).await;
        caller.abort();
        eventually("run is cancelled", || async { engine.runs()[id].cancelled == 1 }).await;
    }
    assert_eq!(engine.running(), 0);
}

/// Guards against a step time that does not grow with the sequences inside.
#[tokio::test]
async fn step_time_grows_with_the_batch() {
    let per_sequence = Duration::from_millis(2);
    let cfg = EngineConfig::default().step(Duration::ZERO, per_sequence, Duration::ZERO);
    let (_engine, http) = start(cfg).await;
    let begun = Instant::now();
    let streams = (0..5).map(|n| {
        let http = http.clone();
        tokio::spawn(async move { http.chat(&[], &chat_body(&format!("slip {n}"), 20)).await })
    });
    for stream in streams.collect::<Vec<_>>() {
        stream.await.unwrap().unwrap();
    }
    // 5 answers of 20 tokens hold the engine for 2 ms each token, however they are batched.
    assert!(begun.elapsed() >= Duration::from_millis(200), "{:?}", begun.elapsed());
}

/// Guards against a cache that never hits, or that skips the prompt of another prefix.
#[tokio::test]
async fn cached_prefix_skips_its_prefill() {
    let per_token = Duration::from_millis(1);
    let cfg =
        EngineConfig::default().step(Duration::ZERO, Duration::ZERO, per_token).cache(4, 1_200);
    let (_engine, http) = start(cfg).await;
    let mut times = Vec::new();
    for (prefix, tail) in [("a", "1"), ("b", "1"), ("a", "2")] {
        let begun = Instant::now();
        http.chat(&[], &chat_body(&(prefix.repeat(1_200) + tail), 1)).await.unwrap();
        times.push(begun.elapsed());
    }
    let cold = Duration::from_millis(300);
    assert!(times[0] >= cold && times[1] >= cold, "{times:?}");
    assert!(times[2] < times[0], "{times:?}");
}

/// Guards against panics and wrong successes on bad input.
#[tokio::test]
async fn bad_input_is_refused() {
    let (_engine, http) = start(fast()).await;
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
        let (got, answer) = http.post(PATH, body.clone()).await;
        assert_eq!(got.as_u16(), status, "{body}");
        assert!(answer["error"]["message"].is_string(), "{body}");
    }
    let (status, _) = http.send("POST", PATH, &[], "{").await.unwrap();
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let (status, _) = http.post("/orders", json!({ "order": "explode", "name": "x" })).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let (status, _) = http.post("/standin/faults", json!({ "slow_factor": -1.0 })).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
