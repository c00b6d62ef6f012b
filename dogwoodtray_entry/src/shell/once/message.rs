//! Inputs of the at-most-once service and its replies.

use std::sync::Arc;

use dogwoodtray_coord::Answer;
use dogwoodtray_coord::CallId;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::KeyHash;
use dogwoodtray_coord::RequestId;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use tokio::sync::oneshot;

use super::super::probe::ProbeRequest;
use super::forward::ForwardOutcome;
use super::run::RunOutcome;
use crate::online::RequestSpec;

/// Input of the at-most-once service.
#[derive(Debug)]
pub(crate) enum OnceInput {
    /// Request of a caller of this entry.
    Begin { spec: Arc<RequestSpec>, reply: oneshot::Sender<OnceReply> },
    /// Request forwarded by another entry.
    Forwarded { dispatch: Box<messages::Dispatch>, link: LinkHandle },
    /// Forwarding a request to the owner of its range ended.
    ForwardEnded { request: RequestId, outcome: ForwardOutcome },
    /// The run of a request ended.
    RunEnded { range: u32, key: KeyHash, outcome: RunOutcome },
    /// Reply to a store call.
    StoreReplied { range: u32, call: CallId, reply: StoreReply },
    /// Probe of a claim by another entry.
    Probe(ProbeRequest),
    /// Reply of another entry to a probe of a range.
    ProbeReply { range: u32, epoch: Epoch, holds: bool },
    /// Start of a graceful shutdown.
    Drain,
    /// End of a graceful shutdown, at which the requests that are still open are answered.
    EndDrain,
}

/// Reply to a request.
#[derive(Clone, Debug)]
pub(crate) enum OnceReply {
    /// The answer. `replayed` is set if it comes from an earlier run.
    Answer { answer: Answer, replayed: bool },
    /// The request was not run.
    NotRun { reason: &'static str },
    /// The request may have run, so it is not run again.
    Unknown,
    /// The key was already used for a request with different content.
    KeyReused,
}
