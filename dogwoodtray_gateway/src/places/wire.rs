//! Conversions between values and message fields for places.

use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::WorkClass;

use crate::trial::TrialKey;

pub(super) const fn class_to_wire(class: Class) -> WorkClass {
    match class {
        Class::Online => WorkClass::Online,
        Class::Batch => WorkClass::Batch,
    }
}

pub(super) const fn class_from_wire(class: WorkClass) -> Class {
    match class {
        WorkClass::Batch => Class::Batch,
        WorkClass::Online | WorkClass::Unspecified => Class::Online,
    }
}

pub(super) const fn outcome_to_wire(outcome: PlaceOutcome) -> messages::PlaceOutcome {
    match outcome {
        PlaceOutcome::Answered => messages::PlaceOutcome::Answered,
        PlaceOutcome::Withdrawn => messages::PlaceOutcome::Withdrawn,
        PlaceOutcome::Full => messages::PlaceOutcome::Full,
        PlaceOutcome::Failed => messages::PlaceOutcome::Failed,
        PlaceOutcome::Errored => messages::PlaceOutcome::Errored,
    }
}

pub(crate) const fn outcome_from_wire(outcome: messages::PlaceOutcome) -> PlaceOutcome {
    match outcome {
        messages::PlaceOutcome::Answered => PlaceOutcome::Answered,
        messages::PlaceOutcome::Full => PlaceOutcome::Full,
        messages::PlaceOutcome::Failed => PlaceOutcome::Failed,
        messages::PlaceOutcome::Errored => PlaceOutcome::Errored,
        messages::PlaceOutcome::Withdrawn | messages::PlaceOutcome::Unspecified => {
            PlaceOutcome::Withdrawn
        }
    }
}

pub(crate) fn refusal(ask: u64, retry_after: Duration, over_limit: bool) -> messages::PlaceRefused {
    messages::PlaceRefused { ask, retry_after_ms: millis(retry_after), over_limit }
}

pub(crate) fn cost_from_wire(request: &messages::PlaceAsk) -> PlaceCost {
    PlaceCost {
        prompt_tokens: request.prompt_tokens,
        expected_output_tokens: request.expected_output_tokens,
        max_output_tokens: request.max_output_tokens,
        route: request.route,
        prefix: request.prefix,
    }
}

/// Returns the organization of a request for a place.
pub(crate) fn organization_from_wire(request: &messages::PlaceAsk) -> Option<Name> {
    (!request.organization.is_empty()).then(|| Name::from(request.organization.as_str()))
}

/// Returns a request for a place in which only the fields of its trial are set.
pub(super) fn trial_to_wire(trial: &TrialKey) -> messages::PlaceAsk {
    messages::PlaceAsk {
        trial: trial.contents.iter().map(|content| content.0).collect(),
        trial_holder: trial.id.holder.0,
        trial_number: trial.id.number,
        trial_expiring: trial.subject == TrialSubject::ExpiringItem,
        ..messages::PlaceAsk::default()
    }
}

/// Returns the trial that a place is requested for.
pub(crate) fn trial_from_wire(request: &messages::PlaceAsk) -> Option<TrialKey> {
    let holder = Incarnation(request.trial_holder);
    let id = TrialId { holder, number: request.trial_number };
    let subject = match (class_from_wire(request.class()), request.trial_expiring) {
        (Class::Online, _) => TrialSubject::Request,
        (Class::Batch, false) => TrialSubject::Item,
        (Class::Batch, true) => TrialSubject::ExpiringItem,
    };
    let contents = request.trial.iter().copied().map(ContentHash).collect();
    (!request.trial.is_empty()).then_some(TrialKey { id, subject, contents })
}
