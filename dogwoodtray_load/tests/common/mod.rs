//! Test entry that gives correct or faulty answers.
#![allow(dead_code, reason = "not every test file uses every helper")]

use std::collections::HashMap;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dogwoodtray_http::FlushBeforeError;
use dogwoodtray_standin::PromptHash;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

/// Fault of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// All answers are correct.
    None,
    /// Chat answers belong to another request. A job has a wrong, a failed and an unknown result.
    WrongAnswers,
    /// Chat answers lack the last token. A job lacks the result of one item and has another result
    /// twice.
    TruncatedAnswers,
    /// Chat answers are correct, but their connection breaks before their last chunk.
    BrokenFraming,
    /// Chat requests and the first submission of a job are refused with status 429.
    Overloaded,
}

/// Body that is sent in small chunks, so that chunk boundaries lie inside events.
struct ChunkedBody {
    chunks: VecDeque<Bytes>,
    /// Whether the body fails at its end.
    fails: bool,
}

impl ChunkedBody {
    fn new(text: &str, fails: bool) -> Self {
        let chunks = text.as_bytes().chunks(7).map(Bytes::copy_from_slice).collect();
        Self { chunks, fails }
    }
}

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = self.chunks.pop_front().map(|part| Ok(Frame::data(part)));
        let error = || self.fails.then(|| Err(io::ErrorKind::ConnectionAborted.into()));
        Poll::Ready(frame.or_else(error))
    }
}

struct Entry {
    fault: Fault,
    /// Items of the submitted jobs by idempotency key.
    jobs: Mutex<HashMap<String, Vec<Value>>>,
    submissions: Mutex<u64>,
    polls: Mutex<u64>,
}

/// Starts an entry on the current runtime and returns its address.
pub(crate) async fn start_entry(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let entry = Arc::new(Entry {
        fault,
        jobs: Mutex::default(),
        submissions: Mutex::default(),
        polls: Mutex::default(),
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let entry = Arc::clone(&entry);
            let service = service_fn(move |req| answer(Arc::clone(&entry), req));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    addr
}

async fn answer(
    entry: Arc<Entry>,
    req: Request<Incoming>,
) -> Result<Response<FlushBeforeError<ChunkedBody>>, Infallible> {
    let path = req.uri().path().to_owned();
    let key = req.headers().get("idempotency-key").map(|key| key.to_str().unwrap().to_owned());
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let (status, text) = match path.trim_start_matches("/v1/").split('/').collect::<Vec<_>>()[..] {
        ["chat", "completions"] => entry.chat(&body),
        ["batches"] => entry.submit(key.unwrap(), &body),
        ["batches", _] => entry.status(),
        ["batches", id, "results"] => entry.results(id),
        _ => (404, String::new()),
    };
    let fails = entry.fault == Fault::BrokenFraming;
    let body = FlushBeforeError::new(ChunkedBody::new(&text, fails));
    Ok(Response::builder().status(status).body(body).unwrap())
}

fn overloaded_response() -> (u16, String) {
    (429, json!({ "error": { "code": "overloaded", "run": "not_run" } }).to_string())
}

impl Entry {
    fn chat(&self, body: &Value) -> (u16, String) {
        if self.fault == Fault::Overloaded {
            return overloaded_response();
        }
        let mut events = String::new();
        let PromptHash(hash) = PromptHash::of_body(body).unwrap();
        let prompt = PromptHash(if self.fault == Fault::WrongAnswers { hash + 1 } else { hash });
        let tokens = body["max_tokens"].as_u64().unwrap();
        for index in 0..tokens - u64::from(self.fault == Fault::TruncatedAnswers) {
            let delta = json!({ "choices": [{ "delta": { "content": prompt.token(index) } }] });
            events += &format!("data: {delta}\n\n");
        }
        (200, events + "data: [DONE]\n\n")
    }

    fn submit(&self, key: String, body: &Value) -> (u16, String) {
        let mut submissions = self.submissions.lock().unwrap();
        *submissions += 1;
        if self.fault == Fault::Overloaded && *submissions == 1 {
            return overloaded_response();
        }
        let requests = body["requests"].as_array().unwrap().clone();
        self.jobs.lock().unwrap().insert(key.clone(), requests);
        (202, json!({ "id": key }).to_string())
    }

    fn status(&self) -> (u16, String) {
        let mut polls = self.polls.lock().unwrap();
        *polls += 1;
        let state = if *polls < 3 { "running" } else { "completed" };
        (200, json!({ "status": state, "counts": { "done": *polls } }).to_string())
    }

    fn results(&self, id: &str) -> (u16, String) {
        let jobs = self.jobs.lock().unwrap();
        let lines = jobs[id].iter().map(|request| {
            let prompt = PromptHash::of_body(&request["body"]).unwrap();
            let text = prompt.answer(request["body"]["max_tokens"].as_u64().unwrap());
            result_line(request["custom_id"].as_str().unwrap(), &text)
        });
        let mut lines: Vec<_> = lines.collect();
        match self.fault {
            Fault::WrongAnswers => {
                lines[0] = result_line("item-0", "t0-00000 ");
                lines.push(result_line("item-99", "t0-00000 "));
                lines[1] =
                    json!({ "custom_id": "item-1", "error": { "code": "unknown" } }).to_string();
            }
            Fault::TruncatedAnswers => lines[0] = lines[1].clone(),
            Fault::None | Fault::BrokenFraming | Fault::Overloaded => {}
        }
        (200, lines.join("\n"))
    }
}

fn result_line(id: &str, text: &str) -> String {
    let body = json!({ "choices": [{ "message": { "content": text } }] });
    json!({ "custom_id": id, "response": { "status_code": 200, "body": body } }).to_string()
}
