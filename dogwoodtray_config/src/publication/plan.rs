//! Set and pointer that a publication writes.

use std::sync::Arc;

use dogwoodtray_coord::Precondition;

use super::request::PublicationRequest;
use super::request::PublicationResult;
use crate::check::check;
use crate::diff::Change;
use crate::diff::diff;
use crate::merge::merge;
use crate::pointer::Pointer;
use crate::pointer::SetRef;
use crate::snapshot::Snapshot;

/// The current set, which a publication replaces.
#[derive(Clone, Debug)]
pub(super) struct CurrentSet {
    /// Stored state of the pointer that the write of the new pointer expects.
    pub(super) expect: Precondition,
    /// Reference to the current set, or `None` if nothing is published.
    pub(super) set: Option<SetRef>,
    /// Content of the current set.
    pub(super) snapshot: Snapshot,
}

/// The set that a publication writes, prepared before the first write.
#[derive(Clone, Debug)]
pub(super) struct WritePlan {
    pub(super) expect: Precondition,
    pub(super) set: SetRef,
    pub(super) bytes: Arc<[u8]>,
    pub(super) changes: Vec<Change>,
    pub(super) merged: Vec<Change>,
}

impl WritePlan {
    /// Merges, checks and encodes the set. An error is the final result of the publication.
    pub(super) fn new(
        req: &PublicationRequest,
        current: &CurrentSet,
        base: &Snapshot,
    ) -> Result<Self, PublicationResult> {
        let merged = merge(base, &current.snapshot, &req.edited)
            .map_err(PublicationResult::ObjectConflict)?;
        let old = current.snapshot.objects();
        let changes = diff(&old, &merged);
        if changes.is_empty() {
            return Err(PublicationResult::Unchanged { set: current.set });
        }
        let findings = check(&merged);
        if !findings.is_empty() {
            return Err(PublicationResult::Invalid(findings));
        }
        let parent = current.set.map(|set| set.hash).unwrap_or_default();
        let next = current.snapshot.next(parent, merged);
        let encoded = next.encode().map_err(|err| PublicationResult::Refused(err.to_string()))?;
        Ok(Self {
            expect: current.expect,
            set: SetRef { generation: next.generation(), hash: encoded.hash },
            bytes: encoded.bytes,
            changes,
            merged: diff(&base.objects(), &old),
        })
    }

    /// Returns the encoded pointer that makes the set current.
    pub(super) fn pointer_value(&self, req: &PublicationRequest) -> Arc<[u8]> {
        let pointer = Pointer { set: self.set, stamp: req.stamp, note: req.note.clone() };
        let Ok(bytes) = serde_json::to_vec(&pointer) else {
            unreachable!("a pointer contains only numbers and strings");
        };
        Arc::from(bytes)
    }

    pub(super) fn published(self) -> PublicationResult {
        PublicationResult::Published { set: self.set, changes: self.changes, merged: self.merged }
    }

    pub(super) const fn conflict(&self, theirs: Option<Pointer>) -> PublicationResult {
        PublicationResult::Conflict { ours: self.set, theirs }
    }
}
