//! Counters of the runs of each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use serde::Serialize;

/// Number of runs of a request, by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunCounts {
    /// Runs that started.
    pub started: u64,
    /// Runs that finished.
    pub finished: u64,
    /// Runs that were cancelled by a call or by a disconnect of the caller.
    pub cancelled: u64,
    /// Runs that were aborted by a crash of the endpoint.
    pub crashed: u64,
    /// Tokens generated in all runs.
    pub tokens: u64,
}

/// Counters of one request, shared by its runs.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    crashed: AtomicU64,
    tokens: AtomicU64,
}

impl RunRecord {
    /// Counts a finished run and returns the number of finished runs.
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

/// Counters of all requests. They are kept when the stand-in crashes.
#[derive(Debug, Default)]
pub(crate) struct RunRecords {
    records: Mutex<BTreeMap<String, Arc<RunRecord>>>,
}

impl RunRecords {
    /// Counts a started run and returns the counters of its request.
    pub(crate) fn start(&self, key: &str) -> Arc<RunRecord> {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let record = Arc::clone(records.entry(key.to_owned()).or_default());
        record.started.fetch_add(1, Relaxed);
        record
    }

    /// Returns the counters of all requests.
    pub(crate) fn all(&self) -> BTreeMap<String, RunCounts> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().map(|(key, record)| (key.clone(), record.counts())).collect()
    }
}
