//! Passes requests on to the owner of their key range, and answers such requests.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodtray_coord::Answer;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RequestId;
use dogwoodtray_runtime::AskOutcome;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::ask;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::NotRunReason;
use dogwoodtray_wire::messages::Outcome;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::runtime::Handle;

use super::super::Shared;
use super::super::convert;
use super::OnceInput;
use super::OnceReply;
use crate::online::RequestSpec;

/// Time beyond the deadline of a request in which its owner still answers.
const GRACE: Duration = Duration::from_secs(5);

/// How passing a request on ended.
#[derive(Debug)]
pub(crate) enum Forwarding {
    /// The owner could not be reached or no longer owns the range; nothing was started.
    TryAgain,
    /// The owner replied, or the connection was lost after the request was sent.
    Replied(OnceReply),
}

/// Passes a request on and reports the end to the service.
pub(super) fn start(
    shared: &Arc<Shared>,
    runtime: &Handle,
    owner: Name,
    request: RequestId,
    spec: &RequestSpec,
) {
    let attempt = AttemptId { incarnation: shared.incarnation, counter: request.0 };
    let dispatch = convert::dispatch(attempt, spec, spec.timeout, 0, false);
    let timeout = spec.timeout + GRACE;
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let end = pass_on(&shared, &owner, dispatch, timeout).await;
        shared.tell_once(OnceInput::ForwardEnded { request, end });
    });
}

async fn pass_on(
    shared: &Shared,
    owner: &str,
    dispatch: messages::Dispatch,
    timeout: Duration,
) -> Forwarding {
    let mut body = BytesMut::new();
    let mut done = None;
    let on_answer = |kind| match kind {
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
    let asked = ask(owner, shared.hello(), request, timeout, |_| {}, on_answer).await;
    match (asked, done) {
        (AskOutcome::NotSent, _) => Forwarding::TryAgain,
        (_, Some(done)) => read_done(&done, body.freeze()),
        (_, None) => Forwarding::Replied(OnceReply::Unknown),
    }
}

fn read_done(done: &messages::Done, body: Bytes) -> Forwarding {
    let reply = match (done.outcome(), done.reason()) {
        (Outcome::Answered, _) => {
            let body = (done.total_bytes == body.len() as u64).then(|| Arc::from(body.as_ref()));
            let status = u16::try_from(done.status).unwrap_or(502);
            let content_type = Name::from(done.content_type.as_str());
            OnceReply::Answer { answer: Answer { status, content_type, body }, replayed: false }
        }
        (Outcome::NotRun, NotRunReason::NotOwner) => return Forwarding::TryAgain,
        (Outcome::NotRun, NotRunReason::KeyReused) => OnceReply::Mismatch,
        (Outcome::NotRun, _) => {
            OnceReply::NotRun { reason: "the owner of the key range did not run it" }
        }
        _ => OnceReply::Unknown,
    };
    Forwarding::Replied(reply)
}

/// Replies to an entry that passed a request on.
pub(super) fn reply(link: &LinkHandle, attempt: Option<messages::AttemptId>, reply: OnceReply) {
    let mut done = messages::Done { attempt, ..messages::Done::default() };
    match reply {
        OnceReply::Answer { answer, .. } => {
            done.set_outcome(Outcome::Answered);
            done.status = u32::from(answer.status);
            done.content_type = answer.content_type.to_string();
            // A body that was too large to keep is told by a length that does not fit.
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
        OnceReply::Mismatch => {
            done.set_outcome(Outcome::NotRun);
            done.set_reason(NotRunReason::KeyReused);
        }
    }
    link.send(done);
}

/// Tells an entry that this process does not own the range.
pub(super) fn reply_not_owner(link: &LinkHandle, attempt: Option<messages::AttemptId>) {
    let mut done = messages::Done { attempt, ..messages::Done::default() };
    done.set_outcome(Outcome::NotRun);
    done.set_reason(NotRunReason::NotOwner);
    link.send(done);
}
