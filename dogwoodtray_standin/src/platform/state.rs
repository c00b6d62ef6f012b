//! State of the stand-in, shared by its connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodtray_coord::ObjectKey;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use super::config::PlatformConfig;
use super::config::PlatformFaults;
use super::counts::CallCounts;
use super::counts::Op;
use super::counts::RateLimit;
use super::counts::Refusal;
use super::objects::Objects;
use super::vm::Vm;
use crate::lagged::Lagged;

/// What the fault rules decided for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Serve { lose_reply: bool },
    Refuse(Refusal),
}

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) value_limit: usize,
    pub(crate) faults: watch::Sender<PlatformFaults>,
    state: Mutex<State>,
}

/// State behind the lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) objects: Objects,
    pub(crate) counts: CallCounts,
    reads: RateLimit,
    writes: RateLimit,
    vms: Lagged<Vec<Vm>>,
    /// Wakes the watches of a key. Entries stay, because few keys are watched.
    wakers: HashMap<ObjectKey, Arc<Notify>>,
    rng: StdRng,
}

impl Shared {
    /// Creates the state from the settings.
    pub(crate) fn new(cfg: PlatformConfig) -> Self {
        let now = Instant::now();
        let state = State {
            objects: Objects::default(),
            counts: CallCounts::default(),
            reads: RateLimit::new(now, cfg.reads_per_second),
            writes: RateLimit::new(now, cfg.writes_per_second),
            vms: Lagged::new(now, cfg.vms),
            wakers: HashMap::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
        };
        Self {
            value_limit: cfg.value_limit,
            faults: watch::Sender::new(cfg.faults),
            state: Mutex::new(state),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and decides whether it is served.
    pub(crate) fn admit(&self, kind: &str, op: Op) -> Verdict {
        let faults = self.faults.borrow().clone();
        let mut state = self.lock();
        state.counts.add(kind, op);
        let verdict = state.judge(op, &faults);
        if let Verdict::Refuse(refusal) = verdict {
            state.counts.add_refused(refusal);
        }
        verdict
    }

    /// Adds or replaces a VM.
    pub(crate) fn set_vm(&self, vm: Vm) {
        self.change_vms(|vms| {
            vms.retain(|other| other.name != vm.name);
            vms.push(vm);
        });
    }

    /// Removes a VM; returns whether it was there.
    pub(crate) fn remove_vm(&self, name: &str) -> bool {
        self.change_vms(|vms| {
            let before = vms.len();
            vms.retain(|vm| &*vm.name != name);
            vms.len() < before
        })
    }

    /// Returns the list of VMs as it was some time ago.
    pub(crate) fn vms(&self) -> Vec<Vm> {
        let lag = self.vm_lag();
        self.lock().vms.read(Instant::now(), lag).1
    }

    fn change_vms<T>(&self, change: impl FnOnce(&mut Vec<Vm>) -> T) -> T {
        let lag = self.vm_lag();
        let mut state = self.lock();
        let mut vms = state.vms.latest().clone();
        let result = change(&mut vms);
        state.vms.record(Instant::now(), lag, vms);
        result
    }

    fn vm_lag(&self) -> Duration {
        Duration::from_millis(self.faults.borrow().vm_lag_ms)
    }
}

impl State {
    fn judge(&mut self, op: Op, faults: &PlatformFaults) -> Verdict {
        if faults.outage {
            return Verdict::Refuse(Refusal::Outage);
        }
        let limit = if op.is_write() { &mut self.writes } else { &mut self.reads };
        if !limit.take(Instant::now()) {
            return Verdict::Refuse(Refusal::RateLimit);
        }
        if self.rng.random_bool(faults.refuse) {
            return Verdict::Refuse(Refusal::Fault);
        }
        Verdict::Serve { lose_reply: self.rng.random_bool(faults.lost_reply) }
    }

    /// Returns what wakes the watches of a key.
    pub(crate) fn waker(&mut self, key: &ObjectKey) -> Arc<Notify> {
        Arc::clone(self.wakers.entry(key.clone()).or_default())
    }

    /// Wakes the watches of a key after a change.
    pub(crate) fn wake(&self, key: &ObjectKey) {
        if let Some(waker) = self.wakers.get(key) {
            waker.notify_waiters();
        }
    }
}
