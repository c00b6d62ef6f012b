//! Online requests.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_policy::PlaceEnd;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::response::Parts;
use tokio::time::sleep;
use tokio::time::timeout;

use super::answer::Answer;
use super::attempt::Attempts;
use super::attempt::Ended;
use super::body::AnswerBody;
use super::body::PassedBody;
use super::stream;
use crate::model::RouteKind;
use crate::net::Exchange;
use crate::places::Lease;
use crate::request::strip_hop_headers;

/// Largest answer of an idempotent request that is gathered before it is passed on.
const MAX_GATHERED_BYTES: usize = 1 << 20;

/// Silence after which an idempotent request goes to another endpoint. Plain services answer
/// within 500 ms unless something is wrong.
const IDEMPOTENT_SILENCE: Duration = Duration::from_millis(800);

/// Serves an online request.
pub(crate) async fn serve(attempts: Attempts) -> Answer {
    match attempts.route.kind {
        RouteKind::Streaming { resumable: true } => stream::serve(attempts).await,
        RouteKind::Idempotent => serve_idempotent(attempts).await,
        RouteKind::Streaming { resumable: false } | RouteKind::NonIdempotent => {
            serve_once(attempts).await
        }
        RouteKind::Batch(_) => {
            debug_assert!(false, "batch jobs are served elsewhere");
            super::answer::plain(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Runs a request that must not run twice: after it was sent, its answer is the only one.
async fn serve_once(mut attempts: Attempts) -> Answer {
    match attempts.next(None, None).await {
        Ok((exchange, lease)) => pass_on(attempts, exchange, lease),
        Err(ended) => attempts.give_up(ended),
    }
}

/// Passes an answer on as it arrives.
pub(crate) fn pass_on(mut attempts: Attempts, exchange: Exchange, lease: Lease) -> Answer {
    let parts = answer_head(exchange.parts);
    attempts.trace.on_status(parts.status.as_u16());
    let passed = PassedBody {
        body: exchange.body,
        deadline: Box::pin(sleep(attempts.left())),
        lease: Some(lease),
        trace: attempts.trace,
    };
    Response::from_parts(parts, AnswerBody::Passed(Box::new(passed)))
}

/// Prepares the head of an endpoint's answer for the caller. A status that promises that the
/// request did not run is only passed on if the endpoint gave that promise.
pub(crate) fn answer_head(mut parts: Parts) -> Parts {
    strip_hop_headers(&mut parts.headers);
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&parts.status) {
        let mut bare = Response::new(()).into_parts().0;
        bare.status = StatusCode::BAD_GATEWAY;
        return bare;
    }
    parts
}

async fn serve_idempotent(mut attempts: Attempts) -> Answer {
    loop {
        let silence = (attempts.route.max_attempts > 1).then_some(IDEMPOTENT_SILENCE);
        let ended = match attempts.next(None, silence).await {
            Ok((exchange, lease)) => {
                let failed = exchange.parts.status.is_server_error();
                let large = exchange
                    .body
                    .size_hint_upper()
                    .is_some_and(|bytes| bytes > MAX_GATHERED_BYTES as u64);
                if large && !failed {
                    return pass_on(attempts, exchange, lease);
                }
                if failed && attempts.may_retry() {
                    attempts.trace.retried(&lease.endpoint, &exchange.parts.status);
                    Ended::Lost
                } else {
                    match gather(&mut attempts, exchange, lease).await {
                        Ok(answer) => return answer,
                        Err(ended) => ended,
                    }
                }
            }
            Err(ended) => ended,
        };
        let again = matches!(ended, Ended::Lost | Ended::Silent);
        if !again || !attempts.may_retry() {
            return attempts.give_up(ended);
        }
    }
}

/// Reads an answer as a whole, so that a broken one can be asked for again.
async fn gather(
    attempts: &mut Attempts,
    exchange: Exchange,
    mut lease: Lease,
) -> Result<Answer, Ended> {
    let body = Limited::new(exchange.body, MAX_GATHERED_BYTES);
    let bytes: Bytes = match timeout(attempts.left(), body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) => {
            attempts.trace.retried(&lease.endpoint, &err);
            return Err(Ended::Lost);
        }
        Err(_) => return Err(Ended::OutOfTime),
    };
    lease.ended(PlaceEnd::Answered);
    let parts = answer_head(exchange.parts);
    attempts.trace.on_status(parts.status.as_u16());
    attempts.trace.on_data();
    attempts.trace.finish("answered");
    Ok(Response::from_parts(parts, AnswerBody::full(bytes)))
}
