//! Calls over HTTP, one connection each.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use serde_json::Value;

/// Longest silence of a server before a caller gives up. It lies below the longest pause.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// The server refused the connection, so that it never saw the call.
    Refused,
    /// The connection broke.
    Broken,
    /// The server was silent for too long, and the caller gave up.
    Silent,
}

/// Sends a request and returns the status and the body.
pub(crate) fn send(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, Vec<u8>), Lost> {
    let lost = |err: io::Error| match err.kind() {
        ErrorKind::ConnectionRefused => Lost::Refused,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Lost::Silent,
        _ => Lost::Broken,
    };
    let mut req = Request::builder().method(method).uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Body::from(body.to_owned())).unwrap();
    let response = Client::new().with_global_timeout(TIMEOUT).request(req).map_err(lost)?;
    let status = response.status().as_u16();
    let body = response.into_body().to_vec().map_err(lost)?;
    Ok((status, body))
}

/// Reads JSON from a path.
pub(crate) fn get(addr: SocketAddr, path: &str) -> Option<Value> {
    let (status, body) = send("GET", addr, path, &[], "").ok()?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}

/// Sends JSON to a path and insists on success.
pub(crate) fn must(method: &str, addr: SocketAddr, path: &str, body: &Value) {
    let (status, answer) = send(method, addr, path, &[], &body.to_string()).unwrap();
    assert!((200..300).contains(&status), "{path}: {status} {}", String::from_utf8_lossy(&answer));
}
