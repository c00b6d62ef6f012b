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

/// What is to be published.
#[derive(Clone, Debug)]
pub struct PublicationRequest {
    /// Set that the edits started from; `None` if nothing was published yet.
    pub base: Option<SetRef>,
    /// The whole set after the edits.
    pub edited: ObjectSet,
    /// Stamp that no other write has.
    pub stamp: WriteStamp,
    /// Note that is kept with the pointer.
    pub note: Name,
}

/// What the owner of a [`Publication`](crate::Publication) does next.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationStep {
    /// Run this call and hand its reply to [`Publication::on_reply`](crate::Publication::on_reply).
    Call(StoreOp),
    /// Wait, then run [`Publication::next_call`](crate::Publication::next_call).
    Wait(Duration),
    /// The publication ended.
    Finished(PublicationResult),
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationResult {
    /// The set is current, or was until a later publication.
    Published {
        /// The published set.
        set: SetRef,
        /// What the publication changed.
        changes: Vec<Change>,
        /// What others had published since the base.
        merged: Vec<Change>,
    },
    /// The edits are in force already, so nothing was written.
    Unchanged {
        /// The current set.
        set: Option<SetRef>,
    },
    /// Another publication moved the pointer first; nothing of this one is in force.
    Conflict {
        /// The set that lost.
        ours: SetRef,
        /// The pointer that won; `None` if it was deleted.
        theirs: Option<Pointer>,
    },
    /// A later publication moved the pointer on, and what is stored no longer tells whether this
    /// one came before it.
    Unknown {
        /// The set that may have been current.
        ours: SetRef,
        /// Why it cannot be told.
        reason: String,
    },
    /// Others changed the same objects since the base; nothing was written.
    ObjectConflict(Conflict),
    /// The set, or the set after the merge, has errors; nothing was written.
    Invalid(Vec<Finding>),
    /// The base is not given, although a set is published.
    BaseNeeded {
        /// The current set.
        current: SetRef,
    },
    /// The edits cannot be published; the text says why. Nothing of them is in force.
    Refused(String),
}
