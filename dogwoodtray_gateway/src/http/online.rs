//! Online requests.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::http::response::Parts;
use tokio::time::sleep;
use tokio::time::timeout;

use super::attempt::AttemptError;
use super::attempt::Attempts;
use super::body::BufferedFrames;
use super::body::ProxiedBody;
use super::body::ResponseBody;
use super::response::GatewayResponse;
use super::run::Run;
use super::stream;
use crate::model::RouteKind;
use crate::net::BodyKind;
use crate::net::Exchange;
use crate::request::place_outcome;
use crate::request::strip_hop_by_hop_headers;

/// Maximum size of a response to an idempotent request that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Wait for the response head after which an idempotent request is sent to another endpoint. Plain
/// services respond within 500 ms unless they are faulty.
const IDEMPOTENT_HEAD_TIMEOUT: Duration = Duration::from_millis(800);

/// Outcome of buffering a response.
enum Buffered {
    /// The response is complete.
    Whole(GatewayResponse),
    /// The response is too large for the buffers of all requests.
    Partly(Box<PartlyBuffered>),
}

/// Response that is forwarded after some of it has been buffered.
struct PartlyBuffered {
    buffered: BufferedFrames,
    exchange: Exchange,
    run: Run,
}

/// Serves an online request.
pub(crate) async fn serve(attempts: Attempts) -> GatewayResponse {
    match attempts.route.kind {
        RouteKind::Streaming { resumable: true } => stream::serve(attempts).await,
        RouteKind::Idempotent => serve_idempotent(attempts).await,
        RouteKind::Streaming { resumable: false } | RouteKind::NonIdempotent => {
            serve_once(attempts).await
        }
        RouteKind::Batch(_) => {
            debug_assert!(false, "batch jobs are handled by `jobs::submit`");
            super::response::plain(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Serves a request that must not run twice. It is not retried once an endpoint may have run it.
async fn serve_once(mut attempts: Attempts) -> GatewayResponse {
    match attempts.execute(None, None).await {
        Ok((exchange, run)) => proxy_response(attempts, exchange, run),
        Err(error) => attempts.error_response(error),
    }
}

/// Forwards the response of an endpoint as it arrives.
pub(crate) fn proxy_response(attempts: Attempts, exchange: Exchange, run: Run) -> GatewayResponse {
    let buffered = BufferedFrames::new(attempts.buffers.lease());
    forward_response(attempts, PartlyBuffered { buffered, exchange, run })
}

/// Forwards the response of an endpoint, of which some may have been buffered.
fn forward_response(mut attempts: Attempts, response: PartlyBuffered) -> GatewayResponse {
    let PartlyBuffered { buffered, exchange, run } = response;
    let complete_outcome = place_outcome(exchange.parts.status);
    let parts = response_head(exchange.parts, exchange.body.kind());
    attempts.trace.on_status(parts.status.as_u16());
    let proxied = ProxiedBody {
        buffered,
        complete_outcome,
        body: exchange.body,
        deadline: Box::pin(sleep(attempts.remaining())),
        gaps: attempts.is_stream().then(|| run.gap_monitor()),
        is_waiting: false,
        run: Some(run),
        trace: attempts.trace,
    };
    Response::from_parts(parts, ResponseBody::Proxied(Box::new(proxied)))
}

/// Prepares the head of an endpoint's response for the caller. Replaces the statuses by which
/// callers conclude that a request did not run, as this endpoint may have run it. The length of a
/// stream is left out, as one that breaks off may have it. The version of HTTP is that of the caller's
/// connection: in an older one of the endpoint, the answer would end with the connection.
pub(crate) fn response_head(mut parts: Parts, body: BodyKind) -> Parts {
    parts.version = Version::default();
    strip_hop_by_hop_headers(&mut parts.headers);
    if body != BodyKind::Opaque {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let replaced_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if replaced_statuses.contains(&parts.status) {
        let mut replacement = Response::new(()).into_parts().0;
        replacement.status = StatusCode::BAD_GATEWAY;
        return replacement;
    }
    parts
}

/// Serves an idempotent request, which is retried after any failure.
async fn serve_idempotent(mut attempts: Attempts) -> GatewayResponse {
    loop {
        let head_timeout = (attempts.route.max_attempts > 1).then_some(IDEMPOTENT_HEAD_TIMEOUT);
        let error = match attempts.execute(None, head_timeout).await {
            Ok((exchange, run)) => {
                let is_failure = exchange.parts.status.is_server_error();
                let is_large = exchange
                    .body
                    .size_hint_upper()
                    .is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES as u64);
                if is_large && !is_failure {
                    return proxy_response(attempts, exchange, run);
                }
                if is_failure && attempts.may_retry() {
                    attempts.trace.log_retry(run.endpoint(), &exchange.parts.status);
                    AttemptError::OutcomeUnknown
                } else {
                    match buffer_response(&mut attempts, exchange, run).await {
                        Ok(Buffered::Whole(response)) => return response,
                        Ok(Buffered::Partly(partly)) => return forward_response(attempts, *partly),
                        Err(error) => error,
                    }
                }
            }
            Err(error) => error,
        };
        let is_retriable =
            matches!(error, AttemptError::OutcomeUnknown | AttemptError::EndpointTimeout);
        if !is_retriable || !attempts.may_retry() {
            return attempts.error_response(error);
        }
    }
}

/// Buffers a complete response, so that the request can be retried if the response is interrupted or too
/// large. It is forwarded as it arrives if the buffers of all requests have reached their limit.
async fn buffer_response(
    attempts: &mut Attempts,
    mut exchange: Exchange,
    mut run: Run,
) -> Result<Buffered, AttemptError> {
    let mut buffered = BufferedFrames::new(attempts.buffers.lease());
    loop {
        let frame = timeout(attempts.remaining(), exchange.body.frame());
        let data = match attempts.node.drain.until_end(frame).await {
            Some(Ok(Some(Ok(frame)))) => frame.into_data().unwrap_or_default(),
            Some(Ok(None)) => break,
            Some(Ok(Some(Err(err)))) => {
                run.on_broken_off(&err);
                run.reported().await;
                attempts.trace.log_retry(run.endpoint(), &err);
                return Err(AttemptError::OutcomeUnknown);
            }
            Some(Err(_)) | None => return Err(AttemptError::DeadlineExceeded),
        };
        if buffered.bytes() + data.len() > MAX_BUFFERED_BYTES {
            attempts.trace.log_retry(run.endpoint(), &"answer too large");
            return Err(AttemptError::OutcomeUnknown);
        }
        if buffered.push(data).is_err() {
            let partly = PartlyBuffered { buffered, exchange, run };
            return Ok(Buffered::Partly(Box::new(partly)));
        }
    }
    run.on_completed();
    run.set_outcome(place_outcome(exchange.parts.status));
    let kind = exchange.body.kind();
    let parts = response_head(exchange.parts, kind);
    attempts.trace.on_status(parts.status.as_u16());
    attempts.trace.on_data();
    attempts.trace.finish("answered");
    Ok(Buffered::Whole(Response::from_parts(parts, ResponseBody::Buffered(buffered))))
}
