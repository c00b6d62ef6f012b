//! State of one online request.

use std::sync::Arc;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::EndpointKey;

use super::RequestSpec;
use super::attempt::Queued;
use super::attempt::Sent;
use super::blocks::Trial;

/// Stage of a request.
#[derive(Debug)]
pub(super) enum Stage {
    Queued(Queued),
    Sent(Sent),
}

/// Online request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) spec: Arc<RequestSpec>,
    pub(super) stage: Option<Stage>,
    pub(super) deadline: Timestamp,
    /// Attempts in flight.
    pub(super) in_flight: Vec<AttemptId>,
    /// Attempt whose tokens are delivered to the caller.
    pub(super) winner: Option<AttemptId>,
    /// Number of tokens delivered so far.
    pub(super) delivered: u32,
    /// Number of failed attempts that were retried.
    pub(super) failures: u32,
    /// Whether a retry was taken from the budget that has not been sent.
    pub(super) has_unsent_retry: bool,
    /// Number of attempts that agents did not forward.
    pub(super) refusals: u32,
    /// Endpoints that refused the request or failed, to be avoided at the next placement.
    pub(super) exclude: Vec<EndpointKey>,
    /// Time at which a waiting request is placed again.
    pub(super) retry_at: Timestamp,
    /// Second attempt that was started because the first one was slow.
    pub(super) hedge: Option<AttemptId>,
    /// Number of hedges that were not run.
    pub(super) unsent_hedges: u32,
    /// Whether its stream was moved away from a slow endpoint.
    pub(super) moved: bool,
    /// Trial that it holds from an attempt that did not run.
    pub(super) trial: Option<Trial>,
}

impl Request {
    pub(super) fn new(spec: Arc<RequestSpec>, now: Timestamp) -> Self {
        let deadline = now + spec.timeout;
        Self {
            spec,
            stage: Some(Stage::Queued(Queued::new())),
            deadline,
            in_flight: Vec::new(),
            winner: None,
            delivered: 0,
            failures: 0,
            has_unsent_retry: false,
            refusals: 0,
            exclude: Vec::new(),
            retry_at: now,
            hedge: None,
            unsent_hedges: 0,
            moved: false,
            trial: None,
        }
    }

    pub(super) const fn is_queued(&self) -> bool {
        matches!(self.stage, Some(Stage::Queued(_)))
    }
}
