//! Objects in memory, for tests.

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
use crate::objects::Created;
use crate::objects::Listed;
use crate::objects::Object;
use crate::objects::ObjectStore;
use crate::objects::Read;
use crate::objects::Updated;
use crate::objects::Watched;
use crate::store::BoxFuture;

/// Largest value that the store holds.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Holds objects in memory and injects faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    inner: Arc<Inner>,
    /// Whether the calls through this handle and its clones are refused.
    turned_away: Arc<AtomicBool>,
    /// Object that lists and watches through this handle leave out.
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
    silent_watches: bool,
    calls: u64,
}

impl MemoryObjects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle whose calls can be refused apart from those of other handles.
    #[must_use]
    pub fn for_one_process(&self) -> Self {
        Self { inner: Arc::clone(&self.inner), turned_away: Arc::default(), hidden: None }
    }

    /// Leaves an object out of what this handle and its later clones list and watch.
    #[must_use]
    pub fn hiding(mut self, kind: &'static str, name: &str) -> Self {
        self.hidden = Some((kind, Name::from(name)));
        self
    }

    fn shows(&self, kind: &'static str, name: &Name) -> bool {
        self.hidden.as_ref().is_none_or(|hidden| (hidden.0, &hidden.1) != (kind, name))
    }

    /// Makes the store refuse the calls through this handle, or serve them again.
    pub fn turn_away(&self, refused: bool) {
        self.turned_away.store(refused, Ordering::Relaxed);
        self.inner.changed.notify_waiters();
    }

    fn is_refused(&self, state: &State) -> bool {
        state.down || self.turned_away.load(Ordering::Relaxed)
    }

    /// Makes the store refuse all calls, or serve them again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.inner.changed.notify_waiters();
    }

    /// Makes the store lose its replies to the next writes, which take effect.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lose_replies = count;
    }

    /// Makes lists of one kind take this long, and those of all others no time.
    pub fn delay_lists(&self, kind: &'static str, delay: Duration) {
        self.lock().slow_lists = Some((kind, delay));
    }

    /// Makes watches that begin from now on go unanswered for good, as on a connection that went
    /// silent, or be answered again.
    pub fn silence_watches(&self, silent: bool) {
        self.lock().silent_watches = silent;
        self.inner.changed.notify_waiters();
    }

    /// Returns the number of calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes an object as an operator or an endpoint does.
    pub fn put(&self, kind: &'static str, name: &str, spec: &str) {
        let mut state = self.lock();
        let status = state
            .objects
            .get(&(kind, Name::from(name)))
            .map_or_else(null, |object| object.status.clone());
        state.put(kind, &Name::from(name), raw(spec), status);
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
        unavailable: T,
        unknown: T,
        write: impl FnOnce(&mut State) -> T,
    ) -> BoxFuture<T> {
        let mut state = self.lock();
        state.calls += 1;
        if self.is_refused(&state) {
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

impl State {
    fn put(&mut self, kind: &'static str, name: &Name, spec: Box<RawValue>, status: Box<RawValue>) {
        self.revision += 1;
        let revision = Version(self.revision);
        let object = Object { name: Name::clone(name), revision, spec, status };
        self.history.push((self.revision, kind, Change::Put(object.clone())));
        self.objects.insert((kind, Name::clone(name)), object);
    }

    fn changes(&self, kind: &'static str, after: Version) -> Vec<Change> {
        self.history
            .iter()
            .filter(|(revision, other, _)| *revision > after.0 && *other == kind)
            .map(|(_, _, change)| change.clone())
            .collect()
    }
}

impl ObjectStore for MemoryObjects {
    fn list(&self, kind: &'static str) -> BoxFuture<Listed> {
        let mut state = self.lock();
        state.calls += 1;
        let listed = if self.is_refused(&state) {
            Listed::Unavailable
        } else {
            let of_kind = state.objects.iter().filter(|((other, _), _)| *other == kind);
            let shown = of_kind.filter(|((_, name), _)| self.shows(kind, name));
            let objects = shown.map(|(_, object)| object.clone()).collect();
            Listed::All { objects, revision: Version(state.revision) }
        };
        let delay = state.slow_lists.filter(|(slow, _)| *slow == kind).map(|(_, delay)| delay);
        Box::pin(async move {
            if let Some(delay) = delay {
                tokio::time::sleep(delay).await;
            }
            listed
        })
    }

    fn get(&self, kind: &'static str, name: &Name) -> BoxFuture<Read> {
        let mut state = self.lock();
        state.calls += 1;
        let read = if self.is_refused(&state) {
            Read::Unavailable
        } else {
            state
                .objects
                .get(&(kind, Name::clone(name)))
                .map_or(Read::Missing, |object| Read::Found(object.clone()))
        };
        Box::pin(async { read })
    }

    fn watch(&self, kind: &'static str, after: Version, wait: Duration) -> BoxFuture<Watched> {
        let store = self.clone();
        let silent = self.lock().silent_watches;
        Box::pin(async move {
            if silent {
                std::future::pending::<()>().await;
            }
            let changed = async {
                loop {
                    let notified = store.inner.changed.notified();
                    tokio::pin!(notified);
                    notified.as_mut().enable();
                    {
                        let state = store.lock();
                        if store.is_refused(&state)
                            || state.silent_watches
                            || !state.changes(kind, after).is_empty()
                        {
                            return;
                        }
                    }
                    notified.await;
                }
            };
            // The wait may pass without a change, which the state shows.
            let _ = timeout(wait, changed).await;
            let mut state = store.lock();
            state.calls += 1;
            if store.is_refused(&state) {
                return Watched::Unavailable;
            }
            let shown = |change: &Change| match change {
                Change::Put(object) => store.shows(kind, &object.name),
                Change::Removed(name) => store.shows(kind, name),
            };
            let changes = state.changes(kind, after).into_iter().filter(shown).collect();
            Watched::Changes { changes, revision: Version(state.revision) }
        })
    }

    fn create(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<Created> {
        self.write(Created::Unavailable, Created::Unknown, |state| {
            if spec.len() > MAX_VALUE_BYTES {
                return Created::TooLarge;
            }
            if state.objects.contains_key(&(kind, Name::clone(name))) {
                return Created::Exists;
            }
            state.put(kind, name, raw(&spec), null());
            Created::Done
        })
    }

    fn replace(&self, kind: &'static str, name: &Name, spec: String) -> BoxFuture<Updated> {
        self.write(Updated::Unavailable, Updated::Unknown, |state| {
            let Some(object) = state.objects.get(&(kind, Name::clone(name))) else {
                return Updated::Missing;
            };
            let status = object.status.clone();
            state.put(kind, name, raw(&spec), status);
            Updated::Done
        })
    }

    fn set_status(&self, kind: &'static str, name: &Name, status: String) -> BoxFuture<Updated> {
        self.write(Updated::Unavailable, Updated::Unknown, |state| {
            let Some(object) = state.objects.get(&(kind, Name::clone(name))) else {
                return Updated::Missing;
            };
            let spec = object.spec.clone();
            state.put(kind, name, spec, raw(&status));
            Updated::Done
        })
    }

    fn remove(&self, kind: &'static str, name: &Name) -> BoxFuture<Updated> {
        self.write(Updated::Unavailable, Updated::Unknown, |state| {
            if state.objects.remove(&(kind, Name::clone(name))).is_none() {
                return Updated::Missing;
            }
            state.revision += 1;
            let change = Change::Removed(Name::clone(name));
            state.history.push((state.revision, kind, change));
            Updated::Done
        })
    }
}

fn raw(json: &str) -> Box<RawValue> {
    RawValue::from_string(json.to_owned()).unwrap_or_else(|err| {
        debug_assert!(false, "a value of the store is JSON: {err}");
        null()
    })
}

fn null() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}
