//! Events, actions and messages of the agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

/// Identifier of a link to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryLinkId(pub u64);

/// A request dispatched by an entry.
#[derive(Clone, Debug)]
pub struct Work {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Identifier of the request.
    pub request: Name,
    /// Scheduling class.
    pub class: Class,
    /// Requested model or service.
    pub model: Name,
    /// HTTP method.
    pub method: Name,
    /// Request path at the endpoint.
    pub path: Name,
    /// Request body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Key that lets the endpoint detect a repeated request.
    pub idempotency_key: Name,
    /// Claim and its fencing token.
    pub fence: Option<(Name, Epoch)>,
    /// Time left until the deadline.
    pub deadline: Option<Duration>,
    /// Expected cost in tokens.
    pub cost: Cost,
    /// Number of tokens that earlier attempts generated.
    pub resume_from: u32,
    /// Hash of the content, used to recognize requests that crash endpoints.
    pub content: ContentHash,
    /// Hash of the prompt prefix, or 0 if there is none.
    pub prefix: u64,
    /// Whether it runs to find out whether its blocked contents still crash endpoints.
    pub is_trial: bool,
}

impl Work {
    /// Returns the contents by which a request that crashes endpoints is recognized.
    pub(super) fn contents(&self) -> Contents {
        Contents::with_prefix(self.content, self.prefix)
    }
}

/// Reason why an attempt was not forwarded to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// No place became free before the deadline, or the queue is full.
    Busy,
    /// The agent is shutting down.
    Leaving,
    /// A newer fencing token of the same claim has been seen.
    Fenced,
    /// The endpoint does not serve the model.
    WrongModel,
    /// The deadline has passed.
    Deadline,
    /// The endpoint is unreachable.
    EndpointDown,
    /// The request has a content that crashes endpoints.
    Blocked,
    /// The attempt was cancelled while queued.
    Cancelled,
    /// The agent never received the attempt.
    NeverReceived,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned a complete response.
    Answered {
        /// HTTP status code.
        status: u16,
    },
    /// The exchange with the endpoint failed, but the endpoint did not crash.
    Failed,
    /// The endpoint crashed while the attempt was running.
    Crashed,
    /// The entry cancelled the attempt.
    Cancelled,
    /// The attempt was preempted in favor of online work.
    Preempted,
    /// The attempt was not forwarded.
    NotRun(NotRun),
    /// The agent keeps no record of whether the attempt ran.
    Unknown,
}

/// Message from the agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentMessage {
    /// The attempt was forwarded.
    Started {
        /// Attempt that the message refers to.
        attempt: AttemptId,
    },
    /// Part of a response body.
    Chunk {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Offset of the first byte.
        offset: u64,
        /// Data of this part.
        data: Bytes,
        /// Number of tokens up to the end of this part.
        tokens: u32,
    },
    /// The attempt ended.
    Done {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Outcome.
        outcome: AttemptOutcome,
        /// Content type of the response.
        content_type: Name,
        /// Length of the whole response body in bytes.
        total_bytes: u64,
        /// Number of tokens in the whole response.
        tokens: u32,
    },
    /// Offers free batch places.
    Credit {
        /// Number of places.
        places: u32,
    },
    /// Periodic state report, sent to every entry.
    Heartbeat,
}

/// Batch work queued at an entry for one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Requested model.
    pub model: Name,
    /// Number of queued items.
    pub items: u32,
    /// Smallest slack of the jobs, in milliseconds.
    pub slack_ms: i64,
}

/// Event of an exchange with the endpoint.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
    /// The response head arrived.
    ResponseHead {
        /// HTTP status code.
        status: u16,
        /// Content type.
        content_type: Name,
    },
    /// Part of the response body arrived.
    Data {
        /// Data of this part.
        data: Bytes,
        /// Number of tokens in this part.
        tokens: u32,
    },
    /// The response is complete.
    ResponseEnd,
    /// No connection was established, so nothing was sent.
    ConnectFailed,
    /// The response ended as the endpoint framed it, but is not complete.
    Truncated,
    /// The connection broke after the request was sent, or ended within the response.
    ConnectionLost,
    /// The agent aborted the exchange.
    Aborted,
}

/// Input event of the agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A link to an entry was established.
    PeerUp {
        /// Link to the entry.
        peer: EntryLinkId,
    },
    /// A link to an entry closed.
    PeerDown {
        /// Link to the entry.
        peer: EntryLinkId,
    },
    /// An entry reported its queued batch work.
    PeerBacklog {
        /// Link to the entry.
        peer: EntryLinkId,
        /// Queued work, by model.
        backlog: Vec<Backlog>,
    },
    /// An entry dispatched a request.
    Dispatch {
        /// Link to the entry.
        peer: EntryLinkId,
        /// Request to run.
        work: Work,
    },
    /// An entry cancelled an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// An entry requested the rest of a response on a new link.
    Reattach {
        /// Link to the entry.
        peer: EntryLinkId,
        /// Attempt to resume.
        attempt: AttemptId,
        /// Offset of the first missing byte.
        offset: u64,
    },
    /// An entry received a whole response.
    Ack {
        /// Attempt whose state may be dropped.
        attempt: AttemptId,
    },
    /// An exchange with the endpoint made progress or ended.
    Endpoint {
        /// Attempt of the exchange.
        attempt: AttemptId,
        /// Event of the exchange.
        event: EndpointEvent,
    },
    /// Result of a health check.
    Health {
        /// Whether the endpoint passed the check.
        up: bool,
    },
    /// A graceful shutdown was requested.
    Drain,
    /// The tick interval elapsed.
    Tick,
}

/// Action for the surrounding process to execute.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send {
        /// Link to the entry.
        peer: EntryLinkId,
        /// Message to send.
        message: AgentMessage,
    },
    /// Send a request to the endpoint.
    Forward {
        /// Request to run.
        work: Arc<Work>,
    },
    /// Abort the exchange and cancel the stream at the endpoint.
    Abort {
        /// Attempt to abort.
        attempt: AttemptId,
    },
    /// Check the health of the endpoint now.
    CheckHealth,
    /// Report that the endpoint went down.
    EndpointDown,
    /// Report that the endpoint is up again.
    EndpointUp,
}
