//! Shared state of the engine and its step loop.

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
use super::batch::Sequence;
use super::batch::SequenceEvent;
use super::cache::PrefixCache;
use super::cache_events::CacheChange;
use super::cache_events::CacheEventLog;
use super::chat::ChatRequest;
use super::config::EngineConfig;
use super::faults::EngineFaults;
use super::orders::Loaded;
use crate::http::Control;
use crate::lagged::Lagged;
use crate::runs::RunRecords;

/// Upper bound of the duration of a step, so that no setting can overflow the clock.
const MAX_STEP_DURATION: Duration = Duration::from_secs(3_600);

/// Load of the engine, as `GET /load` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) prefill_tokens: u64,
    pub(crate) cached_prefixes: usize,
    pub(crate) tokens_total: u64,
}

/// Engine state shared by the connections and the step loop.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EngineConfig,
    pub(crate) faults: watch::Sender<EngineFaults>,
    pub(crate) runs: RunRecords,
    control: Control,
    sequence_admitted: Notify,
    state: Mutex<State>,
}

/// State protected by the mutex.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_events: CacheEventLog,
    pub(crate) loaded: Loaded,
    pub(crate) load: Lagged<Load>,
    pub(crate) crashes: u64,
}

impl Shared {
    /// Creates an idle engine.
    pub(crate) fn new(cfg: EngineConfig, control: Control) -> Self {
        let state = State {
            batch: Batch::default(),
            cache: PrefixCache::new(cfg.cache_entries),
            cache_events: CacheEventLog::new(cfg.seed, cfg.cache_event_lag, cfg.cache_event_loss),
            loaded: Loaded::new(&cfg.models, cfg.check_fence),
            load: Lagged::new(Instant::now(), Load::default()),
            crashes: 0,
        };
        Self {
            faults: watch::Sender::new(cfg.faults.clone()),
            runs: RunRecords::default(),
            control,
            sequence_admitted: Notify::new(),
            state: Mutex::new(state),
            cfg,
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the batch and returns the receiver of the events of its sequence, or
    /// `None` if the attempt is already running.
    pub(crate) fn admit(
        &self,
        chat: &ChatRequest,
        attempt: Option<&str>,
        run_key: &str,
    ) -> Option<UnboundedReceiver<SequenceEvent>> {
        let mut state = self.lock();
        if attempt.is_some_and(|attempt| state.batch.contains(attempt)) {
            return None;
        }
        let cache_hit = state.touch_prefix(&chat.prefix);
        let (tx, rx) = mpsc::unbounded_channel();
        state.batch.admit(Sequence {
            attempt: attempt.map(str::to_owned),
            record: self.runs.start(run_key),
            prefill_remaining: chat.prefill_tokens(cache_hit),
            next_token: chat.resume_from,
            end_token: chat.max_tokens,
            tx,
        });
        state.record_load(&self.cfg);
        drop(state);
        self.sequence_admitted.notify_one();
        Some(rx)
    }

    /// Crashes the endpoint: drops its connections and clears its batch, cache and loaded models.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        // Drop the connections first; otherwise the streams would end in an orderly way.
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
    pub(crate) async fn wait_until_unfrozen(&self) {
        let mut faults = self.faults.subscribe();
        // This fails only if the sender was dropped, but `self` owns it.
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    /// Runs the steps of the engine until the task is aborted.
    pub(crate) async fn run_steps(self: Arc<Self>) {
        let mut step_end = Instant::now();
        loop {
            while self.lock().batch.len() == 0 {
                self.sequence_admitted.notified().await;
                step_end = Instant::now();
            }
            self.wait_until_unfrozen().await;
            let duration = self.begin_step();
            step_end = next_step_end(step_end, Instant::now(), duration);
            tokio::time::sleep_until(step_end).await;
            self.wait_until_unfrozen().await;
            self.end_step();
        }
    }

    fn begin_step(&self) -> Duration {
        let duration = self.lock().batch.begin_step(&self.cfg);
        let seconds = duration.as_secs_f64() * self.faults.borrow().slow_factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_STEP_DURATION).min(MAX_STEP_DURATION)
    }

    fn end_step(&self) {
        let mut state = self.lock();
        state.batch.end_step();
        state.record_load(&self.cfg);
    }
}

impl State {
    /// Marks a prefix as used and returns whether it was cached.
    pub(crate) fn touch_prefix(&mut self, prefix: &str) -> bool {
        let now = Instant::now();
        let access = self.cache.touch(prefix);
        if let Some(evicted) = &access.evicted {
            self.cache_events.record(now, CacheChange::Evicted, evicted);
        }
        if !access.hit && self.cache.contains(prefix) {
            self.cache_events.record(now, CacheChange::Stored, prefix);
        }
        access.hit
    }

    fn record_load(&mut self, cfg: &EngineConfig) {
        let load = Load {
            running: self.batch.len(),
            prefill_tokens: self.batch.prefill_remaining(),
            cached_prefixes: self.cache.len(),
            tokens_total: self.batch.tokens_total(),
        };
        self.load.record(Instant::now(), cfg.load_lag, load);
    }
}

/// Returns the end of the next step. It is computed from the end of the last step, so that delays
/// of the timer do not add up. If the loop lags by more than a step, the next step starts now, so
/// that the missed steps do not run in a burst.
fn next_step_end(last: Instant, now: Instant, duration: Duration) -> Instant {
    let start = if last + duration < now { now } else { last };
    start + duration
}
