//! Events and actions of the online core.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

use super::NotRunProof;

/// Identifies a link to an agent within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNo(pub u64);

/// Identifies a request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNo(pub u64);

/// Delivery mode of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchMode {
    /// Token by token, as server-sent events. An interrupted stream is resumed on another endpoint.
    Tokens,
    /// As a whole, once it is complete.
    Whole,
}

/// Content and properties of a request.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Request id, used in logs and sent to the endpoint.
    pub id: Name,
    /// Work class.
    pub class: Class,
    /// Name of the requested model or service at the endpoints.
    pub model: Name,
    /// HTTP method.
    pub method: Name,
    /// Path of the URL at the endpoint.
    pub path: Name,
    /// Request body.
    pub body: Bytes,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Idempotency key of the caller, by which endpoints can detect duplicates.
    pub idempotency_key: Name,
    /// Claim and fencing token of the request.
    pub fence: Option<(Name, Epoch)>,
    /// Maximum duration of the request.
    pub timeout: Duration,
    /// Estimated cost.
    pub cost: Cost,
    /// Hash of the prompt prefix, or 0 if there is none.
    pub prefix: u64,
    /// Hash of the request content.
    pub content: ContentHash,
    /// Organisation of the caller.
    pub organization: Name,
    /// Delivery mode of the answer.
    pub mode: DispatchMode,
}

impl RequestSpec {
    /// Returns the contents by which a request that crashes endpoints is recognized.
    pub(super) fn contents(&self) -> Contents {
        Contents::with_prefix(self.content, self.prefix)
    }
}

/// Information about an agent from its `Hello` message.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Node name of the agent.
    pub node: Name,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: Name,
    /// Models or services that the agent serves.
    pub models: Vec<Name>,
}

/// Reason why an agent did not forward an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The agent has no free place.
    Busy,
    /// The agent is shutting down.
    Leaving,
    /// The fencing token was stale.
    Fenced,
    /// The endpoint does not serve the model.
    WrongModel,
    /// The deadline passed before the attempt was forwarded.
    Deadline,
    /// The endpoint is down.
    EndpointDown,
    /// The request or item has a content that crashes endpoints, and no trial of it is due.
    Blocked,
    /// The attempt was cancelled before it was forwarded.
    Cancelled,
    /// The agent never received the attempt.
    NeverReceived,
}

/// Outcome of an attempt, as reported by the agent or inferred from the loss of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned an answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The exchange with the endpoint failed.
    Failed,
    /// The endpoint crashed.
    Crashed,
    /// The entry cancelled the attempt.
    Cancelled,
    /// The attempt was preempted by online work.
    Preempted,
    /// The attempt was never forwarded.
    NotRun(NotRunReason),
    /// The attempt may have run.
    Unknown,
}

/// Lowest HTTP status code of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl AttemptOutcome {
    /// Returns `true` if the endpoint answered and did not fail.
    #[must_use]
    pub const fn is_sound(self) -> bool {
        matches!(self, Self::Answered { status } if status < MIN_SERVER_ERROR_STATUS)
    }

    /// Returns a short text for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Failed => "failed",
            Self::Crashed => "crashed",
            Self::Cancelled => "cancelled",
            Self::Preempted => "preempted",
            Self::NotRun(_) => "not run",
            Self::Unknown => "unknown",
        }
    }
}

/// Outcome of an attempt, with the size of its answer.
#[derive(Clone, Debug)]
pub struct AttemptDone {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Content type of the answer.
    pub content_type: Name,
    /// Bytes of the whole answer.
    pub total_bytes: u64,
    /// Number of tokens, including those of earlier attempts.
    pub tokens: u32,
}

/// End of a batch attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchEnd {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Content type of the answer.
    pub content_type: Name,
    /// Answer, or the part of it that was received.
    pub answer: Bytes,
    /// Number of tokens, including those of earlier attempts.
    pub tokens: u32,
}

/// Input of the online core.
#[derive(Clone, Debug)]
pub enum OnlineEvent {
    /// A caller submitted a request.
    Submit {
        /// Request.
        request: RequestNo,
        /// Content and properties of the request.
        spec: Arc<RequestSpec>,
    },
    /// A caller disconnected before its request ended.
    CallerDisconnected {
        /// Request.
        request: RequestNo,
    },
    /// A job submitted an item to an endpoint that offered a place.
    SubmitBatch {
        /// Attempt id, assigned by the job.
        attempt: AttemptId,
        /// Link on which the place was offered.
        link: LinkNo,
        /// Content and properties of the item.
        spec: Arc<RequestSpec>,
        /// Number of tokens that an earlier attempt generated.
        resume_from: u32,
    },
    /// A job cancelled an attempt.
    CancelBatch {
        /// Attempt.
        attempt: AttemptId,
    },
    /// A link to an agent was established.
    LinkUp {
        /// Link.
        link: LinkNo,
        /// Agent at the other end.
        peer: PeerInfo,
    },
    /// A link to an agent ended.
    LinkDown {
        /// Link.
        link: LinkNo,
    },
    /// An agent reported its state.
    Report {
        /// Link.
        link: LinkNo,
        /// Whether the agent is shutting down.
        leaving: bool,
        /// Number of free places for online work.
        free_online: u32,
        /// Number of free places for batch work.
        free_batch: u32,
        /// Number of online requests that are queued at the agent.
        queued_online: u32,
    },
    /// An attempt was forwarded.
    Started {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Part of an answer was received.
    Chunk {
        /// Attempt.
        attempt: AttemptId,
        /// Offset of the first byte in the answer.
        offset: u64,
        /// Bytes of this part.
        data: Bytes,
        /// Number of tokens up to the end of this part.
        tokens: u32,
    },
    /// An attempt ended.
    Done {
        /// Attempt.
        attempt: AttemptId,
        /// How it ended.
        done: AttemptDone,
    },
    /// Time has passed.
    Tick,
}

/// End of a request.
#[derive(Debug)]
pub enum RequestEnd {
    /// The answer is complete.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The request was not run.
    NotRun {
        /// Proof that the request was not run.
        proof: NotRunProof,
        /// Why.
        reason: &'static str,
        /// Time after which it may run, if that is known.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: &'static str,
    },
}

/// Output of the online core, to be carried out by the surrounding process.
#[derive(Debug)]
pub enum OnlineAction {
    /// Send an attempt to an agent.
    Dispatch {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
        /// Request.
        spec: Arc<RequestSpec>,
        /// Time left until the deadline.
        time_left: Duration,
        /// Number of tokens that are already generated.
        resume_from: u32,
        /// Whether it runs to find out whether its blocked contents still crash endpoints.
        is_trial: bool,
    },
    /// Cancel an attempt.
    Cancel {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Reattach to an attempt, or request that the rest of its answer be resent.
    Reattach {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
        /// Offset of the first missing byte.
        offset: u64,
    },
    /// Acknowledge the end of an attempt.
    Ack {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Deliver part of an answer. The first part starts the response to the caller.
    Deliver {
        /// Request.
        request: RequestNo,
        /// HTTP status.
        status: u16,
        /// Content type, or empty for tokens.
        content_type: Name,
        /// Bytes of this part.
        data: Bytes,
    },
    /// End a request.
    Finish {
        /// Request.
        request: RequestNo,
        /// How it ended.
        end: RequestEnd,
    },
    /// A batch attempt was forwarded.
    BatchStarted {
        /// Attempt.
        attempt: AttemptId,
    },
    /// A batch attempt ended.
    BatchEnded {
        /// Attempt.
        attempt: AttemptId,
        /// How it ended.
        end: BatchEnd,
    },
    /// A request is retried.
    Retried {
        /// Request id.
        id: Name,
        /// Why.
        reason: &'static str,
    },
    /// A request is refused because it has a blocked content.
    Blocked {
        /// Request id.
        id: Name,
        /// Blocked content.
        content: ContentHash,
        /// Time after which it may run as a trial.
        retry_after: Duration,
    },
    /// A request runs as a trial of its blocked contents.
    Tried {
        /// Request id.
        id: Name,
    },
    /// A trial of blocked contents ended.
    TrialEnded {
        /// Id of the request or item.
        id: Name,
        /// How its attempt ended.
        outcome: AttemptOutcome,
    },
    /// A second attempt of a slow request was started.
    Hedged {
        /// Request id.
        id: Name,
    },
    /// A stream was moved away from a slow endpoint.
    StreamMoved {
        /// Request id.
        id: Name,
    },
    /// A received frame refers to an unknown attempt.
    StaleFrame,
}
