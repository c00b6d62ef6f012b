//! Life cycle of an attempt, as types.
//!
//! Only a queued attempt turns into a proof that it did not run. Once it is sent, the proof needs
//! the word of the agent that the attempt was never forwarded.

use std::sync::Arc;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::EndpointKey;

use super::LinkNo;
use super::RequestNo;
use super::RequestSpec;
use super::event::AttemptEnd;

/// Proof that a request was not run. Only this module makes one.
#[derive(Debug)]
pub struct NotRunProof {
    _private: (),
}

/// A request of which no attempt is out.
#[derive(Debug)]
pub(super) struct Queued {
    may_have_run: bool,
}

impl Queued {
    /// A request that was just accepted.
    pub(super) const fn new() -> Self {
        Self { may_have_run: false }
    }

    /// Refuses the request; proof only if no earlier attempt may have run.
    pub(super) const fn refuse(self) -> Result<NotRunProof, ()> {
        if self.may_have_run { Err(()) } else { Ok(NotRunProof { _private: () }) }
    }

    /// Sends an attempt.
    pub(super) const fn send(self) -> Sent {
        Sent { may_have_run: self.may_have_run, out: 1 }
    }
}

/// A request of which at least one attempt is out.
#[derive(Debug)]
pub(super) struct Sent {
    may_have_run: bool,
    out: u32,
}

impl Sent {
    /// Sends a further attempt beside the first.
    pub(super) const fn send_another(&mut self) {
        self.out += 1;
    }

    /// Records that a copy of the request runs, which no agent's word on the attempts covers.
    pub(super) const fn copy_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Takes the end of one attempt. Returns the queued state if no attempt is left.
    pub(super) const fn end(mut self, end: AttemptEnd) -> Result<Queued, Self> {
        if !matches!(end, AttemptEnd::NotRun(_)) {
            self.may_have_run = true;
        }
        self.out -= 1;
        if self.out == 0 { Ok(Queued { may_have_run: self.may_have_run }) } else { Err(self) }
    }
}

/// Who an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    Request(RequestNo),
    Job,
    /// A copy that finds out whether a slow endpoint has recovered. Nobody reads its answer.
    Probe,
}

/// An attempt that is out.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) owner: Owner,
    pub(super) spec: Arc<RequestSpec>,
    pub(super) node: Name,
    pub(super) endpoint: EndpointKey,
    /// Link that it runs on; `None` while the agent is out of reach.
    pub(super) link: Option<LinkNo>,
    pub(super) sent_at: Timestamp,
    pub(super) last_token: Option<Timestamp>,
    pub(super) detached_at: Timestamp,
    /// Bytes received in order.
    pub(super) received: u64,
    /// Tokens generated, those of earlier attempts included.
    pub(super) tokens: u32,
    pub(super) resume_from: u32,
    /// Answer, kept only where it is delivered whole.
    pub(super) answer: BytesMut,
    pub(super) suspect: bool,
    pub(super) cancelled: bool,
}
