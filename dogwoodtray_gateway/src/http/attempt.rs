//! Attempts to run an online request at an endpoint.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_http::ByteLease;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_runtime::catalogue;
use hyper::StatusCode;
use tokio::time::timeout;

use super::response;
use super::response::GatewayResponse;
use super::run::Run;
use super::trace::Trace;
use crate::caller::priority_of;
use crate::contents::place_cost;
use crate::contents::request_contents;
use crate::model::Organization;
use crate::model::Route;
use crate::model::RouteKind;
use crate::net::AnswerKind;
use crate::net::Exchange;
use crate::net::SendError;
use crate::net::send;
use crate::node::Node;
use crate::places::PlaceError;
use crate::places::PlaceParams;
use crate::places::PlacePermit;
use crate::request::EndpointRequest;
use crate::request::ResponseClass;
use crate::request::classify_response;
use crate::routing::RoutedService;
use crate::routing::Selection;
use crate::trial::Trial;
use crate::trial::TrialProgress;

/// Expected time from sending a request to its endpoint until the first byte of the response: the
/// round trip, and the prefill of a stream or a typical call of a plain service.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(60);

/// Wait for the response head of a stream after which the request is assumed to be queued in its
/// endpoint. An engine with a free place starts to respond within 40 ms.
const SLOW_HEAD_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of endpoints that reject a request before it fails. A rejection is a response
/// that the request was not run, or a connection that could not be opened.
const MAX_REJECTIONS: u32 = 6;

/// Maximum number of entries at which there is no endpoint, or another one, that a request tries, each of
/// them once, before they count like other rejections. Such an answer takes a round trip.
const MAX_MISDIRECTIONS: usize = 32;

/// Maximum number of endpoints that a request avoids after failures there. The oldest is dropped,
/// so that not all endpoints of a small service are excluded.
const MAX_EXCLUDED: usize = 2;

/// Time that a retry has to get a place, even if the latency objective has passed.
const RETRY_PLACE_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of a request that got no place in time.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reason why the attempts ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No endpoint had a place in time.
    NoPlace(Duration),
    /// The limit of the organization is reached.
    OverLimit(Duration),
    /// The exchange with the endpoint failed; the request may have run.
    OutcomeUnknown,
    /// The endpoint did not respond in time; the request may have run.
    EndpointTimeout,
    /// The request has a content that crashes endpoints.
    Blocked(Duration),
    /// The deadline of the request passed.
    DeadlineExceeded,
}

/// Request with the state of its attempts.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) node: Rc<Node>,
    pub(crate) route: Route,
    organization: Option<Arc<Organization>>,
    service: RoutedService,
    pub(crate) id: Name,
    pub(crate) endpoint_request: EndpointRequest,
    contents: Rc<Contents>,
    cost: PlaceCost,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) trace: Trace,
    /// Buffers of the requests of its organization.
    pub(crate) buffers: ByteBudget,
    _lease: ByteLease,
    excluded: Vec<Name>,
    /// Trial of blocked contents that the next attempt is.
    trial: Option<Trial>,
    /// Number of attempts that may have run the request.
    possible_runs: u32,
    /// Number of attempts that did not run the request.
    rejections: u32,
    /// Entries at which there was no endpoint of their name.
    misdirected: Vec<Name>,
}

impl Attempts {
    /// Creates the state of a request without attempts. The lease covers its body, the buffers are for
    /// its answer, and `times` holds its arrival and its deadline.
    pub(crate) fn new(
        node: Rc<Node>,
        (route, organization): (Route, Option<Arc<Organization>>),
        service: RoutedService,
        id: Name,
        (endpoint_request, buffers, lease): (EndpointRequest, ByteBudget, ByteLease),
        times: (Timestamp, Timestamp),
        trace: Trace,
    ) -> Self {
        let (arrived, deadline) = times;
        let contents = Rc::new(request_contents(&*node.dialect, &endpoint_request));
        let cost = place_cost(&*node.dialect, &route.name, &endpoint_request.headers);
        Self {
            node,
            route,
            organization,
            service,
            id,
            endpoint_request,
            contents,
            cost,
            arrived,
            deadline,
            trace,
            buffers,
            _lease: lease,
            excluded: Vec::new(),
            trial: None,
            possible_runs: 0,
            rejections: 0,
            misdirected: Vec::new(),
        }
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline - self.node.now()
    }

    /// Returns `true` if the request may be sent again.
    pub(crate) fn may_retry(&self) -> bool {
        self.possible_runs < self.route.max_attempts && !self.remaining().is_zero()
    }

    /// Returns `true` if the request may be sent only once more after endpoints may have run it.
    pub(crate) const fn is_last(&self) -> bool {
        self.possible_runs + 1 >= self.route.max_attempts
    }

    /// Sends the request to one endpoint after another until one runs it. `head_timeout` limits the
    /// wait for the head of each response.
    pub(crate) async fn execute(
        &mut self,
        resume_after: Option<u64>,
        head_timeout: Option<Duration>,
    ) -> Result<(Exchange, Run), AttemptError> {
        loop {
            self.update_trial()?;
            let permit = self.acquire_place(resume_after.is_some()).await?;
            // A content may have been blocked while the request waited.
            let key = self.trial.as_ref().map(Trial::key);
            if self.node.is_newly_blocked(&self.contents, key) {
                continue;
            }
            let trial = self.trial.take();
            let endpoint = self.node.directory.borrow().endpoint(&permit.endpoint).cloned();
            let mut run =
                Run::start(&self.node, &self.id, &self.contents, permit, self.is_stream(), trial);
            let remaining = self.remaining();
            let names = self.node.dialect.names();
            let Some(endpoint) = endpoint else {
                self.node.on_unusable_grant(run.endpoint());
                self.trial = run.on_not_run(TrialProgress::Unreachable);
                self.on_rejected(&mut run, PlaceOutcome::Withdrawn, &"endpoint left")?;
                continue;
            };
            let req =
                self.endpoint_request.request_for(names, &endpoint.id, remaining, resume_after);
            let req = match req {
                Ok(req) => req,
                Err(err) => {
                    self.trial = run.on_not_run(TrialProgress::Unreachable);
                    self.on_misdirected(&mut run, &err)?;
                    continue;
                }
            };
            self.trace.on_sent(&endpoint.id);
            let limit = head_timeout.map_or(remaining, |head_timeout| head_timeout.min(remaining));
            let kind = if self.is_stream() { AnswerKind::Stream } else { AnswerKind::Plain };
            let head = self.report_slow_head(run.permit(), send(&self.node, &endpoint, req, kind));
            let sent = self.node.drain.until_end(timeout(limit, head)).await;
            let Some(sent) = sent else {
                self.possible_runs += 1;
                self.on_failed(&mut run, PlaceOutcome::Withdrawn, &"drain ended");
                return Err(AttemptError::DeadlineExceeded);
            };
            if let Ok(Ok(exchange)) = &sent {
                self.node.on_answer_head(&endpoint, &exchange.parts, &self.id);
            }
            match sent {
                Ok(Ok(mut exchange)) => match classify_response(names, &exchange.parts, &self.id) {
                    class @ (ResponseClass::Answer | ResponseClass::Failure) => {
                        self.possible_runs += 1;
                        self.trace.on_head(exchange.body.framing());
                        if self.is_stream() && self.route.kind.is_repeatable() {
                            exchange.body.set_resumable();
                        }
                        if class == ResponseClass::Failure {
                            run.on_failure();
                            run.set_outcome(PlaceOutcome::Errored);
                        } else {
                            run.on_head();
                        }
                        return Ok((exchange, run));
                    }
                    ResponseClass::NotRun
                        if exchange.parts.status == StatusCode::MISDIRECTED_REQUEST =>
                    {
                        self.trial = run.on_not_run(TrialProgress::NotRun);
                        self.on_misdirected(&mut run, &exchange.parts.status)?;
                    }
                    ResponseClass::NotRun => {
                        let is_full = exchange.parts.status == StatusCode::SERVICE_UNAVAILABLE;
                        let place_outcome =
                            if is_full { PlaceOutcome::Full } else { PlaceOutcome::Withdrawn };
                        self.trial = run.on_not_run(TrialProgress::NotRun);
                        self.on_rejected(&mut run, place_outcome, &exchange.parts.status)?;
                    }
                    ResponseClass::Malformed => {
                        self.possible_runs += 1;
                        self.on_failed(&mut run, PlaceOutcome::Errored, &"damaged answer");
                        return Err(AttemptError::OutcomeUnknown);
                    }
                },
                Ok(Err(SendError::NotSent(err)))
                    if err.kind() == io::ErrorKind::ConnectionRefused =>
                {
                    self.trial = run.on_not_run(TrialProgress::Unreachable);
                    self.on_misdirected(&mut run, &err)?;
                }
                Ok(Err(SendError::NotSent(err))) => {
                    self.trial = run.on_not_run(TrialProgress::Unreachable);
                    self.on_rejected(&mut run, PlaceOutcome::Failed, &err)?;
                }
                Ok(Err(SendError::Lost(err))) => {
                    self.possible_runs += 1;
                    // After bytes that are no response, the gateway closed the connection itself.
                    if !err.is_parse() {
                        run.on_broken_off(&err);
                    }
                    if self.may_retry() {
                        run.reported().await;
                    }
                    self.on_failed(&mut run, PlaceOutcome::Failed, &err);
                    return Err(AttemptError::OutcomeUnknown);
                }
                Ok(Err(err @ SendError::BadStatus(_))) => {
                    self.possible_runs += 1;
                    self.on_failed(&mut run, PlaceOutcome::Errored, &err);
                    return Err(AttemptError::OutcomeUnknown);
                }
                Err(_) => {
                    self.possible_runs += 1;
                    let deadline_passed = self.remaining().is_zero();
                    let place_outcome = if deadline_passed {
                        PlaceOutcome::Withdrawn
                    } else {
                        PlaceOutcome::Failed
                    };
                    self.on_failed(&mut run, place_outcome, &"silence");
                    return Err(if deadline_passed {
                        AttemptError::DeadlineExceeded
                    } else {
                        AttemptError::EndpointTimeout
                    });
                }
            }
        }
    }

    /// Waits for the head of a response. For a stream, reports to the dispatcher at intervals that
    /// the request appears to be queued in its endpoint.
    async fn report_slow_head<T>(&self, permit: &PlacePermit, head: impl Future<Output = T>) -> T {
        tokio::pin!(head);
        if !self.is_stream() {
            return head.await;
        }
        loop {
            match timeout(SLOW_HEAD_INTERVAL, &mut head).await {
                Ok(head) => return head,
                Err(_) => permit.report_slow(),
            }
        }
    }

    pub(super) const fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Streaming { .. })
    }

    /// Opens a trial if the request has blocked contents and may run as one, or keeps the one that it
    /// holds. Returns an error if it must not run.
    fn update_trial(&mut self) -> Result<(), AttemptError> {
        let held = self.trial.take();
        let id = held.as_ref().map(|trial| trial.key().id);
        let blocked = self
            .node
            .check_contents(&self.id, &self.contents, id)
            .map_err(AttemptError::Blocked)?;
        let subject = TrialSubject::Request;
        self.trial = Trial::keep_or_open(held, &self.node, &self.id, subject, blocked);
        Ok(())
    }

    /// Waits for a place at an endpoint, of another service if the route moves to one meanwhile. A
    /// stream of which the caller has events leaves its service only if that has no endpoint left.
    async fn acquire_place(&mut self, has_output: bool) -> Result<PlacePermit, AttemptError> {
        loop {
            let params = self.place_params();
            let node = &self.node;
            let may_leave = |next: &Selection| {
                let is_stuck = !has_output || !node.routing.is_served(&self.service.name);
                matches!(next, Selection::Service(_)) && is_stuck
            };
            let place = node.while_selected(&self.service, may_leave, node.acquire_place(&params));
            let error = match node.drain.until_end(place).await {
                Some(Ok(Ok(permit))) => {
                    self.trial.iter_mut().for_each(Trial::on_granted);
                    return Ok(permit);
                }
                Some(Err(next)) => {
                    self.on_service_left(next);
                    continue;
                }
                Some(Ok(Err(error))) => error,
                None => PlaceError::Expired,
            };
            let (error, progress) = match error {
                PlaceError::Refused { retry_after } => {
                    (AttemptError::NoPlace(retry_after), TrialProgress::Refused)
                }
                PlaceError::OverLimit { retry_after } => {
                    (AttemptError::OverLimit(retry_after), TrialProgress::Refused)
                }
                PlaceError::Expired => {
                    (AttemptError::NoPlace(EXPIRED_RETRY_AFTER), TrialProgress::NoPlace)
                }
            };
            if let Some(trial) = &mut self.trial {
                trial.set_progress(progress);
            }
            return Err(error);
        }
    }

    fn place_params(&self) -> PlaceParams {
        let now = self.node.now();
        let objective = self.arrived + self.route.latency_objective.saturating_sub(FIRST_BYTE_TIME);
        let is_retry = self.possible_runs + self.rejections > 0;
        PlaceParams {
            service: Name::clone(&self.service.name),
            class: Class::Online,
            start_by: if is_retry { objective.max(now + RETRY_PLACE_TIMEOUT) } else { objective },
            due: self.deadline,
            expires_at: self.deadline,
            // One trial of an endpoint that failed is enough for a request.
            repeatable: self.route.kind.is_repeatable() && self.route.max_attempts > 1 && !is_retry,
            excluded: self.excluded.clone(),
            trial: self.trial.as_ref().map(|trial| trial.key().clone()),
            organization: self.organization.as_ref().map(|org| Name::clone(&org.name)),
            priority: priority_of(&self.route, self.organization.as_deref()),
            // A place at which the request did not run gave its token back.
            counted: self.possible_runs > 0,
            cost: self.cost,
        }
    }

    /// Follows the route of the request to another service.
    fn on_service_left(&mut self, next: Selection) {
        let fields: [(&str, &dyn Display); 2] = [("service", &self.service.name), ("next", &next)];
        self.node.events.emit(&catalogue::SERVICE_LEFT, Some(&self.id), &fields);
        if let Selection::Service(name) = next {
            self.service.name = name;
        }
    }

    /// Records that an endpoint did not run the request. Returns an error if it cannot be retried.
    fn on_rejected(
        &mut self,
        run: &mut Run,
        place_outcome: PlaceOutcome,
        reason: &dyn Display,
    ) -> Result<(), AttemptError> {
        self.rejections += 1;
        if place_outcome == PlaceOutcome::Full {
            self.trace.log_retry(run.endpoint(), reason);
            run.set_outcome(place_outcome);
        } else {
            self.on_failed(run, place_outcome, reason);
        }
        if self.rejections >= MAX_REJECTIONS || self.remaining().is_zero() {
            return Err(AttemptError::NoPlace(EXPIRED_RETRY_AFTER));
        }
        Ok(())
    }

    /// Records that there is no endpoint of its name at the entry of a place. Returns an error if the request
    /// cannot be retried. It may go on to each other entry once, as that takes a round trip only.
    fn on_misdirected(&mut self, run: &mut Run, reason: &dyn Display) -> Result<(), AttemptError> {
        let is_new = !self.misdirected.contains(run.endpoint());
        if !is_new || self.misdirected.len() >= MAX_MISDIRECTIONS {
            return self.on_rejected(run, PlaceOutcome::Failed, reason);
        }
        self.misdirected.push(Name::clone(run.endpoint()));
        self.rejections += 1;
        self.on_failed(run, PlaceOutcome::Failed, reason);
        if self.remaining().is_zero() {
            return Err(AttemptError::NoPlace(EXPIRED_RETRY_AFTER));
        }
        Ok(())
    }

    /// Records a failure of an endpoint and excludes it from the next attempts.
    fn on_failed(&mut self, run: &mut Run, place_outcome: PlaceOutcome, reason: &dyn Display) {
        self.trace.log_retry(run.endpoint(), reason);
        run.set_outcome(place_outcome);
        if self.excluded.len() >= MAX_EXCLUDED {
            self.excluded.remove(0);
        }
        self.excluded.push(Name::clone(run.endpoint()));
    }

    /// Returns the response to a request that no endpoint answered.
    pub(crate) fn error_response(&mut self, error: AttemptError) -> GatewayResponse {
        let (response, outcome) = match error {
            AttemptError::NoPlace(retry_after) if self.possible_runs == 0 => {
                (response::refused(retry_after), "refused")
            }
            AttemptError::OverLimit(retry_after) if self.possible_runs == 0 => {
                (response::over_rate(retry_after), "over limit")
            }
            AttemptError::Blocked(retry_after) if self.possible_runs == 0 => {
                (response::blocked(retry_after), "blocked")
            }
            AttemptError::DeadlineExceeded => {
                (response::plain(StatusCode::GATEWAY_TIMEOUT, "out of time\n"), "out of time")
            }
            AttemptError::NoPlace(_)
            | AttemptError::OverLimit(_)
            | AttemptError::Blocked(_)
            | AttemptError::OutcomeUnknown
            | AttemptError::EndpointTimeout => {
                let text = "the endpoint gave no answer; the request may have run\n";
                (response::plain(StatusCode::BAD_GATEWAY, text), "lost")
            }
        };
        self.trace.on_status(response.status().as_u16());
        self.trace.finish(outcome);
        response
    }
}
