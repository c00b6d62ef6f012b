//! Object store interface with revisions, and with lists and watches of all objects of a kind.

use std::fmt;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use serde_json::value::RawValue;

use crate::store::BoxFuture;

/// Object of the store. Specification and status are raw JSON, which only the users of a kind
/// decode.
#[derive(Clone, Debug)]
pub struct Object {
    /// Name within its kind.
    pub name: Name,
    /// Revision of the last change.
    pub revision: Version,
    /// Specification (desired state) as JSON.
    pub spec: Box<RawValue>,
    /// Status (observed state) as JSON.
    pub status: Box<RawValue>,
}

/// Change of one object of a watched kind.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object was created or updated.
    Put(Object),
    /// The object was removed.
    Removed(Name),
}

/// Result of [`ObjectStore::get`].
#[derive(Clone, Debug)]
pub enum GetResult {
    /// The object was found.
    Found(Object),
    /// No object has this name.
    Missing,
    /// The store is unavailable.
    Unavailable,
}

/// Result of [`ObjectStore::list`].
#[derive(Clone, Debug)]
pub enum ListResult {
    /// All objects of the kind, and a revision from which a watch continues without a gap.
    All {
        /// Objects, sorted by name.
        objects: Vec<Object>,
        /// Revision to pass to the first watch.
        revision: Version,
    },
    /// The store is unavailable.
    Unavailable,
}

/// Result of [`ObjectStore::watch`].
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Changes after the given revision; empty if the wait time elapsed without any.
    Changes {
        /// Changes, in the order in which they were made.
        changes: Vec<Change>,
        /// Revision after which the next watch continues.
        revision: Version,
    },
    /// The store no longer has the changes after the given revision. List the kind again.
    HistoryLost,
    /// The store is unavailable.
    Unavailable,
}

/// Result of [`ObjectStore::create`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreateResult {
    /// The object was created.
    Done,
    /// An object of this name already exists.
    Exists,
    /// The store is unavailable, and the call had no effect.
    Unavailable,
    /// The object may have been created, or may be created later.
    Unknown,
    /// The specification exceeds the size limit of the store.
    TooLarge,
}

/// Result of updating or removing an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// The change was applied.
    Done,
    /// No object has this name.
    Missing,
    /// The change conflicts with the current revision of the object.
    Conflict,
    /// The store is unavailable, and the call had no effect.
    Unavailable,
    /// The change may have been applied, or may be applied later.
    Unknown,
}

/// Result of [`ObjectStore::replace_at`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalResult {
    /// The specification was replaced.
    Done {
        /// Revision after the change.
        revision: Version,
    },
    /// The object has another revision or does not exist. Nothing was changed.
    Conflict,
    /// The store is unavailable, and the call had no effect.
    Unavailable,
    /// The change may have been applied, or may be applied later.
    Unknown,
    /// The specification exceeds the size limit of the store.
    TooLarge,
}

/// Operations on the objects of the platform's store.
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Lists all current objects of a kind.
    fn list(&self, kind: &'static str) -> BoxFuture<ListResult>;

    /// Reads the current state of an object.
    fn get(&self, kind: &'static str, name: &Name) -> BoxFuture<GetResult>;

    /// Waits up to `wait` for changes of a kind after a revision.
    fn watch(&self, kind: &'static str, after: Version, wait: Duration) -> BoxFuture<WatchResult>;

    /// Creates an object. `spec` must be JSON.
    fn create(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<CreateResult>;

    /// Replaces the specification of an object. `spec` must be JSON.
    fn replace(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<UpdateResult>;

    /// Replaces the specification of an object if it still has this revision. `spec` must be JSON.
    fn replace_at(
        &self,
        kind: &'static str,
        name: &Name,
        revision: Version,
        spec: String,
    ) -> BoxFuture<ConditionalResult>;

    /// Replaces the status of an object. `status` must be JSON.
    fn set_status(
        &self,
        kind: &'static str,
        name: &Name,
        status: String,
    ) -> BoxFuture<UpdateResult>;

    /// Removes an object.
    fn remove(&self, kind: &'static str, name: &Name) -> BoxFuture<UpdateResult>;
}
