//! Streams that may be resumed at another endpoint within one answer.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_policy::PlaceEnd;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::answer::Answer;
use super::attempt::Attempts;
use super::attempt::Ended;
use super::body::Aborted;
use super::body::AnswerBody;
use super::online::answer_head;
use super::online::pass_on;
use crate::net::EventReader;
use crate::net::Exchange;
use crate::net::UpstreamBody;
use crate::places::Lease;

/// Silence after which a stream goes on at another endpoint. Events come every 30 ms; the pauses
/// that callers accept are 400 ms and more, and a resumed stream needs some 50 ms.
const STREAM_SILENCE: Duration = Duration::from_millis(600);

/// Events that wait for a slow caller.
const EVENT_BUFFER: usize = 64;

/// How the exchange with one endpoint ended.
enum Leg {
    /// The stream is whole.
    Whole,
    /// The caller left.
    CallerGone,
    /// The exchange broke or went silent.
    Broken,
}

/// Serves a stream. The head of the first endpoint's answer stands for all of them.
pub(crate) async fn serve(mut attempts: Attempts) -> Answer {
    loop {
        match attempts.next(None, Some(STREAM_SILENCE)).await {
            Ok((exchange, lease)) if exchange.parts.status.is_success() => {
                return start(attempts, exchange, lease);
            }
            Ok((exchange, lease)) => {
                if exchange.parts.status.is_server_error() && attempts.may_retry() {
                    attempts.trace.retried(&lease.endpoint, &exchange.parts.status);
                    continue;
                }
                return pass_on(attempts, exchange, lease);
            }
            Err(Ended::Lost | Ended::Silent) if attempts.may_retry() => {}
            Err(ended) => return attempts.give_up(ended),
        }
    }
}

fn start(mut attempts: Attempts, exchange: Exchange, lease: Lease) -> Answer {
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    let parts = answer_head(exchange.parts);
    attempts.trace.on_status(parts.status.as_u16());
    let body = exchange.body;
    spawn_local(async move {
        tokio::select! {
            () = run(&mut attempts, body, lease, &tx) => {}
            () = tx.closed() => attempts.trace.finish("caller gone"),
        }
    });
    Response::from_parts(parts, AnswerBody::Events(rx))
}

async fn run(
    attempts: &mut Attempts,
    mut body: UpstreamBody,
    mut lease: Lease,
    tx: &Sender<Result<Bytes, Aborted>>,
) {
    let mut last = None;
    loop {
        match leg(attempts, body, &mut last, tx).await {
            Leg::Whole => {
                lease.ended(PlaceEnd::Answered);
                return attempts.trace.finish("answered");
            }
            Leg::CallerGone => return attempts.trace.finish("caller gone"),
            Leg::Broken => {}
        }
        attempts.trace.retried(&lease.endpoint, &"stream broken off");
        drop(lease);
        match resume(attempts, last).await {
            Some(next) => (body, lease) = next,
            None => {
                attempts.trace.finish("not resumed");
                // A caller that left needs no notice.
                let _ = tx.send(Err(Aborted::NotResumed)).await;
                return;
            }
        }
    }
}

async fn resume(attempts: &mut Attempts, last: Option<u64>) -> Option<(UpstreamBody, Lease)> {
    while attempts.may_retry() {
        match attempts.next(last, Some(STREAM_SILENCE)).await {
            Ok((exchange, lease)) if exchange.parts.status.is_success() => {
                return Some((exchange.body, lease));
            }
            Ok((exchange, lease)) => {
                attempts.trace.retried(&lease.endpoint, &exchange.parts.status);
            }
            Err(Ended::Lost | Ended::Silent) => {}
            Err(_) => return None,
        }
    }
    None
}

/// Passes whole events on until the exchange ends. Part of an event is dropped with it.
async fn leg(
    attempts: &mut Attempts,
    mut body: UpstreamBody,
    last: &mut Option<u64>,
    tx: &Sender<Result<Bytes, Aborted>>,
) -> Leg {
    let mut reader = EventReader::default();
    loop {
        let limit = attempts.left().min(STREAM_SILENCE);
        let frame = match timeout(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if !reader.has_rest() => return Leg::Whole,
            Ok(Some(Err(_)) | None) | Err(_) => return Leg::Broken,
        };
        let Ok(data) = frame.into_data() else { continue };
        attempts.trace.on_data();
        reader.push(&data);
        let mut whole = bytes::BytesMut::new();
        while let Some(event) = reader.next_event() {
            if let Some(id) = event.id() {
                *last = Some(id);
            }
            whole.extend_from_slice(&event.raw);
        }
        if !whole.is_empty() && tx.send(Ok(whole.freeze())).await.is_err() {
            return Leg::CallerGone;
        }
    }
}
