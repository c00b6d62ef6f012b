//! The store as its users see it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use serde::Deserialize;
use serde::Serialize;

/// Boxed future of a store call.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send + 'static>>;

/// Role of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an entry.
    Entry,
    /// Runs an endpoint with its agent.
    Agent,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One VM of the platform's list. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: Name,
    /// Role of the process on it.
    pub role: VmRole,
    /// IP address and port for links.
    pub addr: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// State as the platform last saw it.
    pub state: VmState,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchReply {
    /// The object changed.
    Changed {
        /// Its version.
        version: Version,
        /// Its value.
        value: Arc<[u8]>,
    },
    /// Nothing changed within the wait.
    Unchanged,
    /// The watch failed; try again later.
    Unavailable {
        /// Time to wait before the next try.
        retry_after: Duration,
    },
}

/// Runs calls against the platform's object API.
pub trait Store: fmt::Debug + Send + Sync {
    /// Runs one call.
    fn call(&self, op: StoreOp) -> BoxFuture<StoreReply>;

    /// Waits until the object has a version other than `after`, or until `wait` has passed.
    fn watch(&self, key: ObjectKey, after: Version, wait: Duration) -> BoxFuture<WatchReply>;

    /// Reads the list of VMs; `None` when it cannot be had.
    fn vms(&self) -> BoxFuture<Option<Vec<VmEntry>>>;
}
