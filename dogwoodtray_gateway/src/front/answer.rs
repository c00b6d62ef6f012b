//! Answers of the gateway's own.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use super::body::AnswerBody;

pub(crate) type Answer = Response<AnswerBody>;

/// Answers with a status and a short text.
pub(crate) fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(AnswerBody::full(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Refuses a request that has not run and will not.
pub(crate) fn refused(retry_after: Duration) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; try again later\n");
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Answers with JSON.
pub(crate) fn json(text: String) -> Answer {
    let mut answer = Response::new(AnswerBody::full(Bytes::from(text)));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}
