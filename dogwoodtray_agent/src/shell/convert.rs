//! Conversion between wire messages and the types of the state machine.

use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_runtime::attempt_from_wire;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::NotRunReason;
use dogwoodtray_wire::messages::Outcome;
use dogwoodtray_wire::messages::WorkClass;

use crate::core::AttemptOutcome;
use crate::core::Backlog;
use crate::core::NotRun;
use crate::core::Work;

/// Returns `None` if the message lacks a valid attempt or class.
pub(super) fn work_from_wire(dispatch: messages::Dispatch) -> Option<Work> {
    let class = match dispatch.class() {
        WorkClass::Online => Class::Online,
        WorkClass::Batch => Class::Batch,
        WorkClass::Unspecified => return None,
    };
    let cost = dispatch.cost.unwrap_or_default();
    let claim = Name::from(dispatch.claim.as_str());
    Some(Work {
        attempt: attempt_from_wire(dispatch.attempt)?,
        request: dispatch.request_id.into(),
        class,
        model: dispatch.model.into(),
        method: dispatch.method.into(),
        path: dispatch.path.into(),
        body: dispatch.body,
        idempotent: dispatch.idempotent,
        idempotency_key: dispatch.idempotency_key.into(),
        fence: (!claim.is_empty()).then_some((claim, Epoch(dispatch.epoch))),
        deadline: (dispatch.deadline_ms > 0).then(|| Duration::from_millis(dispatch.deadline_ms)),
        cost: Cost { prompt_tokens: cost.prompt_tokens, output_tokens: cost.output_tokens },
        resume_from: dispatch.resume_from,
        content: ContentHash(dispatch.content),
        prefix: dispatch.prefix,
        is_trial: dispatch.trial,
    })
}

pub(super) fn backlog_from_wire(backlog: Vec<messages::Backlog>) -> Vec<Backlog> {
    backlog
        .into_iter()
        .map(|b| Backlog { model: b.model.into(), items: b.items, slack_ms: b.slack_ms })
        .collect()
}

/// Sets the fields of a `Done` message that describe the outcome.
pub(super) fn fill_outcome(done: &mut messages::Done, outcome: AttemptOutcome) {
    let wire_outcome = match outcome {
        AttemptOutcome::Answered { status } => {
            done.status = u32::from(status);
            Outcome::Answered
        }
        AttemptOutcome::Failed => Outcome::Failed,
        AttemptOutcome::Crashed => Outcome::Crashed,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::Preempted => Outcome::Preempted,
        AttemptOutcome::NotRun(reason) => {
            done.set_reason(reason_to_wire(reason));
            Outcome::NotRun
        }
        AttemptOutcome::Unknown => Outcome::Unknown,
    };
    done.set_outcome(wire_outcome);
}

const fn reason_to_wire(reason: NotRun) -> NotRunReason {
    match reason {
        NotRun::Busy => NotRunReason::Busy,
        NotRun::Leaving => NotRunReason::Leaving,
        NotRun::Fenced => NotRunReason::Fenced,
        NotRun::WrongModel => NotRunReason::WrongModel,
        NotRun::Deadline => NotRunReason::Deadline,
        NotRun::EndpointDown => NotRunReason::EndpointDown,
        NotRun::Blocked => NotRunReason::Blocked,
        NotRun::Cancelled => NotRunReason::Cancelled,
        NotRun::NeverReceived => NotRunReason::Unspecified,
    }
}
