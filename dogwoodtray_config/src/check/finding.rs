//! Findings of a check.

use std::fmt;

use dogwoodtray_coord::Name;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use super::reason::Reason;
use crate::objects::Kind;
use crate::objects::Object;

/// An error in a set.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub object: Name,
    /// Field of the object.
    pub field: &'static str,
    /// Reason for the finding.
    pub reason: Reason,
}

impl Finding {
    pub(super) const fn new(kind: Kind, object: Name, field: &'static str, reason: Reason) -> Self {
        Self { kind, object, field, reason }
    }

    pub(super) fn of(object: &Object, field: &'static str, reason: Reason) -> Self {
        Self::new(object.kind(), object.name().clone(), field, reason)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}: {}", self.kind, self.object, self.field, self.reason)
    }
}

impl Serialize for Finding {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut state = serializer.serialize_struct("Finding", 4)?;
        state.serialize_field("kind", &self.kind)?;
        state.serialize_field("object", &self.object)?;
        state.serialize_field("field", self.field)?;
        state.serialize_field("reason", &self.reason.to_string())?;
        state.end()
    }
}
