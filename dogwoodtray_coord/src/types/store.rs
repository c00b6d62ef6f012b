//! Calls to the platform's store, as values.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::Name;
use super::Version;

/// Names an object in the platform's store.
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

/// Names one store call of a module, so that its reply finds it. Unique within the module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// State that an object must be in for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has exactly this version.
    Version(Version),
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreOp {
    /// Reads an object.
    Get {
        /// Object to read.
        key: ObjectKey,
    },
    /// Writes an object if it is in the expected state.
    Put {
        /// Object to write.
        key: ObjectKey,
        /// State that the object must be in.
        expect: Expect,
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
        /// Only names that start with this.
        prefix: Name,
        /// Only names after this one.
        after: Option<Name>,
        /// Most entries to return.
        limit: u32,
    },
}

impl StoreOp {
    /// Tells whether the call changes the store.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Delete { .. })
    }
}

/// Result of one call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreReply {
    /// The object, for `Get`.
    Found {
        /// Its version.
        version: Version,
        /// Its value.
        value: Arc<[u8]>,
    },
    /// No such object, for `Get` and `Delete`.
    Missing,
    /// The write took effect.
    Written {
        /// Version after the write.
        version: Version,
    },
    /// The object was deleted.
    Deleted,
    /// The object was not in the expected state; nothing changed.
    Conflict,
    /// Names and versions, for `List`.
    Listed {
        /// Entries in order of name.
        entries: Vec<(Name, Version)>,
        /// Whether entries follow the last one.
        more: bool,
    },
    /// The call had no effect: the budget, a rate limit or an outage stopped it.
    Unavailable {
        /// Time to wait before the next try.
        retry_after: Duration,
    },
    /// The value is larger than the store holds; nothing changed.
    TooLarge,
    /// The call may or may not have taken effect.
    Ambiguous,
}
