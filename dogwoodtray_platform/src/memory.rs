//! In-memory store for tests and for tools that run without a platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;

use crate::store::BoxFuture;
use crate::store::Store;
use crate::store::VmEntry;
use crate::store::WatchReply;

const RETRY_AFTER: Duration = Duration::from_millis(50);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fault to inject into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryFault {
    /// The call is rejected and has no effect.
    Refuse,
    /// The call takes effect, but its reply is lost.
    LoseReply,
    /// The call has no effect, and its reply is lost.
    LoseRequest,
}

/// In-memory [`Store`] with fault injection.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<ObjectKey, (Version, Arc<[u8]>)>,
    last_version: u64,
    faults: VecDeque<MemoryFault>,
    down: bool,
    calls: u64,
    vms: Vec<VmEntry>,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects a fault into the next call. Several faults apply to successive calls in order.
    pub fn inject(&self, fault: MemoryFault) {
        self.lock().faults.push_back(fault);
    }

    /// Starts or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Returns the number of calls, including watch polls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Performs one operation synchronously.
    pub fn apply(&self, op: &StoreOp) -> StoreReply {
        let mut state = self.lock();
        state.calls += 1;
        if state.down {
            return StoreReply::Unavailable { retry_after: RETRY_AFTER };
        }
        match state.faults.pop_front() {
            None => state.execute(op),
            Some(MemoryFault::Refuse) => StoreReply::Unavailable { retry_after: RETRY_AFTER },
            Some(MemoryFault::LoseRequest) => StoreReply::Ambiguous,
            Some(MemoryFault::LoseReply) => {
                state.execute(op);
                StoreReply::Ambiguous
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn execute(&mut self, op: &StoreOp) -> StoreReply {
        match op {
            StoreOp::Get { key } => match self.objects.get(key) {
                Some((version, value)) => {
                    StoreReply::Found { version: *version, value: Arc::clone(value) }
                }
                None => StoreReply::Missing,
            },
            StoreOp::Put { key, expect, value } => self.put(key, *expect, value),
            StoreOp::Delete { key, expect } => match self.objects.get(key) {
                None => StoreReply::Missing,
                Some((version, _)) if version != expect => StoreReply::Conflict,
                Some(_) => {
                    self.objects.remove(key);
                    StoreReply::Deleted
                }
            },
            StoreOp::List { kind, prefix, after, limit } => {
                let mut names = self
                    .objects
                    .iter()
                    .filter(|(key, _)| key.kind == *kind && key.name.starts_with(&**prefix))
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| key.name > *after))
                    .map(|(key, (version, _))| (Arc::clone(&key.name), *version));
                let entries = names.by_ref().take(*limit as usize).collect();
                StoreReply::Listed { entries, more: names.next().is_some() }
            }
        }
    }

    fn put(&mut self, key: &ObjectKey, expect: Precondition, value: &Arc<[u8]>) -> StoreReply {
        let current = self.objects.get(key).map(|(version, _)| *version);
        let expected = match expect {
            Precondition::Absent => None,
            Precondition::Version(version) => Some(version),
        };
        if current != expected {
            return StoreReply::Conflict;
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        self.objects.insert(key.clone(), (version, Arc::clone(value)));
        StoreReply::Written { version }
    }
}

impl Store for MemoryStore {
    fn call(&self, op: StoreOp) -> BoxFuture<StoreReply> {
        let reply = self.apply(&op);
        Box::pin(async move { reply })
    }

    fn watch(&self, key: ObjectKey, after: Version, wait: Duration) -> BoxFuture<WatchReply> {
        let store = self.clone();
        Box::pin(async move {
            let deadline = tokio::time::Instant::now() + wait;
            loop {
                match store.apply(&StoreOp::Get { key: key.clone() }) {
                    StoreReply::Found { version, value } if version != after => {
                        return WatchReply::Changed { version, value };
                    }
                    StoreReply::Found { .. } | StoreReply::Missing => {}
                    _ => return WatchReply::Unavailable { retry_after: RETRY_AFTER },
                }
                if tokio::time::Instant::now() >= deadline {
                    return WatchReply::Unchanged;
                }
                tokio::time::sleep(WATCH_POLL_INTERVAL).await;
            }
        })
    }

    fn vms(&self) -> BoxFuture<Option<Vec<VmEntry>>> {
        let state = self.lock();
        let vms = (!state.down).then(|| state.vms.clone());
        Box::pin(async move { vms })
    }
}
