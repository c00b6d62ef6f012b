//! What a run leaves for the oracle.

use std::collections::BTreeMap;

/// How a call of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A whole answer; the fault of its text, if it has one.
    Answered(Option<String>),
    /// An error that says that nothing ran.
    NotRun(String),
    /// Any other error.
    Failed(String),
    /// The connection broke.
    Broken,
    /// The caller gave up on a silent connection.
    Silent,
    /// The entry refused the connection.
    Refused,
}

/// One call. A resend is a call of its own with the same key.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Request id, under which engines record the run.
    pub(crate) id: String,
    /// Key of a non-idempotent request, or the id of the first call.
    pub(crate) key: String,
    pub(crate) kind: CallKind,
    pub(crate) entry: usize,
    pub(crate) began_ms: u64,
    pub(crate) ended_ms: u64,
    pub(crate) outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Online,
    /// Non-idempotent, run by an engine.
    OnceChat,
    /// Non-idempotent, run by the plain service.
    OnceService,
    Poison,
}

/// Runs of one request at one start of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) started: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    pub(crate) crashed: u64,
}

/// Runs by request.
pub(crate) type Runs = BTreeMap<String, Counts>;

/// One line of the results of a job.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) custom_id: String,
    /// `done`, `cancelled`, or the reason of a failure.
    pub(crate) end: String,
    /// Fault of the text of a `done` item.
    pub(crate) fault: Option<String>,
}

/// A job as an entry shows it at the end of the run.
#[derive(Clone, Debug)]
pub(crate) struct JobView {
    pub(crate) entry: usize,
    pub(crate) status: String,
    pub(crate) lines: Vec<Line>,
}

/// A cancellation that was acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct Cancelled {
    /// Items that had a result then.
    pub(crate) results: u64,
    /// Runs of its items that had started when the last process had to know of it.
    pub(crate) starts: Option<u64>,
}

/// An acknowledged job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) items: Vec<String>,
    pub(crate) idempotent: bool,
    pub(crate) cancelled: Option<Cancelled>,
    pub(crate) views: Vec<JobView>,
}

/// A graceful shutdown.
#[derive(Clone, Debug)]
pub(crate) struct Drained {
    pub(crate) node: String,
    pub(crate) exit: Option<i32>,
    pub(crate) cut: Vec<String>,
}

/// Generations that one start of a process reported, in order.
#[derive(Clone, Debug)]
pub(crate) struct Reported {
    pub(crate) node: String,
    pub(crate) incarnation: String,
    pub(crate) generations: Vec<u64>,
}

/// Everything that the oracle judges.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) jobs: Vec<Job>,
    /// Runs by endpoint and start of its process.
    pub(crate) runs: BTreeMap<String, Runs>,
    /// Generations that publishers were told are in force.
    pub(crate) published: Vec<u64>,
    pub(crate) reported: Vec<Reported>,
    /// Generation of each process after the run.
    pub(crate) settled: Vec<(String, Option<u64>)>,
    pub(crate) drained: Vec<Drained>,
    pub(crate) panics: Vec<String>,
    /// Calls through each entry after the run.
    pub(crate) probes: Vec<Call>,
}

impl History {
    /// Adds up the runs whose request fits, over all endpoints.
    pub(crate) fn count(&self, fits: impl Fn(&str) -> bool) -> Counts {
        let mut sum = Counts::default();
        for runs in self.runs.values() {
            for (_, counts) in runs.iter().filter(|(key, _)| fits(key)) {
                sum.started += counts.started;
                sum.finished += counts.finished;
                sum.cancelled += counts.cancelled;
                sum.crashed += counts.crashed;
            }
        }
        sum
    }
}
