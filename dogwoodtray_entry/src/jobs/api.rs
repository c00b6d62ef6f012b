//! Events, actions and replies of the job core.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;

use super::reply::JobReply;

/// Names a call of the job core to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Names a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Organization that the job belongs to.
    pub organization: Name,
    /// Key by which a resend is recognized.
    pub key: Option<Name>,
    /// Model or service that runs the items.
    pub model: Name,
    /// Custom id and body of each item.
    pub items: Vec<(Name, Bytes)>,
    /// Whether an item may run more than once.
    pub idempotent: bool,
    /// Time by which the job has to end, in milliseconds since the Unix epoch.
    pub due_unix_ms: Option<u64>,
}

/// How an attempt at an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whole answer, including what earlier attempts generated.
        body: Bytes,
    },
    /// The endpoint refused the item or failed on it.
    Failed {
        /// HTTP status.
        status: u16,
        /// Body of the error.
        body: Bytes,
    },
    /// The endpoint died while the item was inside.
    Crashed,
    /// The agent took the place back for online work after the item was forwarded.
    Preempted {
        /// Everything generated so far.
        partial: Bytes,
        /// Count of tokens in `partial`.
        tokens: u32,
    },
    /// The agent states that it never forwarded the item.
    NotRun,
    /// The content is quarantined and is never run again.
    Quarantined,
    /// The attempt was cancelled on request of this entry.
    Cancelled,
    /// The link to the agent, or its exchange with the endpoint, broke after the item was sent.
    Unknown,
}

/// Input of the job core.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// A caller submits a job.
    Submit {
        /// Caller that waits.
        token: ReplyToken,
        /// The job.
        submission: Submission,
        /// Wall time.
        now_unix_ms: u64,
    },
    /// A caller asks for the state of a job.
    Status {
        /// Caller that waits.
        token: ReplyToken,
        /// Job asked about.
        job: Name,
    },
    /// A caller asks for the results of a job.
    Results {
        /// Caller that waits.
        token: ReplyToken,
        /// Job asked about.
        job: Name,
    },
    /// The caller has taken the last part of the results; the next one may be read.
    ResultsTaken {
        /// Caller that reads.
        token: ReplyToken,
    },
    /// The caller has gone away.
    CallerGone {
        /// Caller that waited.
        token: ReplyToken,
    },
    /// A caller cancels a job.
    Cancel {
        /// Caller that waits.
        token: ReplyToken,
        /// Job to cancel.
        job: Name,
    },
    /// Reply to a store call.
    Stored {
        /// The call.
        call: CallId,
        /// Its reply.
        reply: StoreReply,
    },
    /// An agent offers batch places. The offer replaces its last one and lapses after one second.
    Credit {
        /// Endpoint behind the agent.
        endpoint: u64,
        /// Model that the places are for.
        model: Name,
        /// Count of places.
        places: u32,
    },
    /// The agent forwarded an attempt to its endpoint.
    ItemStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    ItemDone {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: ItemEnd,
    },
    /// Answer of another entry to a probe.
    ProbeAnswer {
        /// Process that was probed.
        holder: Incarnation,
        /// Claimed object.
        object: Name,
        /// Epoch that was asked about.
        epoch: Epoch,
        /// Whether the process holds the claim; `None` when no answer came in time.
        held: Option<bool>,
    },
    /// Another entry stored the cancellation of a job.
    JobCancelled {
        /// The job.
        job: Name,
    },
    /// The models and services whose last day has passed. The list replaces the one before, so a
    /// plan that is withdrawn opens its model again.
    ClosedServices {
        /// Models and services.
        models: Vec<Name>,
    },
    /// The names of the entries that are live in the view of this process, itself included.
    LiveEntries {
        /// Names.
        names: Vec<Name>,
    },
    /// The process begins a planned stop.
    Drain,
    /// Time passed. Expected at least every 100 ms.
    Tick {
        /// Wall time.
        now_unix_ms: u64,
    },
}

/// Output of the job core.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Run a store call and return its reply as [`JobEvent::Stored`].
    Store {
        /// Names the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Reply to a caller.
    Reply {
        /// The caller.
        token: ReplyToken,
        /// The reply.
        reply: JobReply,
    },
    /// Send an attempt at an item to an agent.
    Dispatch {
        /// Endpoint behind the agent.
        endpoint: u64,
        /// Names the attempt.
        attempt: AttemptId,
        /// Job of the item.
        job: Name,
        /// Epoch of the claim on the job.
        epoch: Epoch,
        /// Index of the item.
        item: u32,
        /// Model that runs it.
        model: Name,
        /// Body of the request.
        body: Bytes,
        /// Whether the item may run more than once.
        idempotent: bool,
        /// Time left until the job is due.
        deadline: Duration,
        /// Tokens that an earlier attempt generated.
        resume_from: u32,
        /// What the earlier attempt generated.
        partial: Bytes,
        /// Hash of the body.
        content: ContentHash,
    },
    /// Cancel a running attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask another entry whether it still holds a claim.
    Probe {
        /// Address of the entry.
        addr: Name,
        /// Process that wrote the claim.
        holder: Incarnation,
        /// Claimed object.
        object: Name,
        /// Epoch of the claim.
        epoch: Epoch,
    },
    /// Tell the driver of a job that the job was cancelled.
    NotifyCancel {
        /// Address of the driver.
        addr: Name,
        /// The job.
        job: Name,
    },
}

/// Work of one model that waits for batch places.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// The model.
    pub model: Name,
    /// Count of items that wait.
    pub items: u32,
    /// Least slack among its jobs in milliseconds; negative when a deadline is at risk.
    pub slack_ms: i64,
}
