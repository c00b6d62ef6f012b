//! Types for calls to the platform's store.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::Name;
use super::Version;

/// Key of an object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Name,
    /// Name of the object, unique within its kind.
    pub name: Name,
}

impl ObjectKey {
    /// Creates a key from its parts.
    #[must_use]
    pub fn new(kind: impl Into<Name>, name: impl Into<Name>) -> Self {
        Self { kind: kind.into(), name: name.into() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Identifier that matches a reply to its store call, unique within one state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Condition on an object for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has exactly this version.
    Version(Version),
}

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreOp {
    /// Reads an object.
    Get {
        /// Object to read.
        key: ObjectKey,
    },
    /// Writes an object if the condition holds.
    Put {
        /// Object to write.
        key: ObjectKey,
        /// Condition on the object.
        expect: Precondition,
        /// New value.
        value: Arc<[u8]>,
    },
    /// Deletes an object if it has the expected version.
    Delete {
        /// Object to delete.
        key: ObjectKey,
        /// Version that the object must have.
        expect: Version,
    },
    /// Lists names and versions, without values, in order of name.
    List {
        /// Kind to list.
        kind: Name,
        /// Prefix of the names to list.
        prefix: Name,
        /// Name after which the list starts.
        after: Option<Name>,
        /// Maximum number of entries to return.
        limit: u32,
    },
}

impl StoreOp {
    /// Returns `true` if the call can change the store.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Delete { .. })
    }
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreReply {
    /// The object exists; reply to `Get`.
    Found {
        /// Version of the object.
        version: Version,
        /// Value of the object.
        value: Arc<[u8]>,
    },
    /// The object does not exist; reply to `Get` and `Delete`.
    Missing,
    /// The write took effect.
    Written {
        /// Version after the write.
        version: Version,
    },
    /// The object was deleted.
    Deleted,
    /// The condition did not hold; nothing changed.
    Conflict,
    /// Names and versions; reply to `List`.
    Listed {
        /// Entries in order of name.
        entries: Vec<(Name, Version)>,
        /// Whether more entries follow the last one.
        more: bool,
    },
    /// The call had no effect because of a budget, a rate limit or an outage.
    Unavailable {
        /// Time to wait before the next attempt.
        retry_after: Duration,
    },
    /// The value exceeds the size limit of the store; nothing changed.
    TooLarge,
    /// The call may or may not have taken effect.
    Ambiguous,
}
