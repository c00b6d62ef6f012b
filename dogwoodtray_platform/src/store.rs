//! Versioned store interface and the platform's list of VMs.

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

/// VM in the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: Name,
    /// Role of the process on it.
    pub role: VmRole,
    /// IP address and port for links.
    pub addr: Name,
    /// Data centre in which the VM is located.
    pub data_centre: Name,
    /// State last observed by the platform.
    pub state: VmState,
}

/// Result of [`Store::watch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchReply {
    /// The object changed.
    Changed {
        /// New version of the object.
        version: Version,
        /// New value of the object.
        value: Arc<[u8]>,
    },
    /// The object did not change within the wait time.
    Unchanged,
    /// The watch failed and can be retried later.
    Unavailable {
        /// Time to wait before the next attempt.
        retry_after: Duration,
    },
}

/// Client of the platform's object API.
pub trait Store: fmt::Debug + Send + Sync {
    /// Performs one operation.
    fn call(&self, op: StoreOp) -> BoxFuture<StoreReply>;

    /// Waits up to `wait` until the version of the object differs from `after`.
    fn watch(&self, key: ObjectKey, after: Version, wait: Duration) -> BoxFuture<WatchReply>;

    /// Reads the list of VMs. Returns `None` if it is unavailable.
    fn vms(&self) -> BoxFuture<Option<Vec<VmEntry>>>;
}
