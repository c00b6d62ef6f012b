//! Streams that can be resumed at another endpoint within one response.

use std::time::Duration;

use dogwoodtray_http::EventQueue;
use dogwoodtray_policy::PlaceOutcome;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use super::attempt::AttemptError;
use super::attempt::Attempts;
use super::body::ResponseBody;
use super::online::proxy_response;
use super::online::response_head;
use super::response::GatewayResponse;
use super::run::Run;
use crate::net::EndpointBody;
use crate::net::EventParser;
use crate::net::Exchange;

/// Time without an event after which a stream is resumed at another endpoint. Events arrive every
/// 30 ms. Callers accept gaps of at least 400 ms, and resuming a stream takes about 50 ms. The time
/// doubles with each interruption, in case all endpoints are slow.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an event after which a stream that cannot be resumed again is given up. Callers
/// abandon a stream after such a gap at the earliest.
const LAST_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait for the caller after which the next event may have arrived long before it is read.
const SLOW_READER: Duration = Duration::from_millis(5);

/// Outcome of the exchange with one endpoint.
enum ExchangeOutcome {
    /// The stream is complete.
    Completed,
    /// The caller disconnected.
    CallerDisconnected,
    /// The exchange failed or timed out.
    Interrupted(&'static str),
}

/// Serves a stream. The caller receives the response head of the first endpoint that succeeds.
pub(crate) async fn serve(mut attempts: Attempts) -> GatewayResponse {
    loop {
        match attempts.execute(None, Some(head_timeout(&attempts))).await {
            Ok((exchange, run)) if exchange.parts.status.is_success() => {
                return start_stream(attempts, exchange, run);
            }
            Ok((exchange, run)) => {
                if exchange.parts.status.is_server_error() && attempts.may_retry() {
                    attempts.trace.log_retry(run.endpoint(), &exchange.parts.status);
                    continue;
                }
                return proxy_response(attempts, exchange, run);
            }
            Err(AttemptError::OutcomeUnknown | AttemptError::EndpointTimeout)
                if attempts.may_retry() => {}
            Err(error) => return attempts.error_response(error),
        }
    }
}

/// Returns the time that the next attempt has until the head of its response.
const fn head_timeout(attempts: &Attempts) -> Duration {
    if attempts.is_last() { LAST_IDLE_TIMEOUT } else { STREAM_IDLE_TIMEOUT }
}

/// Starts the task that forwards the events, and returns the response with its channel.
fn start_stream(mut attempts: Attempts, exchange: Exchange, run: Run) -> GatewayResponse {
    let (queue, rx) = EventQueue::open(attempts.buffers.clone());
    let parts = response_head(exchange.parts, exchange.body.kind());
    attempts.trace.on_status(parts.status.as_u16());
    let body = exchange.body;
    spawn_local(async move {
        let is_complete = tokio::select! {
            is_complete = run_stream(&mut attempts, body, run, &queue) => is_complete,
            () = queue.closed() => {
                attempts.trace.finish("caller gone");
                false
            }
        };
        if is_complete { queue.complete().await } else { queue.break_off().await }
    });
    Response::from_parts(parts, ResponseBody::Events(rx))
}

/// Forwards the events of a stream until it is complete, across several endpoints if necessary. Returns
/// whether it is complete.
async fn run_stream(
    attempts: &mut Attempts,
    mut body: EndpointBody,
    mut run: Run,
    queue: &EventQueue,
) -> bool {
    let mut last_event_id = None;
    let mut idle_timeout = STREAM_IDLE_TIMEOUT;
    loop {
        // A slow but sound stream is not cut if it cannot be resumed.
        let limit = if attempts.may_retry() { idle_timeout } else { LAST_IDLE_TIMEOUT };
        match forward_events(attempts, &mut run, body, &mut last_event_id, limit, queue).await {
            ExchangeOutcome::Completed => {
                run.on_completed();
                run.set_outcome(PlaceOutcome::Answered);
                attempts.trace.finish("answered");
                return true;
            }
            ExchangeOutcome::CallerDisconnected => {
                attempts.trace.finish("caller gone");
                return false;
            }
            ExchangeOutcome::Interrupted(reason) => {
                attempts.trace.log_retry(run.endpoint(), &reason);
            }
        }
        idle_timeout *= 2;
        run.reported().await;
        drop(run);
        match resume(attempts, last_event_id).await {
            Some(resumed) => (body, run) = resumed,
            None => {
                attempts.trace.finish("not resumed");
                return false;
            }
        }
    }
}

/// Resumes a stream after its last forwarded event. Returns `None` if no endpoint could resume it.
async fn resume(
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Option<(EndpointBody, Run)> {
    while attempts.may_retry() {
        match attempts.execute(last_event_id, Some(head_timeout(attempts))).await {
            Ok((exchange, run)) if exchange.parts.status.is_success() => {
                return Some((exchange.body, run));
            }
            Ok((exchange, run)) => {
                attempts.trace.log_retry(run.endpoint(), &exchange.parts.status);
            }
            Err(AttemptError::OutcomeUnknown | AttemptError::EndpointTimeout) => {}
            Err(_) => return None,
        }
    }
    None
}

/// Forwards complete events until the exchange ends, or until no event is completed within
/// `idle_timeout`. Drops an incomplete event at its end.
async fn forward_events(
    attempts: &mut Attempts,
    run: &mut Run,
    mut body: EndpointBody,
    last_event_id: &mut Option<u64>,
    idle_timeout: Duration,
    queue: &EventQueue,
) -> ExchangeOutcome {
    let mut parser = EventParser::default();
    let mut lease = attempts.buffers.lease();
    let mut last_event_at = Instant::now();
    let mut gaps = run.gap_monitor();
    loop {
        // Bytes that complete no event, and lines without output, are no progress.
        let limit = attempts.remaining().min(idle_timeout.saturating_sub(last_event_at.elapsed()));
        let frame = match gaps.watch(timeout(limit, body.frame())).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return ExchangeOutcome::Completed,
            Ok(Some(Err(err))) => {
                run.on_broken_off(&err);
                return ExchangeOutcome::Interrupted("stream broken off");
            }
            Err(_) => return ExchangeOutcome::Interrupted("no event in time"),
        };
        let Ok(data) = frame.into_data() else { continue };
        attempts.trace.on_data();
        parser.push(&data);
        let mut events = bytes::BytesMut::new();
        let mut is_in_order = true;
        let mut has_output = false;
        loop {
            let event = match parser.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(err) => {
                    log::warn!("endpoint broke the protocol in request {}: {err}", attempts.id);
                    metrics::counter!("dogwoodtray_endpoint_violations_total").increment(1);
                    return ExchangeOutcome::Interrupted("event without end");
                }
            };
            if !follows(event.id(), *last_event_id) {
                log::warn!("endpoint sent events of request {} out of order", attempts.id);
                metrics::counter!("dogwoodtray_endpoint_violations_total").increment(1);
                is_in_order = false;
                break;
            }
            *last_event_id = event.id().or(*last_event_id);
            has_output |= event.has_output();
            events.extend_from_slice(&event.raw);
        }
        if has_output {
            last_event_at = Instant::now();
            run.on_output();
            gaps.on_event();
        }
        if !events.is_empty() {
            let pushed_at = Instant::now();
            if !queue.push(events.freeze()).await {
                return ExchangeOutcome::CallerDisconnected;
            }
            if pushed_at.elapsed() >= SLOW_READER {
                gaps.on_pause();
            }
        }
        // The rest of the buffer is an incomplete event.
        if lease.resize(parser.buffered()).is_err() {
            return ExchangeOutcome::Interrupted("no buffer for an event");
        }
        if !is_in_order {
            return ExchangeOutcome::Interrupted("events out of order");
        }
    }
}

/// Returns `true` if an event is the next one after the last. Endpoints number the events of a request
/// without gaps, so that any of them can go on after each.
fn follows(id: Option<u64>, last: Option<u64>) -> bool {
    let (Some(id), Some(last)) = (id, last) else { return true };
    last.checked_add(1) == Some(id)
}
