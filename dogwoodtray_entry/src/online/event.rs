//! Events and actions of the online core.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

use super::NotRunProof;

/// Names a link to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNo(pub u64);

/// Names a request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNo(pub u64);

/// How an answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchMode {
    /// Token by token, as server-sent events. A broken stream is resumed elsewhere.
    Tokens,
    /// Whole, once it is complete.
    Whole,
}

/// A request and what is known of it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Id for logs and for the endpoint.
    pub id: Name,
    /// Class of the work.
    pub class: Class,
    /// Model or service that is asked for, as the endpoints name it.
    pub model: Name,
    /// HTTP method.
    pub method: Name,
    /// Path at the endpoint.
    pub path: Name,
    /// Body.
    pub body: Bytes,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Key of the caller, for endpoints that recognize repetitions.
    pub idempotency_key: Name,
    /// Claim and fencing token under which it runs.
    pub fence: Option<(Name, Epoch)>,
    /// Time that the request may take.
    pub timeout: Duration,
    /// Expected size.
    pub cost: Cost,
    /// Hash of the prompt prefix; 0 when there is none.
    pub prefix: u64,
    /// Hash of the content.
    pub content: ContentHash,
    /// Organisation of the caller.
    pub organization: Name,
    /// How the answer is delivered.
    pub mode: DispatchMode,
}

/// What is known of an agent from its greeting.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Name of the process.
    pub node: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: Name,
    /// Models or services that it serves.
    pub models: Vec<Name>,
}

/// Why an agent did not forward an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No free place.
    Busy,
    /// The agent is shutting down.
    Leaving,
    /// The fencing token was old.
    Fenced,
    /// The endpoint does not serve the model.
    WrongModel,
    /// The deadline passed before it was forwarded.
    Deadline,
    /// The endpoint is down.
    EndpointDown,
    /// The content was inside two endpoints that died.
    Quarantined,
    /// Cancelled before it was forwarded.
    Cancelled,
    /// The agent never received it.
    NeverReceived,
}

/// How an attempt ended, as the agent tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The exchange with the endpoint failed.
    Failed,
    /// The endpoint died.
    Crashed {
        /// Identifies the death.
        death: u64,
    },
    /// Cancelled by this entry.
    Cancelled,
    /// Preempted by online work.
    Preempted,
    /// Never forwarded.
    NotRun(NotRunReason),
    /// May have run.
    Unknown,
}

/// End of an attempt with the size of its answer.
#[derive(Clone, Debug)]
pub struct AttemptDone {
    /// How it ended.
    pub end: AttemptEnd,
    /// Content type of the answer.
    pub content_type: Name,
    /// Bytes of the whole answer.
    pub total_bytes: u64,
    /// Tokens, those of earlier attempts included.
    pub tokens: u32,
}

/// How a batch attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchEnd {
    /// As the agent told it, with the answer so far.
    Ended {
        /// How it ended.
        end: AttemptEnd,
        /// Content type of the answer.
        content_type: Name,
        /// Answer, or the part of it that arrived.
        answer: Bytes,
        /// Tokens, those of earlier attempts included.
        tokens: u32,
    },
    /// The content was inside two endpoints that died.
    Quarantined,
}

/// What happens to online requests.
#[derive(Clone, Debug)]
pub enum OnlineEvent {
    /// A caller wants a request run.
    Submit {
        /// Request.
        request: RequestNo,
        /// What is known of it.
        spec: Arc<RequestSpec>,
    },
    /// A caller went away.
    CallerGone {
        /// Request.
        request: RequestNo,
    },
    /// A job wants an item run on an endpoint that offered a place.
    SubmitBatch {
        /// Attempt, chosen by the job.
        attempt: AttemptId,
        /// Link that the place was offered on.
        link: LinkNo,
        /// What is known of the item.
        spec: Arc<RequestSpec>,
        /// Tokens that an earlier attempt generated.
        resume_from: u32,
    },
    /// A job wants an attempt cancelled.
    CancelBatch {
        /// Attempt.
        attempt: AttemptId,
    },
    /// A link to an agent is up.
    LinkUp {
        /// Link.
        link: LinkNo,
        /// Agent at its other end.
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
        /// Free places for online work.
        free_online: u32,
        /// Free places for batch work.
        free_batch: u32,
        /// Online requests that wait there.
        queued_online: u32,
    },
    /// An attempt was forwarded.
    Started {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Part of an answer arrived.
    Chunk {
        /// Attempt.
        attempt: AttemptId,
        /// Position of the first byte.
        offset: u64,
        /// Bytes.
        data: Bytes,
        /// Tokens up to the end of this part.
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

/// How a request ended.
#[derive(Debug)]
pub enum RequestEnd {
    /// The answer is whole.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The request was certainly not run.
    NotRun {
        /// Proof of that.
        proof: NotRunProof,
        /// Why.
        reason: &'static str,
    },
    /// The request may have run.
    Unknown {
        /// Why it is not known.
        reason: &'static str,
    },
    /// The content was inside two endpoints that died.
    Quarantined,
}

/// What the process around the core carries out.
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
        /// Tokens that need not be generated again.
        resume_from: u32,
        /// Whether the content was inside an endpoint that died.
        suspect: bool,
    },
    /// Cancel an attempt.
    Cancel {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Take an attempt up again on a new link.
    Reattach {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
        /// First byte that is missing.
        offset: u64,
    },
    /// Confirm a whole answer.
    Ack {
        /// Link.
        link: LinkNo,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Deliver part of an answer. The first one opens the answer.
    Deliver {
        /// Request.
        request: RequestNo,
        /// HTTP status.
        status: u16,
        /// Content type; empty for tokens.
        content_type: Name,
        /// Bytes.
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
    /// A request is tried again.
    Retried {
        /// Request id.
        id: Name,
        /// Why.
        reason: &'static str,
    },
    /// A second attempt was started beside a slow one.
    Hedged {
        /// Request id.
        id: Name,
    },
    /// A stream is resumed away from a slow endpoint.
    Moved {
        /// Request id.
        id: Name,
    },
    /// A frame belonged to no known attempt.
    StaleFrame,
}
