//! HTTP calls, each over its own connection.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use serde_json::Value;

/// Timeout of a call. It is shorter than the longest pause of a process, so that calls to a paused
/// process can time out.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reason that a call received no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HttpError {
    /// The connection was refused, so the server did not receive the call.
    Refused,
    /// The connection was closed or failed.
    Broken,
    /// The server did not respond within the timeout.
    TimedOut,
}

/// Sends a request and returns the status and the body of the response.
pub(crate) fn send(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, Vec<u8>), HttpError> {
    let lost = |err: io::Error| match err.kind() {
        ErrorKind::ConnectionRefused => HttpError::Refused,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => HttpError::TimedOut,
        _ => HttpError::Broken,
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

/// Returns the JSON at a path, or `None` if the call fails.
pub(crate) fn get_json(addr: SocketAddr, path: &str) -> Option<Value> {
    let (status, body) = send("GET", addr, path, &[], "").ok()?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}

/// Sends JSON to a path and panics unless the response has a 2xx status.
pub(crate) fn send_json(method: &str, addr: SocketAddr, path: &str, body: &Value) {
    let (status, answer) = send(method, addr, path, &[], &body.to_string()).unwrap();
    assert!((200..300).contains(&status), "{path}: {status} {}", String::from_utf8_lossy(&answer));
}
