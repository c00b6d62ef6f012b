//! Execution of requests that must run at most once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use hyper::StatusCode;
use tokio::sync::oneshot;

use super::error::ApiError;
use super::error::RunStatus;
use super::request::SharedState;
use super::stream::OpenAnswerGuard;
use crate::online::RequestSpec;
use crate::shell::OnceInput;
use crate::shell::OnceReply;

/// Additional time after the deadline in which the record of the request may still be updated.
const RECORD_GRACE: Duration = Duration::from_secs(15);

/// Answer of this run or of an earlier run with the same key.
#[derive(Debug)]
pub(super) struct OnceAnswer {
    pub(super) status: StatusCode,
    pub(super) content_type: Name,
    pub(super) body: Bytes,
}

/// Runs a request at most once and returns its answer, or the answer of an earlier run with the
/// same key.
pub(super) async fn run(shared: &SharedState, spec: RequestSpec) -> Result<OnceAnswer, ApiError> {
    if spec.idempotency_key.is_empty() {
        return Err(ApiError::bad_request(
            "key_required",
            "a non-idempotent request needs an Idempotency-Key",
        ));
    }
    let _open = OpenAnswerGuard::new(Arc::clone(shared));
    let timeout = spec.timeout + RECORD_GRACE;
    let (reply, answer) = oneshot::channel();
    if !shared.send_to_once(OnceInput::Begin { spec: Arc::new(spec), reply }) {
        return Err(ApiError::unavailable("stopping", "the process is stopping"));
    }
    let reply = match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => OnceReply::Unknown,
    };
    into_answer(reply)
}

fn into_answer(reply: OnceReply) -> Result<OnceAnswer, ApiError> {
    match reply {
        OnceReply::Answer { answer, .. } => {
            let Some(body) = answer.body else {
                let message = "the request ran, and its answer was too large to keep";
                let error = ApiError::not_run(StatusCode::GONE, "answer_not_kept", message);
                return Err(ApiError { run: RunStatus::Ran, ..error });
            };
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let body = Bytes::copy_from_slice(&body);
            Ok(OnceAnswer { status, content_type: answer.content_type, body })
        }
        OnceReply::NotRun { reason } => Err(ApiError::unavailable("not_run", reason)),
        OnceReply::Unknown => Err(ApiError::unknown(
            StatusCode::CONFLICT,
            "may_have_run",
            "the request may have run; it will not be run again",
        )),
        OnceReply::KeyReused => Err(ApiError::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "the key belongs to a request with other content",
        )),
    }
}
