//! Responses that the gateway generates.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use super::body::ResponseBody;

/// Response to a caller.
pub(crate) type GatewayResponse = Response<ResponseBody>;

/// Returns a response with a status and a short text.
pub(crate) fn plain(status: StatusCode, text: &'static str) -> GatewayResponse {
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that has not run and will not run.
pub(crate) fn refused(retry_after: Duration) -> GatewayResponse {
    let response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; try again later\n");
    with_retry_after(response, retry_after)
}

/// Returns the response to a request that this process does not take because it is stopping. Another
/// VM can run it at once.
pub(crate) fn stopping() -> GatewayResponse {
    let response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; this VM is stopping\n");
    with_retry_after(response, Duration::ZERO)
}

/// Returns the response to a request with a content that crashes endpoints.
pub(crate) fn blocked(retry_after: Duration) -> GatewayResponse {
    let text = "requests with this content crashed endpoints; not run\n";
    with_retry_after(plain(StatusCode::SERVICE_UNAVAILABLE, text), retry_after)
}

/// Returns the response to a job that does not fit into the limit of its route.
pub(crate) fn over_limit(retry_after: Duration) -> GatewayResponse {
    let text = "too many tokens wait on this route; not run; try again later\n";
    with_retry_after(plain(StatusCode::TOO_MANY_REQUESTS, text), retry_after)
}

/// Returns the response to a request beyond the limit of its organization.
pub(crate) fn over_rate(retry_after: Duration) -> GatewayResponse {
    let text = "the limit of the organization is reached; not run; try again later\n";
    with_retry_after(plain(StatusCode::TOO_MANY_REQUESTS, text), retry_after)
}

/// Returns the response to a request whose key is missing, malformed or unknown.
pub(crate) fn unauthorized() -> GatewayResponse {
    let mut response = plain(StatusCode::UNAUTHORIZED, "a valid key is required\n");
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    response
}

fn with_retry_after(mut response: GatewayResponse, retry_after: Duration) -> GatewayResponse {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json(text: String) -> GatewayResponse {
    let mut response = Response::new(ResponseBody::full(Bytes::from(text)));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
