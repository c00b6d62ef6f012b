//! Requests that wait for the answer of their run.

use std::sync::Arc;

use dogwoodtray_coord::KeyHash;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use tokio::sync::oneshot;

use super::OnceReply;
use super::forward;
use crate::online::RequestSpec;

/// Who waits.
#[derive(Debug)]
pub(super) enum Requester {
    /// A caller of this entry.
    Caller(oneshot::Sender<OnceReply>),
    /// Another entry that passed the request on.
    Entry { link: LinkHandle, attempt: Option<messages::AttemptId> },
}

impl Requester {
    pub(super) fn reply(self, reply: OnceReply) {
        match self {
            // A caller that went away finds the answer by its key.
            Self::Caller(tx) => drop(tx.send(reply)),
            Self::Entry { link, attempt } => forward::reply(&link, attempt, reply),
        }
    }
}

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) requester: Requester,
    pub(super) spec: Arc<RequestSpec>,
    pub(super) key: KeyHash,
    /// Until then the owner of the range is looked for.
    pub(super) deadline: Timestamp,
    /// When the request is handed to the owner of the range again.
    pub(super) retry_at: Timestamp,
}
