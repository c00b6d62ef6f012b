//! State of the platform stand-in.

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

/// Decision whether a call is served, after rate limits and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Serve { lose_reply: bool },
    Refuse(Refusal),
}

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) max_value_bytes: usize,
    pub(crate) faults: watch::Sender<PlatformFaults>,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) objects: Objects,
    pub(crate) counts: CallCounts,
    reads: RateLimit,
    writes: RateLimit,
    vms: Lagged<Vec<Vm>>,
    /// Notifies the watches of a key. Entries are never removed, because few keys are watched.
    notifiers: HashMap<ObjectKey, Arc<Notify>>,
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
            notifiers: HashMap::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
        };
        Self {
            max_value_bytes: cfg.max_value_bytes,
            faults: watch::Sender::new(cfg.faults),
            state: Mutex::new(state),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and decides whether it is served.
    pub(crate) fn admit(&self, kind: &str, op: Op) -> Decision {
        let faults = self.faults.borrow().clone();
        let mut state = self.lock();
        state.counts.add(kind, op);
        let decision = state.decide(op, &faults);
        if let Decision::Refuse(refusal) = decision {
            state.counts.add_refused(refusal);
        }
        decision
    }

    /// Adds or replaces a VM.
    pub(crate) fn set_vm(&self, vm: Vm) {
        self.update_vms(|vms| {
            vms.retain(|other| other.name != vm.name);
            vms.push(vm);
        });
    }

    /// Removes a VM and returns `true` if it was in the list.
    pub(crate) fn remove_vm(&self, name: &str) -> bool {
        self.update_vms(|vms| {
            let before = vms.len();
            vms.retain(|vm| &*vm.name != name);
            vms.len() < before
        })
    }

    /// Returns the list of VMs with the configured lag.
    pub(crate) fn vms(&self) -> Vec<Vm> {
        let lag = self.vm_lag();
        self.lock().vms.read(Instant::now(), lag).1
    }

    fn update_vms<T>(&self, change: impl FnOnce(&mut Vec<Vm>) -> T) -> T {
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
    fn decide(&mut self, op: Op, faults: &PlatformFaults) -> Decision {
        if faults.outage {
            return Decision::Refuse(Refusal::Outage);
        }
        let limit = if op.is_write() { &mut self.writes } else { &mut self.reads };
        if !limit.try_take(Instant::now()) {
            return Decision::Refuse(Refusal::RateLimit);
        }
        if self.rng.random_bool(faults.refuse) {
            return Decision::Refuse(Refusal::Fault);
        }
        Decision::Serve { lose_reply: self.rng.random_bool(faults.lost_reply) }
    }

    /// Returns the notifier for changes of a key.
    pub(crate) fn notifier(&mut self, key: &ObjectKey) -> Arc<Notify> {
        Arc::clone(self.notifiers.entry(key.clone()).or_default())
    }

    /// Notifies the watches of a key after a change.
    pub(crate) fn notify_watches(&self, key: &ObjectKey) {
        if let Some(notifier) = self.notifiers.get(key) {
            notifier.notify_waiters();
        }
    }
}
