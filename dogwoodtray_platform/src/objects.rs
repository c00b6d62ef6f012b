//! Objects of the platform with revisions, lists and watches of whole kinds.

use std::fmt;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use serde_json::value::RawValue;

use crate::store::BoxFuture;

/// Object of the store. Specification and status are kept as they were written, so that only the
/// reader of a kind decodes them.
#[derive(Clone, Debug)]
pub struct Object {
    /// Name within its kind.
    pub name: Name,
    /// Revision of the last change.
    pub revision: Version,
    /// What the object asks for, as JSON.
    pub spec: Box<RawValue>,
    /// What has become of it, as JSON.
    pub status: Box<RawValue>,
}

/// Change of one object of a watched kind.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object was created or changed.
    Put(Object),
    /// The object was removed.
    Removed(Name),
}

/// Result of reading one object.
#[derive(Clone, Debug)]
pub enum Read {
    /// The object.
    Found(Object),
    /// No object has this name.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// Result of listing a kind.
#[derive(Clone, Debug)]
pub enum Listed {
    /// All objects, and the revision of the store that they belong to.
    All {
        /// Objects in order of name.
        objects: Vec<Object>,
        /// Revision from which a watch goes on.
        revision: Version,
    },
    /// The store did not answer.
    Unavailable,
}

/// Result of a watch.
#[derive(Clone, Debug)]
pub enum Watched {
    /// What has changed; nothing when the wait has passed.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// Revision from which the next watch goes on.
        revision: Version,
    },
    /// The history from the given revision on is gone; list the kind again.
    HistoryLost,
    /// The store did not answer.
    Unavailable,
}

/// Result of creating an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Created {
    /// The object was created.
    Done,
    /// An object of this name exists.
    Exists,
    /// Nothing was done.
    Unavailable,
    /// The object may have been created, or may be created later.
    Unknown,
    /// The store holds no value of this size.
    TooLarge,
}

/// Result of changing or removing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Updated {
    /// The change was made.
    Done,
    /// No object has this name.
    Missing,
    /// The object has another revision.
    Conflict,
    /// Nothing was done.
    Unavailable,
    /// The change may have been made, or may be made later.
    Unknown,
}

/// Calls of the platform's store that work on whole kinds.
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Lists all objects of a kind as they are now.
    fn list(&self, kind: &'static str) -> BoxFuture<Listed>;

    /// Reads one object as it is now.
    fn get(&self, kind: &'static str, name: &Name) -> BoxFuture<Read>;

    /// Waits for changes of a kind after a revision, at most for `wait`.
    fn watch(&self, kind: &'static str, after: Version, wait: Duration) -> BoxFuture<Watched>;

    /// Creates an object. `spec` is JSON.
    fn create(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<Created>;

    /// Replaces the specification of an object. `spec` is JSON.
    fn replace(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<Updated>;

    /// Replaces the status of an object. `status` is JSON.
    fn set_status(&self, kind: &'static str, name: &Name, status: String) -> BoxFuture<Updated>;

    /// Removes an object.
    fn remove(&self, kind: &'static str, name: &Name) -> BoxFuture<Updated>;
}
