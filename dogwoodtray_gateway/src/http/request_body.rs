//! Reading of the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_http::ByteLease;
use dogwoodtray_http::OutOfBytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use quick_error::quick_error;

use super::response;
use super::response::GatewayResponse;

/// `Retry-After` of a request for whose body there is no buffer.
const NO_BUFFER_RETRY_AFTER: Duration = Duration::from_millis(400);

quick_error! {
    /// Reason why a body was not read to its end.
    #[derive(Debug)]
    pub enum RequestBodyError {
        /// The body exceeds the limit of the configuration.
        TooLarge {
            display("the body is too large")
        }
        /// The buffers of all requests have reached their limit.
        NoBuffer(err: OutOfBytes) {
            display("{err}")
            from()
        }
        /// It had not arrived by the deadline of the request.
        TooLate {
            display("the body did not arrive by the deadline")
        }
        /// The caller did not send all of it.
        Incomplete(err: hyper::Error) {
            display("the body is incomplete: {err}")
            from()
        }
    }
}

impl RequestBodyError {
    /// Returns the response to the request, which has not run.
    pub(super) fn into_response(self) -> GatewayResponse {
        match self {
            Self::TooLarge => {
                response::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Self::NoBuffer(_) => response::refused(NO_BUFFER_RETRY_AFTER),
            Self::TooLate => {
                response::plain(StatusCode::REQUEST_TIMEOUT, "not run; the body took too long\n")
            }
            Self::Incomplete(_) => {
                response::plain(StatusCode::BAD_REQUEST, "the body is incomplete\n")
            }
        }
    }
}

/// Reads a body of at most `limit` bytes. `lease` covers `copies` of it, from its start if its length is
/// stated.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    copies: usize,
    lease: &mut ByteLease,
) -> Result<Bytes, RequestBodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        return Err(RequestBodyError::TooLarge);
    }
    lease.resize(stated.saturating_mul(copies))?;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buf.len() + data.len() > limit {
            return Err(RequestBodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
        lease.resize(lease.bytes().max(buf.len().saturating_mul(copies)))?;
    }
    Ok(buf.freeze())
}
