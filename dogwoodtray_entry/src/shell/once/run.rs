//! Runs a request whose intent is stored.

use std::sync::Arc;

use dogwoodtray_coord::Answer;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::KeyHash;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Outcome;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use super::super::AnswerPart;
use super::super::RouterInput;
use super::super::Shared;
use super::OnceInput;
use crate::http::next_request;
use crate::online::DispatchMode;
use crate::online::RequestEnd;
use crate::online::RequestSpec;

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// It reached an endpoint, or may have.
    Ran(Outcome),
    /// It certainly did not reach an endpoint.
    NotRun,
}

/// Starts a run under the fencing token of its range.
pub(super) fn start(
    shared: &Arc<Shared>,
    runtime: &Handle,
    range: u32,
    key: KeyHash,
    epoch: Epoch,
    spec: &RequestSpec,
) {
    let mut spec = spec.clone();
    spec.idempotent = false;
    spec.mode = DispatchMode::Whole;
    spec.fence = Some((Name::from(format!("once/{range}")), epoch));
    let (reply, parts) = mpsc::unbounded_channel();
    let request = next_request(shared);
    let spec = Arc::new(spec);
    if !shared.tell_router(RouterInput::Submit { request, spec, reply }) {
        shared.tell_once(OnceInput::RunEnded { range, key, end: RunEnd::NotRun });
        return;
    }
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let end = collect(parts).await;
        shared.tell_once(OnceInput::RunEnded { range, key, end });
    });
}

async fn collect(mut parts: UnboundedReceiver<AnswerPart>) -> RunEnd {
    let mut whole = None;
    loop {
        match parts.recv().await {
            Some(AnswerPart::Data { status, content_type, data }) => {
                let body = Some(Arc::from(data.as_ref()));
                whole = Some(Answer { status, content_type, body });
            }
            Some(AnswerPart::End(RequestEnd::Answered { .. })) => {
                return RunEnd::Ran(whole.map_or(Outcome::Unknown, Outcome::Answered));
            }
            Some(AnswerPart::End(RequestEnd::NotRun { .. })) => return RunEnd::NotRun,
            Some(AnswerPart::End(RequestEnd::Unknown { .. } | RequestEnd::Quarantined)) | None => {
                return RunEnd::Ran(Outcome::Unknown);
            }
        }
    }
}
