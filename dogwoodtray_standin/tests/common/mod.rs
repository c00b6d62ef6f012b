//! HTTP client and wait helper for the tests.
#![allow(dead_code, reason = "not every test file uses every helper")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// Timeout of each wait. It is long, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of one stand-in.
#[derive(Clone)]
pub(crate) struct HttpClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self { addr, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and returns the response before its body, or `None` if the request fails.
    pub(crate) async fn open(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<hyper::Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        tokio::time::timeout(WAIT_TIMEOUT, self.client.request(req)).await.unwrap().ok()
    }

    /// Sends a request and returns the status and body of the response, or `None` if the connection
    /// fails before the end of the body.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<(StatusCode, Bytes)> {
        let response = self.open(method, path, headers, body).await?;
        let status = response.status();
        let body = tokio::time::timeout(WAIT_TIMEOUT, response.collect()).await.unwrap().ok()?;
        Some((status, body.to_bytes()))
    }

    pub(crate) async fn get(&self, path: &str) -> Value {
        let (status, body) = self.send("GET", path, &[], "").await.unwrap();
        assert_eq!(status, StatusCode::OK, "{path}");
        serde_json::from_slice(&body).unwrap()
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> (StatusCode, Value) {
        let (status, body) = self.send("POST", path, &[], body.to_string()).await.unwrap();
        (status, serde_json::from_slice(&body).unwrap())
    }

    pub(crate) async fn set_faults(&self, faults: Value) {
        let (status, body) = self.post("/standin/faults", faults).await;
        assert_eq!(status, StatusCode::OK, "{body}");
    }

    /// Sends a chat request and returns the status and text of the response.
    pub(crate) async fn chat(
        &self,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<(StatusCode, String)> {
        let path = "/v1/chat/completions";
        let (status, answer) = self.send("POST", path, headers, body.to_string()).await?;
        Some((status, String::from_utf8(answer.to_vec()).unwrap()))
    }
}

/// Waits until a condition holds, and panics after the timeout.
pub(crate) async fn eventually<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting until {description}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the body of a streamed chat request.
pub(crate) fn chat_body(content: &str, max_tokens: u64) -> Value {
    json!({
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// Joins the token texts of a stream of server-sent events.
pub(crate) fn stream_text(events: &str) -> String {
    let chunks = events.split("\n\n").filter_map(|event| event.strip_prefix("data: {"));
    let chunks = chunks.map(|chunk| serde_json::from_str::<Value>(&format!("{{{chunk}")).unwrap());
    chunks
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}
