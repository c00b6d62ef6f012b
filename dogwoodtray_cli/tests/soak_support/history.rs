//! What a run leaves for the oracle.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::standin::caller::ItemResult;
use super::standin::caller::Outcome;
use super::standin::endpoint::Run;

/// Kind of a request, which its route tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Stream that may run once.
    Stream,
    /// Stream that may be resumed.
    Resumable,
    /// Plain request that may be repeated.
    Plain,
    /// Plain request that may run once.
    Once,
}

/// One call of a caller, with an id of its own.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) gateway: usize,
    pub(crate) body: String,
    pub(crate) budget: Duration,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

impl Call {
    /// Whether the caller got the whole answer.
    pub(crate) fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, whole: true, .. })
    }
}

/// Job that was submitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) items: Vec<String>,
    /// Whether a gateway accepted it.
    pub(crate) accepted: bool,
    /// Whether each answer said that no item runs, and there was no attempt without an answer.
    pub(crate) refused: bool,
    /// Whether its end was asked for. Without a confirmation it may have taken effect or not.
    pub(crate) end_asked: bool,
    /// When a gateway confirmed its end.
    pub(crate) ended: Option<Instant>,
    /// Results by position, as the first reader saw them.
    pub(crate) seen: BTreeMap<usize, ItemResult>,
    /// Results after the run by gateway, or why they could not be read.
    pub(crate) last: Vec<(usize, Result<Vec<ItemResult>, String>)>,
}

/// Graceful shutdown while nothing else was wrong.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    pub(crate) node: String,
    /// Gateway, if it is one.
    pub(crate) gateway: Option<usize>,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    /// Exit code; `None` if the process did not end in time.
    pub(crate) exit: Option<i32>,
}

/// Span in which nothing was disturbed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Calm {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

impl Calm {
    pub(crate) fn holds(&self, from: Instant, to: Instant) -> bool {
        self.from <= from && to <= self.to
    }
}

/// Everything that the oracle judges.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: Vec<Run>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) calm: Calm,
    pub(crate) shutdowns: Vec<Shutdown>,
    /// Endpoint that registered as draining, and when.
    pub(crate) drained: Option<(String, Instant)>,
    /// Service to which the plain route leads after the last configuration, and since when.
    pub(crate) moved: Option<(&'static str, Instant)>,
    /// Faults of the records that were seen while it ran, and panics.
    pub(crate) found: Vec<String>,
    /// Calls through each gateway after the run.
    pub(crate) probes: Vec<Call>,
}
