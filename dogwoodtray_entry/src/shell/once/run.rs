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
use super::super::EntryState;
use super::super::RouterInput;
use super::OnceInput;
use crate::http::next_request_no;
use crate::online::DispatchMode;
use crate::online::RequestEnd;
use crate::online::RequestSpec;

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The request reached an endpoint, or may have.
    Ran(Outcome),
    /// The request did not reach an endpoint.
    NotRun,
}

/// Starts a run with the fencing token of its range.
pub(super) fn start(
    shared: &Arc<EntryState>,
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
    let request = next_request_no(shared);
    let spec = Arc::new(spec);
    if !shared.send_to_router(RouterInput::Submit { request, spec, reply }) {
        shared.send_to_once(OnceInput::RunEnded { range, key, outcome: RunOutcome::NotRun });
        return;
    }
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let outcome = collect_answer(parts).await;
        shared.send_to_once(OnceInput::RunEnded { range, key, outcome });
    });
}

async fn collect_answer(mut parts: UnboundedReceiver<AnswerPart>) -> RunOutcome {
    let mut answer = None;
    loop {
        match parts.recv().await {
            Some(AnswerPart::Data { status, content_type, data }) => {
                let body = Some(Arc::from(data.as_ref()));
                answer = Some(Answer { status, content_type, body });
            }
            Some(AnswerPart::End(RequestEnd::Answered { .. })) => {
                return RunOutcome::Ran(answer.map_or(Outcome::Unknown, Outcome::Answered));
            }
            Some(AnswerPart::End(RequestEnd::NotRun { .. })) => return RunOutcome::NotRun,
            Some(AnswerPart::End(RequestEnd::Unknown { .. })) | None => {
                return RunOutcome::Ran(Outcome::Unknown);
            }
        }
    }
}
