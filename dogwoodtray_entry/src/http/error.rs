//! Errors as callers see them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;

use super::stream::Body;
use crate::online::RequestEnd;

/// Seconds after which a refused caller should try again.
const RETRY_AFTER_SECONDS: u64 = 1;

/// Whether the request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Run {
    Never,
    Unknown,
    Ran,
}

impl Run {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Never => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Error of one request: what went wrong, apart from how it is rendered.
#[derive(Clone, Debug)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) run: Run,
    pub(crate) retry: bool,
}

impl ApiError {
    pub(crate) fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    pub(crate) fn not_found(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, code, message)
    }

    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self { retry: true, ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message) }
    }

    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), run: Run::Never, retry: false }
    }

    pub(crate) fn unknown(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), run: Run::Unknown, retry: false }
    }

    pub(crate) fn stopping() -> Self {
        Self::unknown(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the process stopped before the request ended",
        )
    }

    /// Translates the end of a request that was not answered.
    pub(crate) fn of_end(end: &RequestEnd) -> Self {
        match end {
            RequestEnd::NotRun { reason, .. } => Self::unavailable("no_capacity", *reason),
            RequestEnd::Unknown { reason } => {
                Self::unknown(StatusCode::BAD_GATEWAY, "endpoint_lost", *reason)
            }
            RequestEnd::Quarantined => Self {
                run: Run::Ran,
                ..Self::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "quarantined",
                    "endpoints died while this request ran; it is not run again",
                )
            },
            RequestEnd::Answered { .. } => {
                Self::unknown(StatusCode::BAD_GATEWAY, "empty_answer", "the answer was empty")
            }
        }
    }

    pub(crate) fn to_json(&self, request_id: &str) -> Value {
        json!({ "error": {
            "code": self.code,
            "message": self.message,
            "run": self.run.as_str(),
            "request_id": request_id,
        }})
    }

    pub(crate) fn response(&self, request_id: &str) -> Response<Body> {
        let mut response = json_response(self.status, &self.to_json(request_id));
        if self.retry {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
        }
        response
    }
}

pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    bytes_response(status, "application/json", Bytes::from(value.to_string()))
}

pub(crate) fn bytes_response(
    status: StatusCode,
    content_type: &str,
    bytes: Bytes,
) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::new(bytes)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_str(content_type);
    if let Ok(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
