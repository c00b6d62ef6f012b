//! Records of a run that the oracle checks.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::standin::caller::ItemResult;
use super::standin::caller::Outcome;
use super::standin::endpoint::Run;

/// Kind of a request, as configured for its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Stream that runs at most once.
    Stream,
    /// Stream that may be resumed after an interruption.
    Resumable,
    /// Plain request that may be retried.
    Plain,
    /// Plain request that runs at most once.
    Once,
}

/// One call of a caller, with a unique id.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: CallKind,
    pub(crate) gateway: usize,
    pub(crate) body: String,
    pub(crate) budget: Duration,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

impl Call {
    /// Returns `true` if the caller received a complete response with status 200.
    pub(crate) fn has_full_answer(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, whole: true, .. })
    }
}

/// A submitted job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) items: Vec<String>,
    /// Whether a gateway accepted the job.
    pub(crate) accepted: bool,
    /// Whether every submission received a response which states that no item runs.
    pub(crate) refused: bool,
    /// Whether the caller requested the end of the job. Without a confirmation the request may or
    /// may not have taken effect.
    pub(crate) end_requested: bool,
    /// Time at which a gateway confirmed the end.
    pub(crate) end_confirmed: Option<Instant>,
    /// Results by position, as they were first read.
    pub(crate) first_seen: BTreeMap<usize, ItemResult>,
    /// Results read from each gateway after the run, or the reason that they could not be read.
    pub(crate) final_reads: Vec<(usize, Result<Vec<ItemResult>, String>)>,
}

/// A graceful shutdown without other faults.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    pub(crate) node: String,
    /// Index of the gateway, or `None` for a driver.
    pub(crate) gateway: Option<usize>,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    /// Exit code, or `None` if the process did not exit in time.
    pub(crate) exit_code: Option<i32>,
}

/// A period without faults or changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UndisturbedPeriod {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

impl UndisturbedPeriod {
    pub(crate) fn contains(&self, from: Instant, to: Instant) -> bool {
        self.from <= from && to <= self.to
    }
}

/// All records of a run.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: Vec<Run>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) undisturbed: UndisturbedPeriod,
    pub(crate) shutdowns: Vec<Shutdown>,
    /// Times in which a gateway, by its index, was stopped, restarted or paused.
    pub(crate) gateway_faults: Vec<(usize, Instant, Instant)>,
    /// Endpoint that was registered as draining, and the time.
    pub(crate) drained: Option<(String, Instant)>,
    /// Target service of the plain route in the last configuration, and the time of its
    /// publication.
    pub(crate) plain_route_target: Option<(&'static str, Instant)>,
    /// Violations recorded during the run, and panics.
    pub(crate) violations: Vec<String>,
    /// Calls through each gateway after the run.
    pub(crate) probes: Vec<Call>,
}
