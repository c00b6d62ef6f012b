//! Life cycle of a request and its attempts, encoded in types.
//!
//! A [`NotRunProof`] is created only from a queued request. A sent request returns to the queued
//! state without the mark that it may have run only if the agent reports for each of its attempts
//! that it was never forwarded.

use std::sync::Arc;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::EndpointKey;

use super::LinkNo;
use super::RequestNo;
use super::RequestSpec;
use super::blocks::Trial;
use super::event::AttemptOutcome;

/// Proof that a request was not run. Can be created only in this module.
#[derive(Debug)]
pub struct NotRunProof {
    _private: (),
}

/// A request without an attempt in flight.
#[derive(Debug)]
pub(super) struct Queued {
    may_have_run: bool,
}

impl Queued {
    /// Creates the state of a newly accepted request.
    pub(super) const fn new() -> Self {
        Self { may_have_run: false }
    }

    /// Returns a proof that the request was not run, or an error if an earlier attempt may have
    /// run.
    pub(super) const fn into_not_run_proof(self) -> Result<NotRunProof, ()> {
        if self.may_have_run { Err(()) } else { Ok(NotRunProof { _private: () }) }
    }

    /// Records the dispatch of the first attempt.
    pub(super) const fn send(self) -> Sent {
        Sent { may_have_run: self.may_have_run, in_flight: 1 }
    }
}

/// A request with at least one attempt in flight.
#[derive(Debug)]
pub(super) struct Sent {
    may_have_run: bool,
    in_flight: u32,
}

impl Sent {
    /// Records the dispatch of a concurrent attempt.
    pub(super) const fn add_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a copy of the request was sent as a probe. The reports of agents about the
    /// attempts of the request do not cover the copy.
    pub(super) const fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Records the end of one attempt. Returns the queued state if no attempt is left in flight.
    pub(super) const fn end_attempt(mut self, outcome: AttemptOutcome) -> Result<Queued, Self> {
        if !matches!(outcome, AttemptOutcome::NotRun(_)) {
            self.may_have_run = true;
        }
        self.in_flight -= 1;
        if self.in_flight == 0 { Ok(Queued { may_have_run: self.may_have_run }) } else { Err(self) }
    }
}

/// Owner of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    Request(RequestNo),
    Job,
    /// A copy of a request that tests whether a slow endpoint has recovered. Its answer is
    /// discarded.
    Probe,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) owner: Owner,
    pub(super) spec: Arc<RequestSpec>,
    pub(super) node: Name,
    pub(super) endpoint: EndpointKey,
    /// Link to the agent; `None` while the agent is disconnected.
    pub(super) link: Option<LinkNo>,
    pub(super) sent_at: Timestamp,
    pub(super) last_token: Option<Timestamp>,
    pub(super) detached_at: Timestamp,
    /// Number of contiguous bytes received from the start of the answer.
    pub(super) received_bytes: u64,
    /// Number of tokens generated, including those of earlier attempts.
    pub(super) tokens: u32,
    pub(super) resume_from: u32,
    /// Buffered answer. Tokens that are streamed to a caller are not buffered.
    pub(super) answer: BytesMut,
    /// Whether its request was present at a crash and has not been answered since, or is a trial.
    pub(super) suspect: bool,
    /// Trial that it is, if it runs to find out whether its blocked contents still crash endpoints.
    pub(super) trial: Option<Trial>,
    pub(super) cancelled: bool,
}
