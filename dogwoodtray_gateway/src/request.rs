//! Requests to endpoints and classification of their responses.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::PlaceOutcome;
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
use hyper::http::uri::PathAndQuery;
use quick_error::quick_error;

use crate::model::Endpoint;
use crate::model::ProtocolNames;

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

quick_error! {
    /// Reason why no request can be addressed to an endpoint.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(unreachable_pub, reason = "quick_error! accepts `pub` only")]
    pub enum AddressError {
        UnsendableId {
            display("the id of the endpoint cannot be sent")
        }
    }
}

/// Request to an endpoint that is not yet selected.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl EndpointRequest {
    /// Builds the HTTP request for one endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no request can be addressed to the endpoint. Others may run this one.
    pub(crate) fn request_for(
        &self,
        names: &ProtocolNames,
        endpoint: &Name,
        remaining: Duration,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, AddressError> {
        let mut headers = self.headers.clone();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
        let id = Endpoint::id_header(endpoint).ok_or(AddressError::UnsendableId)?;
        headers.insert(names.expected_endpoint.clone(), id);
        if let Some(last) = resume_after {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = Uri::from(self.path_and_query.clone());
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Returns the outcome of the place of a request whose response with this status is complete.
pub(crate) fn place_outcome(status: StatusCode) -> PlaceOutcome {
    if status.is_server_error() { PlaceOutcome::Errored } else { PlaceOutcome::Answered }
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseClass {
    /// Valid response to this request, which is forwarded to the caller.
    Answer,
    /// The endpoint ran the request and failed.
    Failure,
    /// The endpoint did not run the request.
    NotRun,
    /// Response to a different request, or a malformed one.
    Malformed,
}

/// Returns `true` if a response bears the id of another request than this one.
pub(crate) fn is_for_other_request(names: &ProtocolNames, parts: &Parts, request_id: &str) -> bool {
    let echoed = parts.headers.get(&names.request_id);
    echoed.is_some_and(|id| id.as_bytes() != request_id.as_bytes())
}

/// Classifies the head of a response to the request with this id.
pub(crate) fn classify_response(
    names: &ProtocolNames,
    parts: &Parts,
    request_id: &str,
) -> ResponseClass {
    let is_mismatched = is_for_other_request(names, parts, request_id);
    let is_not_run = parts.headers.contains_key(&names.not_run)
        || parts.status == StatusCode::MISDIRECTED_REQUEST;
    // A refusal of another request says nothing about this one.
    if is_not_run && !is_mismatched {
        return ResponseClass::NotRun;
    }
    if is_mismatched || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return ResponseClass::Malformed;
    }
    if parts.status.is_success() {
        let is_signed = parts.headers.contains_key(&names.signature)
            && parts.headers.contains_key(&names.request_id);
        return if is_signed { ResponseClass::Answer } else { ResponseClass::Malformed };
    }
    if parts.status.is_server_error() { ResponseClass::Failure } else { ResponseClass::Answer }
}
