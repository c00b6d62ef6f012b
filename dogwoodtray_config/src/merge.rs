//! Three-way merge of edits by several operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use dogwoodtray_coord::Generation;
use serde::Serialize;

use crate::objects::Object;
use crate::objects::ObjectId;
use crate::set::ObjectSet;
use crate::snapshot::Snapshot;

/// Conflicting changes of two operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// The objects in conflict, in order of kind and name; never empty.
    pub objects: Vec<ObjectConflict>,
}

/// An object that two operators changed differently. An absent or deleted object is `None`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectConflict {
    /// Kind and name of the object.
    pub id: ObjectId,
    /// The object before both edits.
    pub base: Option<Object>,
    /// The object after the edit to be merged.
    pub ours: Option<Object>,
    /// The object in the current generation.
    pub theirs: Option<Object>,
    /// Generation that published `theirs`, or `None` if the object was deleted.
    pub theirs_changed: Option<Generation>,
}

impl fmt::Display for ObjectConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "! {}", self.id)?;
        writeln!(f, "    base:   {}", ObjectJson(self.base.as_ref()))?;
        writeln!(f, "    ours:   {}", ObjectJson(self.ours.as_ref()))?;
        write!(f, "    theirs: {}", ObjectJson(self.theirs.as_ref()))?;
        match self.theirs_changed {
            Some(generation) => write!(f, " (generation {})", generation.0),
            None => Ok(()),
        }
    }
}

struct ObjectJson<'a>(Option<&'a Object>);

impl fmt::Display for ObjectJson<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.map(serde_json::to_string) {
            None => f.write_str("absent"),
            Some(Ok(text)) => f.write_str(&text),
            Some(Err(_)) => f.write_str("no JSON form"),
        }
    }
}

/// Merges a set that was edited from `base` into the current generation.
///
/// Changes are detected for each object by its version and its content. If only one side changed an
/// object, the result contains the object of that side. If both sides changed it to the same
/// content, there is no conflict.
///
/// # Errors
///
/// Returns all objects that both sides changed to different contents.
pub fn merge(
    base: &Snapshot,
    current: &Snapshot,
    edited: &ObjectSet,
) -> Result<ObjectSet, Conflict> {
    let base_objects = base.objects();
    let current_objects = current.objects();
    let base_versions = base.versions();
    let current_versions = current.versions();
    let base = base_objects.by_id();
    let theirs = current_objects.by_id();
    let ours = edited.by_id();

    let mut merged = Vec::new();
    let mut conflicts = Vec::new();
    for id in all_ids(&[&base, &theirs, &ours]) {
        let (base, theirs, ours) = (base.get(id), theirs.get(id), ours.get(id));
        let changed_by_us = ours != base;
        let changed_by_them = current_versions.get(id) != base_versions.get(id) || theirs != base;
        if changed_by_us && changed_by_them && ours != theirs {
            conflicts.push(ObjectConflict {
                id: id.clone(),
                base: base.copied().cloned(),
                ours: ours.copied().cloned(),
                theirs: theirs.copied().cloned(),
                theirs_changed: current_versions.get(id).copied(),
            });
            continue;
        }
        let selected = if changed_by_us { ours } else { theirs };
        merged.extend(selected.copied().cloned());
    }
    if conflicts.is_empty() {
        Ok(merged.into_iter().collect())
    } else {
        Err(Conflict { objects: conflicts })
    }
}

fn all_ids<'a>(sides: &[&'a BTreeMap<ObjectId, &Object>]) -> BTreeSet<&'a ObjectId> {
    sides.iter().flat_map(|side| side.keys()).collect()
}
