//! State of the engine and its step loop.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::Instant;

use super::batch::Batch;
use super::batch::Part;
use super::batch::Sequence;
use super::cache::PrefixCache;
use super::cache_events::CacheChange;
use super::cache_events::CacheEvents;
use super::chat::Chat;
use super::config::EngineConfig;
use super::faults::EngineFaults;
use super::orders::Loaded;
use crate::http::Control;
use crate::lagged::Lagged;
use crate::runs::Runs;

/// Longest step, so that no setting can overflow the clock.
const STEP_LIMIT: Duration = Duration::from_secs(3_600);

/// Load as `GET /load` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) prefill_tokens: u64,
    pub(crate) cached_prefixes: usize,
    pub(crate) tokens_total: u64,
}

/// Engine, shared by its connections and its step loop.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) cfg: EngineConfig,
    pub(crate) faults: watch::Sender<EngineFaults>,
    pub(crate) runs: Runs,
    control: Control,
    arrived: Notify,
    state: Mutex<State>,
}

/// State behind the lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_events: CacheEvents,
    pub(crate) loaded: Loaded,
    pub(crate) load: Lagged<Load>,
    pub(crate) crashes: u64,
}

impl Core {
    /// Creates an idle engine.
    pub(crate) fn new(cfg: EngineConfig, control: Control) -> Self {
        let state = State {
            batch: Batch::default(),
            cache: PrefixCache::new(cfg.cache_entries),
            cache_events: CacheEvents::new(cfg.seed, cfg.cache_event_lag, cfg.cache_event_loss),
            loaded: Loaded::new(&cfg.models, cfg.check_fence),
            load: Lagged::new(Instant::now(), Load::default()),
            crashes: 0,
        };
        Self {
            faults: watch::Sender::new(cfg.faults.clone()),
            runs: Runs::default(),
            control,
            arrived: Notify::new(),
            state: Mutex::new(state),
            cfg,
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request and returns the parts of its answer; `None` if the attempt is inside.
    pub(crate) fn admit(
        &self,
        chat: &Chat,
        attempt: Option<&str>,
        run_key: &str,
    ) -> Option<UnboundedReceiver<Part>> {
        let mut state = self.lock();
        if attempt.is_some_and(|attempt| state.batch.contains(attempt)) {
            return None;
        }
        let hit = state.touch_prefix(&chat.prefix);
        let (tx, rx) = mpsc::unbounded_channel();
        state.batch.admit(Sequence {
            attempt: attempt.map(str::to_owned),
            record: self.runs.start(run_key),
            prefill_left: chat.prefill_tokens(hit),
            next: chat.resume_from,
            end: chat.max_tokens,
            tx,
        });
        state.record_load(&self.cfg);
        drop(state);
        self.arrived.notify_one();
        Some(rx)
    }

    /// Kills the endpoint: its memory is lost, its connections are dropped.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        // The connections go first. Otherwise the streams would come to an orderly end.
        self.control.crash(restart_after);
        let mut state = self.lock();
        state.crashes += 1;
        state.batch.crash();
        state.cache = PrefixCache::new(self.cfg.cache_entries);
        state.loaded = Loaded::new(&self.cfg.models, self.cfg.check_fence);
        state.record_load(&self.cfg);
    }

    /// Accepts connections again after a crash.
    pub(crate) fn restart(&self) {
        self.control.restart();
    }

    /// Waits while the endpoint is frozen.
    pub(crate) async fn unfrozen(&self) {
        let mut faults = self.faults.subscribe();
        // An error means that the sender is gone, which can't happen while `self` exists.
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    /// Runs steps until the task is aborted.
    pub(crate) async fn run_steps(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            while self.lock().batch.len() == 0 {
                self.arrived.notified().await;
                due = Instant::now();
            }
            self.unfrozen().await;
            let duration = self.begin_step();
            due = next_due(due, Instant::now(), duration);
            tokio::time::sleep_until(due).await;
            self.unfrozen().await;
            self.end_step();
        }
    }

    fn begin_step(&self) -> Duration {
        let duration = self.lock().batch.begin_step(&self.cfg);
        let seconds = duration.as_secs_f64() * self.faults.borrow().slow_factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(STEP_LIMIT).min(STEP_LIMIT)
    }

    fn end_step(&self) {
        let mut state = self.lock();
        state.batch.end_step();
        state.record_load(&self.cfg);
    }
}

impl State {
    /// Uses a prefix and returns whether it was cached.
    pub(crate) fn touch_prefix(&mut self, prefix: &str) -> bool {
        let now = Instant::now();
        let change = self.cache.touch(prefix);
        if let Some(evicted) = &change.evicted {
            self.cache_events.record(now, CacheChange::Evicted, evicted);
        }
        if !change.hit && self.cache.contains(prefix) {
            self.cache_events.record(now, CacheChange::Stored, prefix);
        }
        change.hit
    }

    fn record_load(&mut self, cfg: &EngineConfig) {
        let load = Load {
            running: self.batch.len(),
            prefill_tokens: self.batch.prefill_left(),
            cached_prefixes: self.cache.len(),
            tokens_total: self.batch.tokens_total(),
        };
        self.load.record(Instant::now(), cfg.load_lag, load);
    }
}

/// Returns the end of the next step. Steps follow each other without the error of the timer; a
/// loop that lags by more than a step starts anew, so that it does not run steps in a burst.
fn next_due(last: Instant, now: Instant, duration: Duration) -> Instant {
    let start = if last + duration < now { now } else { last };
    start + duration
}
