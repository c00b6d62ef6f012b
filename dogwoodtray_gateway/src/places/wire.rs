//! Conversions between values and message fields for places.

use std::time::Duration;

use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceEnd;
use dogwoodtray_wire::messages::PlaceOutcome;
use dogwoodtray_wire::messages::WorkClass;

/// Converts a duration to whole milliseconds, up to `u32::MAX`.
pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

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

pub(super) const fn end_to_wire(end: PlaceEnd) -> PlaceOutcome {
    match end {
        PlaceEnd::Answered => PlaceOutcome::Answered,
        PlaceEnd::Withdrawn => PlaceOutcome::Withdrawn,
        PlaceEnd::Full => PlaceOutcome::Full,
        PlaceEnd::Failed => PlaceOutcome::Failed,
    }
}

pub(crate) const fn end_from_wire(outcome: PlaceOutcome) -> PlaceEnd {
    match outcome {
        PlaceOutcome::Answered => PlaceEnd::Answered,
        PlaceOutcome::Full => PlaceEnd::Full,
        PlaceOutcome::Failed => PlaceEnd::Failed,
        PlaceOutcome::Withdrawn | PlaceOutcome::Unspecified => PlaceEnd::Withdrawn,
    }
}
