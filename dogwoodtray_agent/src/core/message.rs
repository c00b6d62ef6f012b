//! Events, actions and messages of the agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

/// Names a link to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// A request as an entry hands it to the agent.
#[derive(Clone, Debug)]
pub struct Work {
    /// Attempt that this is.
    pub attempt: AttemptId,
    /// Request that it belongs to.
    pub request: Name,
    /// Class of the work.
    pub class: Class,
    /// Model or service that it asks for.
    pub model: Name,
    /// HTTP method.
    pub method: Name,
    /// Path at the endpoint.
    pub path: Name,
    /// Body.
    pub body: Bytes,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Key that the endpoint may use to recognize a repetition.
    pub idempotency_key: Name,
    /// Claim and fencing token under which it is sent.
    pub fence: Option<(Name, Epoch)>,
    /// Time left until its deadline.
    pub deadline: Option<Duration>,
    /// Expected size.
    pub cost: Cost,
    /// Tokens that an earlier attempt generated.
    pub resume_from: u32,
    /// Hash of its content.
    pub content: ContentHash,
    /// Whether it was inside an endpoint that died.
    pub suspect: bool,
}

/// Why an attempt was never forwarded to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// No place within its deadline, or the queue is full.
    Busy,
    /// The agent is shutting down.
    Leaving,
    /// The fencing token is older than one seen before.
    Fenced,
    /// The endpoint does not serve the model.
    WrongModel,
    /// The deadline has passed.
    Deadline,
    /// The endpoint cannot be reached.
    EndpointDown,
    /// The content was inside two endpoints that died.
    Quarantined,
    /// Cancelled while it waited.
    Cancelled,
    /// The agent never received the attempt.
    NeverReceived,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The exchange with the endpoint failed, and the endpoint lives.
    Failed,
    /// The endpoint died with the attempt inside.
    Crashed {
        /// Identifies the death.
        death: u64,
    },
    /// Cancelled by its entry.
    Cancelled,
    /// Preempted by online work.
    Preempted,
    /// Never forwarded.
    NotRun(NotRun),
    /// The agent no longer knows whether the attempt ran.
    Unknown,
}

/// What the agent tells an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentMessage {
    /// The attempt was forwarded.
    Started {
        /// Attempt that this is about.
        attempt: AttemptId,
    },
    /// Part of an answer.
    Chunk {
        /// Attempt that this is about.
        attempt: AttemptId,
        /// Position of the first byte.
        offset: u64,
        /// Bytes.
        data: Bytes,
        /// Tokens up to the end of this part.
        tokens: u32,
    },
    /// The attempt ended.
    Done {
        /// Attempt that this is about.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// Content type of the answer.
        content_type: Name,
        /// Bytes of the whole answer.
        total_bytes: u64,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// Batch places are free.
    Credit {
        /// Number of places.
        places: u32,
    },
    /// State that every entry needs.
    Heartbeat,
}

/// Work that waits at an entry for batch places.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Model that it asks for.
    pub model: Name,
    /// Number of items.
    pub items: u32,
    /// Least slack among the jobs, in milliseconds.
    pub slack_ms: i64,
}

/// What happens between the agent and the endpoint.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
    /// The answer began.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Name,
    },
    /// Part of the answer arrived.
    Data {
        /// Bytes.
        data: Bytes,
        /// Tokens in these bytes.
        tokens: u32,
    },
    /// The answer is whole.
    End,
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
    /// The connection broke after the request was sent.
    Broken,
    /// The exchange was aborted by the agent.
    Aborted,
}

/// What happens to the agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry has a link.
    PeerUp {
        /// Link.
        peer: PeerId,
    },
    /// A link ended.
    PeerDown {
        /// Link.
        peer: PeerId,
    },
    /// An entry reported the work that waits there.
    PeerBacklog {
        /// Link.
        peer: PeerId,
        /// Work that waits.
        backlog: Vec<Backlog>,
    },
    /// An entry wants a request run.
    Dispatch {
        /// Link.
        peer: PeerId,
        /// The request.
        work: Work,
    },
    /// An entry wants an attempt cancelled.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// An entry wants the rest of an answer on a new link.
    Reattach {
        /// Link.
        peer: PeerId,
        /// Attempt to take up.
        attempt: AttemptId,
        /// First byte that is missing.
        offset: u64,
    },
    /// An entry has a whole answer.
    Ack {
        /// Attempt that may be forgotten.
        attempt: AttemptId,
    },
    /// Something happened at the endpoint.
    Endpoint {
        /// Attempt that it belongs to.
        attempt: AttemptId,
        /// What happened.
        event: EndpointEvent,
    },
    /// Result of a health check.
    Health {
        /// Whether the endpoint answered.
        up: bool,
    },
    /// A graceful shutdown begins.
    Drain,
    /// Time has passed.
    Tick,
}

/// What the process around the agent carries out.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send {
        /// Link.
        peer: PeerId,
        /// Message.
        message: AgentMessage,
    },
    /// Send a request to the endpoint.
    Forward {
        /// The request.
        work: Arc<Work>,
    },
    /// Abort the exchange with the endpoint and cancel the stream there.
    Abort {
        /// Attempt to abort.
        attempt: AttemptId,
    },
    /// Check now whether the endpoint lives.
    CheckHealth,
    /// The endpoint died.
    EndpointDown,
    /// The endpoint answers again.
    EndpointUp,
}
