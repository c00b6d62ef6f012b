//! HTTP client of the entries.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Header of a request.
pub(crate) type Header<'a> = (&'a str, &'a str);

/// Request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoAnswer;

/// Client that keeps its connections and uses the entries in turn.
#[derive(Clone, Debug)]
pub(crate) struct EntryClient {
    entries: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EntryClient {
    /// Creates a client without connections.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { entries, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request to an entry that the number `turn` picks, and returns its response.
    pub(crate) async fn open(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, NoAnswer> {
        let entry = self.entries.get(turn % self.entries.len().max(1)).ok_or(NoAnswer)?;
        let mut req = Request::builder().method(method).uri(format!("http://{entry}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body))).map_err(|_| NoAnswer)?;
        self.client.request(req).await.map_err(|err| {
            log::debug!("{path} on {entry}: {err}");
            NoAnswer
        })
    }

    /// Sends a request and returns status and body.
    pub(crate) async fn send(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
        let response = self.open(turn, method, path, headers, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|_| NoAnswer)?;
        Ok((status, body.to_bytes()))
    }
}

/// Returns the name under which a refusal is counted: status and error code.
pub(crate) fn refusal_code(status: StatusCode, body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    match body.pointer("/error/code").and_then(Value::as_str) {
        Some(code) => format!("{} {code}", status.as_u16()),
        None => status.as_u16().to_string(),
    }
}
