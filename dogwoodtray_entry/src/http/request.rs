//! Parsing of request headers and bodies.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::error::ApiError;
use crate::online::RequestNo;
use crate::shell::EntryState;

const MAX_HEADER_VALUE_BYTES: usize = 256;

/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Validated headers of a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerHeaders {
    pub(crate) request_id: Name,
    pub(crate) key: Option<Name>,
    pub(crate) non_idempotent: bool,
    pub(crate) deadline: Option<Duration>,
    pub(crate) organization: Name,
}

impl CallerHeaders {
    pub(crate) fn parse(shared: &EntryState, headers: &HeaderMap) -> Result<Self, ApiError> {
        let request_id = match header_text(headers, "x-request-id")? {
            Some(id) => id,
            None => generate_request_id(shared),
        };
        let non_idempotent = match header_text(headers, "x-non-idempotent")?.as_deref() {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => {
                return Err(ApiError::bad_request(
                    "bad_header",
                    "X-Non-Idempotent must be true or false",
                ));
            }
        };
        Ok(Self {
            request_id,
            key: header_text(headers, "idempotency-key")?,
            non_idempotent,
            deadline: parse_deadline(headers)?,
            organization: header_text(headers, "x-organization")?.unwrap_or_else(|| Name::from("")),
        })
    }
}

fn header_text(headers: &HeaderMap, name: &'static str) -> Result<Option<Name>, ApiError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_HEADER_VALUE_BYTES => {
            Ok(Some(Name::from(text)))
        }
        _ => Err(ApiError::bad_request(
            "bad_header",
            format!("{name} must be 1 to {MAX_HEADER_VALUE_BYTES} visible ASCII characters"),
        )),
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, ApiError> {
    let Some(text) = header_text(headers, "x-deadline-ms")? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(ApiError::bad_request(
            "bad_header",
            format!("X-Deadline-Ms must be a whole number from 1 to {MAX_DEADLINE_MS}"),
        )),
    }
}

fn generate_request_id(shared: &EntryState) -> Name {
    let no = next_request_no(shared);
    Name::from(format!("{:x}-{}", shared.incarnation.0, no.0))
}

pub(crate) fn next_request_no(shared: &EntryState) -> RequestNo {
    RequestNo(shared.next_request_no.fetch_add(1, Ordering::Relaxed) + 1)
}

/// Reads a body of at most `limit` bytes, which has to arrive within a time.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, ApiError> {
    let Ok(body) = timeout(time_limit, Limited::new(body, limit).collect()).await else {
        return Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_late",
            "the body did not arrive by the deadline",
        ));
    };
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(ApiError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is larger than {limit} bytes"),
        )),
        Err(_) => Err(ApiError::bad_request("bad_body", "the body could not be read")),
    }
}

pub(crate) type SharedState = Arc<EntryState>;
