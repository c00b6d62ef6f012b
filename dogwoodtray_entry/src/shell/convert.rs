//! Conversion between wire messages and the types of the online core.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_runtime::attempt_to_wire;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Outcome;
use dogwoodtray_wire::messages::WorkClass;

use crate::online::AttemptDone;
use crate::online::AttemptOutcome;
use crate::online::DispatchMode;
use crate::online::NotRunReason;
use crate::online::RequestSpec;

pub(super) fn dispatch_message(
    attempt: AttemptId,
    spec: &RequestSpec,
    time_left: Duration,
    resume_from: u32,
    is_trial: bool,
) -> messages::Dispatch {
    let class = match spec.class {
        Class::Online => WorkClass::Online,
        Class::Batch => WorkClass::Batch,
    };
    let (claim, epoch) = match &spec.fence {
        Some((claim, epoch)) => (claim.to_string(), epoch.0),
        None => (String::new(), 0),
    };
    messages::Dispatch {
        attempt: attempt_to_wire(attempt),
        request_id: spec.id.to_string(),
        class: class.into(),
        model: spec.model.to_string(),
        method: spec.method.to_string(),
        path: spec.path.to_string(),
        body: spec.body.clone(),
        idempotent: spec.idempotent,
        epoch,
        claim,
        deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX).max(1),
        cost: Some(messages::Cost {
            prompt_tokens: spec.cost.prompt_tokens,
            output_tokens: spec.cost.output_tokens,
        }),
        resume_from,
        content: spec.content.0,
        trial: is_trial,
        organization: spec.organization.to_string(),
        idempotency_key: spec.idempotency_key.to_string(),
        clock: None,
        prefix: spec.prefix,
    }
}

pub(super) fn attempt_done(message: messages::Done) -> AttemptDone {
    let outcome = match message.outcome() {
        Outcome::Answered => {
            AttemptOutcome::Answered { status: u16::try_from(message.status).unwrap_or(502) }
        }
        Outcome::Failed => AttemptOutcome::Failed,
        Outcome::Crashed => AttemptOutcome::Crashed,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::Preempted => AttemptOutcome::Preempted,
        Outcome::NotRun => AttemptOutcome::NotRun(not_run_reason(message.reason())),
        Outcome::Unknown | Outcome::Unspecified => AttemptOutcome::Unknown,
    };
    AttemptDone {
        outcome,
        content_type: message.content_type.into(),
        total_bytes: message.total_bytes,
        tokens: message.tokens,
    }
}

const fn not_run_reason(reason: messages::NotRunReason) -> NotRunReason {
    use dogwoodtray_wire::messages::NotRunReason as Wire;
    match reason {
        Wire::Busy | Wire::StoreDown | Wire::KeyReused | Wire::NotOwner => NotRunReason::Busy,
        Wire::Blocked => NotRunReason::Blocked,
        Wire::Leaving => NotRunReason::Leaving,
        Wire::Fenced => NotRunReason::Fenced,
        Wire::WrongModel => NotRunReason::WrongModel,
        Wire::Deadline => NotRunReason::Deadline,
        Wire::EndpointDown => NotRunReason::EndpointDown,
        Wire::Cancelled => NotRunReason::Cancelled,
        Wire::Unspecified => NotRunReason::NeverReceived,
    }
}

/// Converts a request that another entry forwarded.
pub(super) fn request_spec(dispatch: messages::Dispatch) -> RequestSpec {
    let cost = dispatch.cost.unwrap_or_default();
    RequestSpec {
        id: dispatch.request_id.into(),
        class: Class::Online,
        model: dispatch.model.into(),
        method: dispatch.method.into(),
        path: dispatch.path.into(),
        body: dispatch.body,
        idempotent: false,
        idempotency_key: dispatch.idempotency_key.into(),
        fence: None,
        timeout: Duration::from_millis(dispatch.deadline_ms),
        cost: Cost { prompt_tokens: cost.prompt_tokens, output_tokens: cost.output_tokens },
        prefix: dispatch.prefix,
        content: ContentHash(dispatch.content),
        organization: dispatch.organization.into(),
        mode: DispatchMode::Whole,
    }
}
