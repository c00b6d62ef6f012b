//! Requests to endpoints.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;

use crate::model::Names;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
];

/// Request as it goes to any endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Outgoing {
    /// Addresses the request to one endpoint.
    pub(crate) fn to(
        &self,
        names: &Names,
        endpoint: &Name,
        left: Duration,
        resume_after: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = self.headers.clone();
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        let id = HeaderValue::from_str(endpoint).ok()?;
        headers.insert(names.expected_endpoint.clone(), id);
        if let Some(last) = resume_after {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        let uri: Uri = self.path_and_query.parse().ok()?;
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = headers;
        Some(req)
    }
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Answer to this request, to be passed on.
    Answer,
    /// The endpoint failed on the request; it ran.
    Failure,
    /// The endpoint did not run the request.
    NotRun,
    /// Not an answer to this request, or damaged.
    Damaged,
}

/// Judges the head of an answer to the request with this id.
pub(crate) fn judge(names: &Names, parts: &Parts, request_id: &str) -> Verdict {
    if parts.headers.contains_key(&names.not_run) || parts.status == StatusCode::MISDIRECTED_REQUEST
    {
        return Verdict::NotRun;
    }
    let echoed = parts.headers.get(&names.request_id);
    let foreign = echoed.is_some_and(|id| id.as_bytes() != request_id.as_bytes());
    if foreign || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Verdict::Damaged;
    }
    if parts.status.is_success() {
        let signed = parts.headers.contains_key(&names.signature) && echoed.is_some();
        return if signed { Verdict::Answer } else { Verdict::Damaged };
    }
    if parts.status.is_server_error() { Verdict::Failure } else { Verdict::Answer }
}
