//! HTTP client for the entries.

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

/// Name and value of a request header.
pub(crate) type Header<'a> = (&'a str, &'a str);

/// Error of a request that received no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoResponse;

/// HTTP client with a connection pool that distributes requests over the entries.
#[derive(Clone, Debug)]
pub(crate) struct EntryClient {
    entries: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EntryClient {
    /// Creates a client; connections are opened on demand.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { entries, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request to the entry at `entry_index` modulo the number of entries and returns the
    /// response.
    pub(crate) async fn send(
        &self,
        entry_index: usize,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, NoResponse> {
        let entry = self.entries.get(entry_index % self.entries.len().max(1)).ok_or(NoResponse)?;
        let mut req = Request::builder().method(method).uri(format!("http://{entry}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body))).map_err(|_| NoResponse)?;
        self.client.request(req).await.map_err(|err| {
            log::debug!("request for {path} to entry {entry} failed: {err}");
            NoResponse
        })
    }

    /// Sends a request and returns the status and the whole body of the response.
    pub(crate) async fn send_and_collect(
        &self,
        entry_index: usize,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), NoResponse> {
        let response = self.send(entry_index, method, path, headers, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|_| NoResponse)?;
        Ok((status, body.to_bytes()))
    }
}

/// Returns the key that counts a refused request in reports: the status and the error code.
pub(crate) fn refusal_code(status: StatusCode, body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    match body.pointer("/error/code").and_then(Value::as_str) {
        Some(code) => format!("{} {code}", status.as_u16()),
        None => status.as_u16().to_string(),
    }
}
