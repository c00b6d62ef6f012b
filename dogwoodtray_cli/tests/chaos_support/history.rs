//! Records of a run that the oracle checks.

use std::collections::BTreeMap;

/// How a call of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response, and how its text differs from the expected one, if it does.
    Answered(Option<String>),
    /// An error that states that the request did not run.
    NotRun(String),
    /// Any other error.
    Failed(String),
    /// The connection broke.
    Broken,
    /// The connection was open, but the call timed out.
    TimedOut,
    /// The connection was refused.
    Refused,
}

/// One call. Each retry is a separate call with the same key.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Request id, by which engines record the run.
    pub(crate) id: String,
    /// Key of the request, which all its calls share; sent as the idempotency key if the request is
    /// not idempotent.
    pub(crate) key: String,
    pub(crate) kind: CallKind,
    pub(crate) entry: usize,
    pub(crate) began_ms: u64,
    pub(crate) ended_ms: u64,
    pub(crate) outcome: Outcome,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Idempotent request to an engine.
    Online,
    /// Non-idempotent request to an engine.
    NonIdempotentChat,
    /// Non-idempotent request to the plain service.
    NonIdempotentService,
    /// Request that crashes the engine that runs it.
    Poison,
}

/// Numbers of runs of one request by one instance of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunCounts {
    pub(crate) started: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    pub(crate) crashed: u64,
}

/// Numbers of runs by request id.
pub(crate) type Runs = BTreeMap<String, RunCounts>;

/// One line of the results of a job.
#[derive(Clone, Debug)]
pub(crate) struct ResultLine {
    pub(crate) custom_id: String,
    /// `done`, `cancelled`, or the error code of a failure.
    pub(crate) outcome: String,
    /// Difference between the text of a `done` item and the expected one.
    pub(crate) mismatch: Option<String>,
}

/// State of a job as an entry returns it at the end of the run.
#[derive(Clone, Debug)]
pub(crate) struct JobView {
    pub(crate) entry: usize,
    pub(crate) status: String,
    pub(crate) lines: Vec<ResultLine>,
}

/// A cancellation that was acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct Cancellation {
    /// Items that had a result when the cancellation was acknowledged.
    pub(crate) results: u64,
    /// Runs of its items that had started by the time at which every process must have received the
    /// cancellation; `None` until then.
    pub(crate) runs_started: Option<u64>,
}

/// An acknowledged job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) items: Vec<String>,
    pub(crate) idempotent: bool,
    pub(crate) cancelled: Option<Cancellation>,
    pub(crate) views: Vec<JobView>,
}

/// A graceful shutdown.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub(crate) node: String,
    pub(crate) exit_code: Option<i32>,
    pub(crate) interrupted: Vec<String>,
    /// Runs at the endpoint of a draining agent that were cancelled or crashed during the drain.
    pub(crate) ended_early: Vec<String>,
    /// Slower attempts of hedges that were cancelled during the drain.
    pub(crate) cancelled_hedges: u64,
    /// Jobs that had been cancelled before the drain ended.
    pub(crate) cancelled_jobs: Vec<String>,
}

/// Generations that one instance of a process reported, in order.
#[derive(Clone, Debug)]
pub(crate) struct GenerationReport {
    pub(crate) node: String,
    pub(crate) incarnation: String,
    pub(crate) generations: Vec<u64>,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) jobs: Vec<Job>,
    /// Runs by endpoint instance.
    pub(crate) runs: BTreeMap<String, Runs>,
    /// Generations whose publication was confirmed.
    pub(crate) published: Vec<u64>,
    pub(crate) reported: Vec<GenerationReport>,
    /// Generation of each process after the run.
    pub(crate) final_generations: Vec<(String, Option<u64>)>,
    pub(crate) drains: Vec<Drain>,
    pub(crate) panics: Vec<String>,
    /// Ids of the requests that ran as trials of blocked contents.
    pub(crate) trials: Vec<String>,
    /// Calls through each entry after the run.
    pub(crate) probes: Vec<Call>,
}

impl History {
    /// Sums the runs of matching requests over all endpoints.
    pub(crate) fn count_runs(&self, matches: impl Fn(&str) -> bool) -> RunCounts {
        let mut sum = RunCounts::default();
        for runs in self.runs.values() {
            for (_, counts) in runs.iter().filter(|(key, _)| matches(key)) {
                sum.started += counts.started;
                sum.finished += counts.finished;
                sum.cancelled += counts.cancelled;
                sum.crashed += counts.crashed;
            }
        }
        sum
    }
}
