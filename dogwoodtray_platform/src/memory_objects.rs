//! In-memory object store for tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use serde_json::value::RawValue;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::objects::Change;
use crate::objects::ConditionalResult;
use crate::objects::CreateResult;
use crate::objects::GetResult;
use crate::objects::ListResult;
use crate::objects::Object;
use crate::objects::ObjectStore;
use crate::objects::UpdateResult;
use crate::objects::WatchResult;
use crate::store::BoxFuture;

/// Maximum size of a specification.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// In-memory [`ObjectStore`] with fault injection.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    inner: Arc<Inner>,
    /// Whether calls through this handle and its clones are rejected.
    rejects_calls: Arc<AtomicBool>,
    /// Object that lists and watches through this handle omit.
    hidden: Option<(&'static str, Name)>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(&'static str, Name), Object>,
    history: Vec<(u64, &'static str, Change)>,
    revision: u64,
    down: bool,
    lose_replies: u32,
    slow_lists: Option<(&'static str, Duration)>,
    stalled_watches: bool,
    calls: u64,
    calls_by_kind: BTreeMap<&'static str, u64>,
    /// Number of watches that wait, by kind.
    open_watches: BTreeMap<&'static str, usize>,
}

impl MemoryObjects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle to the same objects whose calls can be rejected separately from those of
    /// other handles.
    #[must_use]
    pub fn separate_handle(&self) -> Self {
        Self { inner: Arc::clone(&self.inner), rejects_calls: Arc::default(), hidden: None }
    }

    /// Omits an object from the lists and watches of this handle and its later clones.
    #[must_use]
    pub fn with_hidden_object(mut self, kind: &'static str, name: &str) -> Self {
        self.hidden = Some((kind, Name::from(name)));
        self
    }

    fn is_visible(&self, kind: &'static str, name: &Name) -> bool {
        self.hidden.as_ref().is_none_or(|hidden| (hidden.0, &hidden.1) != (kind, name))
    }

    /// Sets whether the store rejects calls through this handle and its clones.
    pub fn set_rejecting(&self, reject: bool) {
        self.rejects_calls.store(reject, Ordering::Relaxed);
        self.inner.changed.notify_waiters();
    }

    fn rejects(&self, state: &State) -> bool {
        state.down || self.rejects_calls.load(Ordering::Relaxed)
    }

    /// Sets whether the store rejects all calls.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.inner.changed.notify_waiters();
    }

    /// Loses the replies to the next `count` writes, which still take effect.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lose_replies = count;
    }

    /// Delays the replies to lists of one kind. Only one kind has a delay at a time.
    pub fn delay_lists(&self, kind: &'static str, delay: Duration) {
        self.lock().slow_lists = Some((kind, delay));
    }

    /// Sets whether new watches never complete, as on a connection whose peer became unreachable
    /// without closing it.
    pub fn stall_watches(&self, stalled: bool) {
        self.lock().stalled_watches = stalled;
        self.inner.changed.notify_waiters();
    }

    /// Returns the number of calls made so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of calls for objects of a kind made so far.
    #[must_use]
    pub fn calls_of(&self, kind: &str) -> u64 {
        self.lock().calls_by_kind.get(kind).copied().unwrap_or(0)
    }

    /// Returns the number of watches of a kind that wait for a change.
    #[must_use]
    pub fn open_watches(&self, kind: &str) -> usize {
        self.lock().open_watches.get(kind).copied().unwrap_or(0)
    }

    /// Creates an object or replaces its specification, as operators and endpoints do.
    pub fn put(&self, kind: &'static str, name: &str, spec: &str) {
        let mut state = self.lock();
        let status = state
            .objects
            .get(&(kind, Name::from(name)))
            .map_or_else(null_json, |object| object.status.clone());
        state.put(kind, &Name::from(name), raw_json(spec), status);
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Returns the specification of an object.
    #[must_use]
    pub fn spec(&self, kind: &'static str, name: &str) -> Option<String> {
        let state = self.lock();
        state.objects.get(&(kind, Name::from(name))).map(|object| object.spec.get().to_owned())
    }

    /// Returns the status of an object.
    #[must_use]
    pub fn status(&self, kind: &'static str, name: &str) -> Option<String> {
        let state = self.lock();
        state.objects.get(&(kind, Name::from(name))).map(|object| object.status.get().to_owned())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write<T: Send + 'static>(
        &self,
        kind: &'static str,
        unavailable: T,
        unknown: T,
        write: impl FnOnce(&mut State) -> T,
    ) -> BoxFuture<T> {
        let mut state = self.lock();
        state.count_call(kind);
        if self.rejects(&state) {
            return Box::pin(async { unavailable });
        }
        let reply = write(&mut state);
        let lost = state.lose_replies > 0;
        state.lose_replies = state.lose_replies.saturating_sub(1);
        drop(state);
        self.inner.changed.notify_waiters();
        Box::pin(async move { if lost { unknown } else { reply } })
    }
}

/// Watch that waits for a change.
struct OpenWatch {
    store: MemoryObjects,
    kind: &'static str,
}

impl OpenWatch {
    fn new(store: &MemoryObjects, kind: &'static str) -> Self {
        *store.lock().open_watches.entry(kind).or_default() += 1;
        Self { store: store.clone(), kind }
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        *self.store.lock().open_watches.entry(self.kind).or_default() -= 1;
    }
}

impl State {
    fn count_call(&mut self, kind: &'static str) {
        self.calls += 1;
        *self.calls_by_kind.entry(kind).or_default() += 1;
    }

    fn put(&mut self, kind: &'static str, name: &Name, spec: Box<RawValue>, status: Box<RawValue>) {
        self.revision += 1;
        let revision = Version(self.revision);
        let object = Object { name: Name::clone(name), revision, spec, status };
        self.history.push((self.revision, kind, Change::Put(object.clone())));
        self.objects.insert((kind, Name::clone(name)), object);
    }

    fn changes_after(&self, kind: &'static str, after: Version) -> Vec<Change> {
        self.history
            .iter()
            .filter(|(revision, object_kind, _)| *revision > after.0 && *object_kind == kind)
            .map(|(_, _, change)| change.clone())
            .collect()
    }
}

impl ObjectStore for MemoryObjects {
    fn list(&self, kind: &'static str) -> BoxFuture<ListResult> {
        let mut state = self.lock();
        state.count_call(kind);
        let listed = if self.rejects(&state) {
            ListResult::Unavailable
        } else {
            let of_kind = state.objects.iter().filter(|((object_kind, _), _)| *object_kind == kind);
            let visible = of_kind.filter(|((_, name), _)| self.is_visible(kind, name));
            let objects = visible.map(|(_, object)| object.clone()).collect();
            ListResult::All { objects, revision: Version(state.revision) }
        };
        let delay = state.slow_lists.filter(|(slow, _)| *slow == kind).map(|(_, delay)| delay);
        Box::pin(async move {
            if let Some(delay) = delay {
                tokio::time::sleep(delay).await;
            }
            listed
        })
    }

    fn get(&self, kind: &'static str, name: &Name) -> BoxFuture<GetResult> {
        let mut state = self.lock();
        state.count_call(kind);
        let read = if self.rejects(&state) {
            GetResult::Unavailable
        } else {
            state
                .objects
                .get(&(kind, Name::clone(name)))
                .map_or(GetResult::Missing, |object| GetResult::Found(object.clone()))
        };
        Box::pin(async { read })
    }

    fn watch(&self, kind: &'static str, after: Version, wait: Duration) -> BoxFuture<WatchResult> {
        let store = self.clone();
        let stalled = self.lock().stalled_watches;
        Box::pin(async move {
            let open_watch = OpenWatch::new(&store, kind);
            if stalled {
                std::future::pending::<()>().await;
            }
            let changed = async {
                loop {
                    let notified = store.inner.changed.notified();
                    tokio::pin!(notified);
                    notified.as_mut().enable();
                    {
                        let state = store.lock();
                        if store.rejects(&state)
                            || state.stalled_watches
                            || !state.changes_after(kind, after).is_empty()
                        {
                            return;
                        }
                    }
                    notified.await;
                }
            };
            // If the wait time elapses, the state below has no changes.
            let _ = timeout(wait, changed).await;
            drop(open_watch);
            let mut state = store.lock();
            state.count_call(kind);
            if store.rejects(&state) {
                return WatchResult::Unavailable;
            }
            let visible = |change: &Change| match change {
                Change::Put(object) => store.is_visible(kind, &object.name),
                Change::Removed(name) => store.is_visible(kind, name),
            };
            let changes = state.changes_after(kind, after).into_iter().filter(visible).collect();
            WatchResult::Changes { changes, revision: Version(state.revision) }
        })
    }

    fn create(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<CreateResult> {
        self.write(kind, CreateResult::Unavailable, CreateResult::Unknown, |state| {
            if spec.len() > MAX_VALUE_BYTES {
                return CreateResult::TooLarge;
            }
            if state.objects.contains_key(&(kind, Name::clone(name))) {
                return CreateResult::Exists;
            }
            state.put(kind, name, raw_json(&spec), null_json());
            CreateResult::Done
        })
    }

    fn replace(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<UpdateResult> {
        self.write(kind, UpdateResult::Unavailable, UpdateResult::Unknown, |state| {
            let Some(object) = state.objects.get(&(kind, Name::clone(name))) else {
                return UpdateResult::Missing;
            };
            let status = object.status.clone();
            state.put(kind, name, raw_json(&spec), status);
            UpdateResult::Done
        })
    }

    fn replace_at(
        &self,
        kind: &'static str,
        name: &Name,
        revision: Version,
        spec: String,
    ) -> BoxFuture<ConditionalResult> {
        self.write(kind, ConditionalResult::Unavailable, ConditionalResult::Unknown, |state| {
            if spec.len() > MAX_VALUE_BYTES {
                return ConditionalResult::TooLarge;
            }
            match state.objects.get(&(kind, Name::clone(name))) {
                Some(object) if object.revision == revision => {
                    let status = object.status.clone();
                    state.put(kind, name, raw_json(&spec), status);
                    ConditionalResult::Done { revision: Version(state.revision) }
                }
                _ => ConditionalResult::Conflict,
            }
        })
    }

    fn set_status(
        &self,
        kind: &'static str,
        name: &Name,
        status: String,
    ) -> BoxFuture<UpdateResult> {
        self.write(kind, UpdateResult::Unavailable, UpdateResult::Unknown, |state| {
            let Some(object) = state.objects.get(&(kind, Name::clone(name))) else {
                return UpdateResult::Missing;
            };
            let spec = object.spec.clone();
            state.put(kind, name, spec, raw_json(&status));
            UpdateResult::Done
        })
    }

    fn remove(&self, kind: &'static str, name: &Name) -> BoxFuture<UpdateResult> {
        self.write(kind, UpdateResult::Unavailable, UpdateResult::Unknown, |state| {
            if state.objects.remove(&(kind, Name::clone(name))).is_none() {
                return UpdateResult::Missing;
            }
            state.revision += 1;
            let change = Change::Removed(Name::clone(name));
            state.history.push((state.revision, kind, change));
            UpdateResult::Done
        })
    }
}

fn raw_json(json: &str) -> Box<RawValue> {
    RawValue::from_string(json.to_owned()).unwrap_or_else(|err| {
        debug_assert!(false, "a value of the store is not valid JSON: {err}");
        null_json()
    })
}

fn null_json() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}
