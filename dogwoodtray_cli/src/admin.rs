//! Client of the operator ports.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::StatusCode;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

/// Time after which a process is considered unreachable.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

quick_error! {
    /// Error of a call to an operator port.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error! accepts `pub` only")]
    pub enum AdminError {
        Io(addr: SocketAddr, err: io::Error) {
            display("{addr} does not answer: {err}")
            source(err)
        }
        Status(addr: SocketAddr, status: StatusCode) {
            display("{addr} answers {status}")
        }
        Json(addr: SocketAddr, err: serde_json::Error) {
            display("the answer of {addr} is not the expected JSON: {err}")
            source(err)
        }
    }
}

/// Response of `/status`. Fields that this version does not define are kept for `--json`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) node: String,
    pub(crate) role: String,
    pub(crate) data_centre: String,
    pub(crate) generation: u64,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    #[serde(default)]
    pub(crate) peers: Vec<Peer>,
    #[serde(default)]
    pub(crate) jobs_open: u64,
    #[serde(default)]
    pub(crate) attempts: u64,
    #[serde(flatten)]
    pub(crate) other: Map<String, Value>,
}

/// Peer of a process, as reported by that process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Peer {
    pub(crate) node: String,
    pub(crate) state: String,
    pub(crate) generation: u64,
}

/// Response of `/timeline`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Timeline {
    pub(crate) node: String,
    /// Identifies one run of the process. A restarted process numbers its events from the start.
    #[serde(default)]
    pub(crate) incarnation: Value,
    pub(crate) events: Vec<Event>,
    pub(crate) next: u64,
}

/// One event of a timeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Event {
    pub(crate) seq: u64,
    pub(crate) wall_us: u64,
    pub(crate) logical: u64,
    pub(crate) code: String,
    pub(crate) level: String,
    pub(crate) text: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) request: Option<String>,
    #[serde(default)]
    pub(crate) fields: Map<String, Value>,
}

/// Returns the state of a process.
pub(crate) fn status(addr: SocketAddr) -> Result<Status, AdminError> {
    get(addr, "/status")
}

/// Returns the events of a process after a sequence number.
pub(crate) fn timeline(
    addr: SocketAddr,
    after: u64,
    request: Option<&str>,
) -> Result<Timeline, AdminError> {
    match request {
        Some(request) => get(addr, &format!("/timeline?after={after}&request={request}")),
        None => get(addr, &format!("/timeline?after={after}")),
    }
}

/// Requests that a process drain.
pub(crate) fn drain(addr: SocketAddr) -> Result<(), AdminError> {
    send(addr, Method::POST, "/drain", StatusCode::ACCEPTED).map(drop)
}

fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, AdminError> {
    let body = send(addr, Method::GET, path, StatusCode::OK)?;
    serde_json::from_slice(&body).map_err(|err| AdminError::Json(addr, err))
}

fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    expected: StatusCode,
) -> Result<Vec<u8>, AdminError> {
    let unreachable = |err| AdminError::Io(addr, err);
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Body::empty())
        .map_err(|err| unreachable(io::Error::other(err)))?;
    let client = Client::new().with_global_timeout(CALL_TIMEOUT);
    let response = client.request(req).map_err(unreachable)?;
    if response.status() != expected {
        return Err(AdminError::Status(addr, response.status()));
    }
    response.into_body().to_vec().map_err(unreachable)
}
