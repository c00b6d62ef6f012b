//! Requests that are waiting for the answer of their run.

use std::sync::Arc;

use dogwoodtray_coord::KeyHash;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use tokio::sync::oneshot;

use super::OnceReply;
use super::forward;
use crate::online::RequestSpec;

/// Recipient of the reply.
#[derive(Debug)]
pub(super) enum Requester {
    /// A caller of this entry.
    Caller(oneshot::Sender<OnceReply>),
    /// Another entry that forwarded the request.
    Entry { link: LinkHandle, attempt: Option<messages::AttemptId> },
}

impl Requester {
    pub(super) fn reply(self, reply: OnceReply) {
        match self {
            // A disconnected caller gets the stored answer when it sends the key again.
            Self::Caller(tx) => drop(tx.send(reply)),
            Self::Entry { link, attempt } => forward::reply(&link, attempt, reply),
        }
    }
}

/// A request that is waiting for its answer.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) requester: Requester,
    pub(super) spec: Arc<RequestSpec>,
    pub(super) key: KeyHash,
    /// Time until which a route to the owner of the range is tried.
    pub(super) deadline: Timestamp,
    /// Earliest time of the next try to route the request to the owner of the range.
    pub(super) retry_at: Timestamp,
}
