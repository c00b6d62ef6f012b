//! Differences between two sets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::objects::Object;
use crate::objects::ObjectId;
use crate::set::ObjectSet;

/// A change of an object between two sets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Kind and name of the object.
    #[serde(flatten)]
    pub id: ObjectId,
    /// Type of the change.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// Type of a change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new set contains the object.
    Added,
    /// Only the old set contains the object.
    Removed,
    /// Both sets contain the object, with different fields.
    Changed {
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
}

/// A change of a field. Absent fields are `null`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Value in the old set.
    pub old: Value,
    /// Value in the new set.
    pub new: Value,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {}", self.id),
            ChangeKind::Removed => write!(f, "- {}", self.id),
            ChangeKind::Changed { fields } => {
                write!(f, "~ {}", self.id)?;
                fields.iter().try_for_each(|field| {
                    write!(f, "\n    {}: {} -> {}", field.field, field.old, field.new)
                })
            }
        }
    }
}

/// Returns the changes between two sets, in order of kind and name.
#[must_use]
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    let old = old.by_id();
    let new = new.by_id();
    let ids: BTreeSet<&ObjectId> = old.keys().chain(new.keys()).collect();
    ids.into_iter().filter_map(|id| object_change(id, &old, &new)).collect()
}

fn object_change(
    id: &ObjectId,
    old: &BTreeMap<ObjectId, &Object>,
    new: &BTreeMap<ObjectId, &Object>,
) -> Option<Change> {
    let kind = match (old.get(id), new.get(id)) {
        (None, _) => ChangeKind::Added,
        (_, None) => ChangeKind::Removed,
        (Some(old), Some(new)) if old == new => return None,
        (Some(old), Some(new)) => ChangeKind::Changed { fields: field_changes(old, new) },
    };
    Some(Change { id: id.clone(), kind })
}

fn field_changes(old: &Object, new: &Object) -> Vec<FieldChange> {
    let mut old = serialized_fields(old);
    let mut new = serialized_fields(new);
    let names: BTreeSet<String> = old.keys().chain(new.keys()).cloned().collect();
    let mut changes = Vec::new();
    for field in names {
        let old = old.remove(&field).unwrap_or_default();
        let new = new.remove(&field).unwrap_or_default();
        if old != new {
            changes.push(FieldChange { field, old, new });
        }
    }
    changes
}

fn serialized_fields(object: &Object) -> BTreeMap<String, Value> {
    let value = match object {
        Object::Model(object) => serde_json::to_value(object),
        Object::Version(object) => serde_json::to_value(object),
        Object::Adapter(object) => serde_json::to_value(object),
        Object::Route(object) => serde_json::to_value(object),
        Object::BatchPolicy(object) => serde_json::to_value(object),
        Object::RetirementPlan(object) => serde_json::to_value(object),
    };
    match value {
        Ok(Value::Object(fields)) => fields.into_iter().collect(),
        _ => BTreeMap::new(),
    }
}
