//! Forwards requests to the owner of their key range, and replies to forwarded requests.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_coord::Answer;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RequestId;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::RequestOutcome;
use dogwoodtray_runtime::request_once;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::NotRunReason;
use dogwoodtray_wire::messages::Outcome;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::runtime::Handle;

use super::super::EntryState;
use super::super::convert;
use super::OnceInput;
use super::OnceReply;
use crate::online::RequestSpec;

/// Time after the deadline of a request within which the reply of the owner is still accepted.
const OWNER_REPLY_GRACE: Duration = Duration::from_secs(5);

/// Outcome of forwarding a request.
#[derive(Debug)]
pub(crate) enum ForwardOutcome {
    /// The owner could not be reached or no longer owns the range; nothing was started.
    Retry,
    /// The owner replied, or the connection was lost after the request was sent.
    Replied(OnceReply),
}

/// Forwards a request and reports the outcome to the service.
pub(super) fn start(
    shared: &Arc<EntryState>,
    runtime: &Handle,
    owner: Name,
    request: RequestId,
    spec: &RequestSpec,
) {
    let attempt = AttemptId { incarnation: shared.incarnation, counter: request.0 };
    let dispatch = convert::dispatch_message(attempt, spec, spec.timeout, 0, false);
    let timeout = spec.timeout + OWNER_REPLY_GRACE;
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let outcome = send_to_owner(&shared, &owner, dispatch, timeout).await;
        shared.send_to_once(OnceInput::ForwardEnded { request, outcome });
    });
}

async fn send_to_owner(
    shared: &EntryState,
    owner: &str,
    dispatch: messages::Dispatch,
    timeout: Duration,
) -> ForwardOutcome {
    let mut body = BytesMut::new();
    let mut done = None;
    let on_frame = |kind| match kind {
        Kind::Chunk(chunk) => {
            body.extend_from_slice(&chunk.data);
            ControlFlow::Continue(())
        }
        Kind::Done(message) => {
            done = Some(message);
            ControlFlow::Break(())
        }
        _ => ControlFlow::Continue(()),
    };
    let request = Frame::from(dispatch);
    let outcome = request_once(owner, shared.hello(), request, timeout, |_| {}, on_frame).await;
    match (outcome, done) {
        (RequestOutcome::NotSent, _) => ForwardOutcome::Retry,
        (_, Some(done)) => parse_done(&done, body.freeze()),
        (_, None) => ForwardOutcome::Replied(OnceReply::Unknown),
    }
}

fn parse_done(done: &messages::Done, body: Bytes) -> ForwardOutcome {
    let reply = match (done.outcome(), done.reason()) {
        (Outcome::Answered, _) => {
            let body = (done.total_bytes == body.len() as u64).then(|| Arc::from(body.as_ref()));
            let status = u16::try_from(done.status).unwrap_or(502);
            let content_type = Name::from(done.content_type.as_str());
            OnceReply::Answer { answer: Answer { status, content_type, body }, replayed: false }
        }
        (Outcome::NotRun, NotRunReason::NotOwner) => return ForwardOutcome::Retry,
        (Outcome::NotRun, NotRunReason::KeyReused) => OnceReply::KeyReused,
        (Outcome::NotRun, _) => {
            OnceReply::NotRun { reason: "the owner of the key range did not run it" }
        }
        _ => OnceReply::Unknown,
    };
    ForwardOutcome::Replied(reply)
}

/// Replies to the entry that forwarded a request.
pub(super) fn reply(link: &LinkHandle, attempt: Option<messages::AttemptId>, reply: OnceReply) {
    let mut done = messages::Done { attempt, ..messages::Done::default() };
    match reply {
        OnceReply::Answer { answer, .. } => {
            done.set_outcome(Outcome::Answered);
            done.status = u32::from(answer.status);
            done.content_type = answer.content_type.to_string();
            // A total that does not match the chunks shows that the body was too large to keep.
            done.total_bytes = u64::MAX;
            if let Some(body) = &answer.body {
                done.total_bytes = body.len() as u64;
                let data = Bytes::copy_from_slice(body);
                link.send(messages::Chunk { attempt, offset: 0, data, tokens: 0 });
            }
        }
        OnceReply::NotRun { .. } => {
            done.set_outcome(Outcome::NotRun);
            done.set_reason(NotRunReason::StoreDown);
        }
        OnceReply::Unknown => done.set_outcome(Outcome::Unknown),
        OnceReply::KeyReused => {
            done.set_outcome(Outcome::NotRun);
            done.set_reason(NotRunReason::KeyReused);
        }
    }
    link.send(done);
}

/// Replies that this process does not own the key range.
pub(super) fn reply_not_owner(link: &LinkHandle, attempt: Option<messages::AttemptId>) {
    let mut done = messages::Done { attempt, ..messages::Done::default() };
    done.set_outcome(Outcome::NotRun);
    done.set_reason(NotRunReason::NotOwner);
    link.send(done);
}
