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

/// Identifier of a store call made by the job core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifier of a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Batch job submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Organization that the job belongs to.
    pub organization: Name,
    /// Idempotency key that identifies resubmissions of the same job.
    pub key: Option<Name>,
    /// Model or service that runs the items.
    pub model: Name,
    /// Custom id and body of each item.
    pub items: Vec<(Name, Bytes)>,
    /// Whether an item may run more than once.
    pub idempotent: bool,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub due_unix_ms: Option<u64>,
}

/// Result of one attempt at an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemAttemptEnd {
    /// The endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Complete response body, including the output of earlier attempts.
        body: Bytes,
    },
    /// The endpoint rejected the item or failed to process it.
    Failed {
        /// HTTP status.
        status: u16,
        /// Body of the error.
        body: Bytes,
    },
    /// The endpoint crashed while it processed the item.
    Crashed,
    /// The agent preempted the item in favor of online work after it was forwarded.
    Preempted {
        /// Output generated so far.
        partial: Bytes,
        /// Number of tokens in `partial`.
        tokens: u32,
    },
    /// The agent reported that it never forwarded the item.
    NotRun,
    /// This entry cancelled the attempt.
    Cancelled,
    /// The connection to the agent, or between agent and endpoint, failed after the item was sent.
    Unknown,
}

/// Input event of the job core.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// A caller submits a job.
    Submit {
        /// Caller that receives the reply.
        token: ReplyToken,
        /// The job.
        submission: Submission,
        /// Wall-clock time in milliseconds since the Unix epoch.
        now_unix_ms: u64,
    },
    /// A caller requests the state of a job.
    Status {
        /// Caller that receives the reply.
        token: ReplyToken,
        /// Requested job.
        job: Name,
    },
    /// A caller requests the results of a job.
    Results {
        /// Caller that receives the reply.
        token: ReplyToken,
        /// Requested job.
        job: Name,
    },
    /// The caller consumed the previous part of the results, and the next one may be read.
    ResultsConsumed {
        /// Caller that receives the results.
        token: ReplyToken,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Caller that disconnected.
        token: ReplyToken,
    },
    /// A caller cancels a job.
    Cancel {
        /// Caller that receives the reply.
        token: ReplyToken,
        /// Job to cancel.
        job: Name,
    },
    /// The store replied to a call.
    StoreReplied {
        /// The call.
        call: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// An agent offered batch places. The offer replaces its previous one and expires after
    /// [`credit_ttl`](super::JobConfig::credit_ttl).
    PlacesOffered {
        /// Endpoint behind the agent.
        endpoint: u64,
        /// Model that the places can run.
        model: Name,
        /// Number of free places.
        places: u32,
    },
    /// The agent forwarded an attempt to its endpoint.
    ItemStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    ItemEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        end: ItemAttemptEnd,
    },
    /// Another entry answered a probe, or the probe failed.
    ProbeReply {
        /// Probed process.
        holder: Incarnation,
        /// Claimed object.
        object: Name,
        /// Epoch of the probed claim.
        epoch: Epoch,
        /// Whether the process holds the claim; `None` if no answer arrived in time.
        held: Option<bool>,
    },
    /// Another entry reported that it stored the cancellation of a job.
    JobCancelled {
        /// The job.
        job: Name,
    },
    /// The set of retired models and services changed or was refreshed. It replaces the previous
    /// set, so a model is open again after its retirement plan is withdrawn.
    ClosedServices {
        /// Models and services past their retirement date.
        models: Vec<Name>,
    },
    /// The set of live entries changed or was refreshed.
    LiveEntries {
        /// Names of all live entries known to this process, including its own.
        names: Vec<Name>,
    },
    /// The process starts a graceful shutdown.
    Drain,
    /// Periodic timer event, expected at least every 100 ms.
    Tick {
        /// Wall-clock time in milliseconds since the Unix epoch.
        now_unix_ms: u64,
    },
}

/// Action requested by the job core.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Execute a store call and pass its reply back as [`JobEvent::StoreReplied`].
    Store {
        /// Identifier of the call.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// Send a reply to a caller.
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
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Job that contains the item.
        job: Name,
        /// Epoch of this process's claim on the job.
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
        /// Number of tokens already generated by earlier attempts.
        resume_from: u32,
        /// Output already generated by earlier attempts.
        partial: Bytes,
        /// Hash of the body.
        content: ContentHash,
    },
    /// Cancel a running attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Probe another entry to check whether it still holds a claim.
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
    /// Notify the driver of a job that the job was cancelled.
    NotifyCancel {
        /// Address of the driver.
        addr: Name,
        /// The job.
        job: Name,
    },
}

/// Pending batch work of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// The model.
    pub model: Name,
    /// Number of items that wait for a place.
    pub items: u32,
    /// Smallest slack among its jobs in milliseconds; negative if a deadline is at risk.
    pub slack_ms: i64,
}
