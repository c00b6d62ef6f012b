//! Error responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;

use super::stream::ResponseBody;
use crate::online::RequestEnd;

/// Value of the `Retry-After` header if nothing more is known.
pub(crate) const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Execution status of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStatus {
    NotRun,
    Unknown,
    Ran,
}

impl RunStatus {
    const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Error of one request.
#[derive(Clone, Debug)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) run: RunStatus,
    /// Time after which the caller may send the request again, if that can help.
    pub(crate) retry_after: Option<Duration>,
}

impl ApiError {
    pub(crate) fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    pub(crate) fn not_found(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, code, message)
    }

    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        let retry_after = Some(RETRY_AFTER_DEFAULT);
        Self { retry_after, ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message) }
    }

    /// Returns the error of a request that may not end before the process stops.
    pub(crate) fn too_late() -> Self {
        let message = "the process stops before the request may end; send it to another one";
        let error = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", message);
        Self { retry_after: Some(Duration::ZERO), ..error }
    }

    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), run: RunStatus::NotRun, retry_after: None }
    }

    pub(crate) fn unknown(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), run: RunStatus::Unknown, retry_after: None }
    }

    pub(crate) fn stopping() -> Self {
        Self::unknown(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the process stopped before the request ended",
        )
    }

    /// Converts the end of a request that has no answer to deliver.
    pub(crate) fn from_request_end(end: &RequestEnd) -> Self {
        match end {
            RequestEnd::NotRun { reason, retry_after, .. } => {
                let refused = Self::unavailable("no_capacity", *reason);
                Self { retry_after: retry_after.or(refused.retry_after), ..refused }
            }
            RequestEnd::Unknown { reason } => {
                Self::unknown(StatusCode::BAD_GATEWAY, "endpoint_lost", *reason)
            }
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

    pub(crate) fn response(&self, request_id: &str) -> Response<ResponseBody> {
        let mut response = json_response(self.status, &self.to_json(request_id));
        if let Some(retry_after) = self.retry_after {
            // Rounded up, so that the caller does not return too early.
            let seconds = retry_after.as_millis().div_ceil(1_000);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    bytes_response(status, "application/json", Bytes::from(value.to_string()))
}

pub(crate) fn bytes_response(
    status: StatusCode,
    content_type: &str,
    bytes: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(bytes)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_str(content_type);
    if let Ok(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
