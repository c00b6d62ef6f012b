//! Input and results of a publication.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::WriteStamp;

use crate::check::Finding;
use crate::diff::Change;
use crate::merge::Conflict;
use crate::pointer::Pointer;
use crate::pointer::SetRef;
use crate::set::ObjectSet;

/// Input of a publication.
#[derive(Clone, Debug)]
pub struct PublicationRequest {
    /// Set that the edits started from, or `None` if nothing was published yet.
    pub base: Option<SetRef>,
    /// The complete set after the edits.
    pub edited: ObjectSet,
    /// Stamp that identifies the pointer write; no other write uses it.
    pub stamp: WriteStamp,
    /// Note that is stored with the pointer.
    pub note: Name,
}

/// Next action for the caller of a [`Publication`](crate::Publication).
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationStep {
    /// Run this call and pass its reply to [`Publication::on_reply`](crate::Publication::on_reply).
    Call(StoreOp),
    /// Wait, then run the call from [`Publication::next_call`](crate::Publication::next_call).
    Wait(Duration),
    /// The publication has finished.
    Finished(PublicationResult),
}

/// Final result of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationResult {
    /// The set is current, or was current until a later publication replaced it.
    Published {
        /// The published set.
        set: SetRef,
        /// Changes made by the publication.
        changes: Vec<Change>,
        /// Changes that others had published since the base.
        merged: Vec<Change>,
    },
    /// The current set already contains the edits, so nothing was written.
    Unchanged {
        /// The current set.
        set: Option<SetRef>,
    },
    /// Another publication updated the pointer first; this one has no effect.
    Conflict {
        /// The set of this publication, which did not become current.
        ours: SetRef,
        /// The pointer written by the other publication, or `None` if it was deleted.
        theirs: Option<Pointer>,
    },
    /// A later publication updated the pointer, and the stored sets no longer show whether the set
    /// of this publication was current before.
    Unknown {
        /// The set that may have been current.
        ours: SetRef,
        /// Why the result cannot be determined.
        reason: String,
    },
    /// Others changed the same objects since the base; nothing was written.
    ObjectConflict(Conflict),
    /// The edited or the merged set has errors; nothing was written.
    Invalid(Vec<Finding>),
    /// The request specifies no base although a set is published.
    BaseNeeded {
        /// The current set.
        current: SetRef,
    },
    /// The edits cannot be published, for the given reason. They have no effect.
    Refused(String),
}
