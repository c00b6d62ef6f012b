//! What reaches the service, and its replies.

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
use super::forward::Forwarding;
use super::run::RunEnd;
use crate::online::RequestSpec;

/// What reaches the service.
#[derive(Debug)]
pub(crate) enum OnceInput {
    /// A caller of this entry waits.
    Begin { spec: Arc<RequestSpec>, reply: oneshot::Sender<OnceReply> },
    /// Another entry passes a request on.
    Forwarded { dispatch: Box<messages::Dispatch>, link: LinkHandle },
    /// A request that was passed on came back.
    ForwardEnded { request: RequestId, end: Forwarding },
    /// A run ended.
    RunEnded { range: u32, key: KeyHash, end: RunEnd },
    /// A store call ended.
    Stored { range: u32, call: CallId, reply: StoreReply },
    /// Another entry asks about a claim.
    Probe(ProbeRequest),
    /// Another entry told whether it holds a range.
    ProbeAnswer { range: u32, epoch: Epoch, holds: bool },
    /// A graceful shutdown begins.
    Drain,
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub(crate) enum OnceReply {
    /// The answer, of this run or an earlier one.
    Answer { answer: Answer, replayed: bool },
    /// The request was certainly not run.
    NotRun { reason: &'static str },
    /// The request may have run and is not run again.
    Unknown,
    /// The key belongs to a request with other content.
    Mismatch,
}
