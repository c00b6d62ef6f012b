//! Records of what ran, and how often.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use serde::Serialize;

/// How often a request ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunCounts {
    /// Runs that began.
    pub started: u64,
    /// Runs that came to their end.
    pub finished: u64,
    /// Runs that were cancelled, by a call or by a caller that went away.
    pub cancelled: u64,
    /// Runs that ended with the endpoint.
    pub crashed: u64,
    /// Tokens generated in all runs.
    pub tokens: u64,
}

/// Counters of one request, shared with its runs.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    crashed: AtomicU64,
    tokens: AtomicU64,
}

impl RunRecord {
    /// Counts the end of a run and returns how many came to their end.
    pub(crate) fn add_finished(&self) -> u64 {
        self.finished.fetch_add(1, Relaxed) + 1
    }

    pub(crate) fn add_cancelled(&self) {
        self.cancelled.fetch_add(1, Relaxed);
    }

    pub(crate) fn add_crashed(&self) {
        self.crashed.fetch_add(1, Relaxed);
    }

    pub(crate) fn add_token(&self) {
        self.tokens.fetch_add(1, Relaxed);
    }

    fn counts(&self) -> RunCounts {
        RunCounts {
            started: self.started.load(Relaxed),
            finished: self.finished.load(Relaxed),
            cancelled: self.cancelled.load(Relaxed),
            crashed: self.crashed.load(Relaxed),
            tokens: self.tokens.load(Relaxed),
        }
    }
}

/// Counters by request. They outlive a crash of the stand-in.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    records: Mutex<BTreeMap<String, Arc<RunRecord>>>,
}

impl Runs {
    /// Counts the start of a run.
    pub(crate) fn start(&self, key: &str) -> Arc<RunRecord> {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let record = Arc::clone(records.entry(key.to_owned()).or_default());
        record.started.fetch_add(1, Relaxed);
        record
    }

    /// Returns all counters.
    pub(crate) fn all(&self) -> BTreeMap<String, RunCounts> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().map(|(key, record)| (key.clone(), record.counts())).collect()
    }
}
