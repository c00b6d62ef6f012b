//! Placement, dispatch, cancellation and completion of requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::EndpointKey;
use dogwoodtray_policy::RouteRequest;

use super::OnlineAction;
use super::OnlineCore;
use super::RequestEnd;
use super::RequestNo;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::blocks::Admission;
use super::blocks::CONTENT_BLOCKED;
use super::blocks::Trial;
use super::request::Stage;

/// Delay before the next placement of a request that found no free place.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(20);

impl OnlineCore {
    /// Dispatches a queued request to an endpoint, or keeps it waiting if none has a free place.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get_mut(&request_no) else { return };
        let spec = Arc::clone(&request.spec);
        let held = request.trial.take();
        let admission = self.admit(now, TrialSubject::Request, &spec, held.as_ref());
        let held = match admission {
            Admission::Trial(_) => held,
            _ => {
                held.inspect(|trial| self.end_trial(now, trial, false));
                None
            }
        };
        let tried = match admission {
            Admission::Allowed => None,
            Admission::Trial(contents) => Some(contents),
            Admission::Undecided => return self.wait_for_place(now, request_no),
            Admission::Blocked { content, retry_after } => {
                let id = Name::clone(&spec.id);
                actions.push(OnlineAction::Blocked { id, content, retry_after });
                let end = self.end_without_answer(request_no, CONTENT_BLOCKED, Some(retry_after));
                return self.finish(now, request_no, end, actions);
            }
        };
        let is_trial = tried.is_some();
        let suspect = is_trial || self.pool.is_suspect(spec.content);
        let Some(key) = self.pick_for_next_attempt(now, request_no, is_trial, suspect) else {
            self.keep_trial(request_no, held);
            return self.wait_for_place(now, request_no);
        };
        let mut trial = None;
        if let Some(contents) = tried {
            let is_new = held.is_none();
            trial = self.start_trial(now, TrialSubject::Request, contents, held);
            if trial.is_none() {
                return self.wait_for_place(now, request_no);
            }
            if is_new {
                actions.push(OnlineAction::Tried { id: Name::clone(&spec.id) });
            }
        }
        self.waiting.remove(&request_no);
        self.start_attempt(now, request_no, key, trial, actions);
        if !suspect {
            self.probe_slow_endpoint(now, request_no, key, actions);
        }
    }

    /// Keeps a trial for the next attempt of a request.
    pub(super) fn keep_trial(&mut self, request_no: RequestNo, trial: Option<Trial>) {
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.trial = trial;
        }
    }

    /// Picks an endpoint, if possible one where no earlier attempt failed. A trial runs only where no
    /// suspect runs, other suspects prefer such endpoints.
    fn pick_for_next_attempt(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        is_trial: bool,
        suspect: bool,
    ) -> Option<EndpointKey> {
        let exclude = self.requests.get(&request_no)?.exclude.clone();
        let mut key = self.pick_endpoint(now, request_no, exclude.clone(), suspect);
        if suspect && !is_trial {
            key = key.or_else(|| self.pick_endpoint(now, request_no, exclude.clone(), false));
        }
        if !exclude.is_empty() {
            key = key.or_else(|| self.pick_endpoint(now, request_no, Vec::new(), is_trial));
        }
        key
    }

    pub(super) fn pick_endpoint(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        exclude: Vec<EndpointKey>,
        suspect: bool,
    ) -> Option<EndpointKey> {
        let route_request = self.route_request(request_no, exclude, suspect)?;
        let key = self.router.pick(now, &route_request, &mut self.rng)?;
        let (_, endpoint) = self.endpoints.get_by_key(key)?;
        endpoint.link.map(|_| key)
    }

    pub(super) fn route_request(
        &self,
        request_no: RequestNo,
        exclude: Vec<EndpointKey>,
        suspect: bool,
    ) -> Option<RouteRequest> {
        let spec = &self.requests.get(&request_no)?.spec;
        Some(RouteRequest {
            model: spec.model.clone(),
            cost: spec.cost,
            prefix: spec.prefix,
            class: Class::Online,
            exclude,
            suspect,
        })
    }

    fn wait_for_place(&mut self, now: Timestamp, request_no: RequestNo) {
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.retry_at = now + PLACE_RETRY_DELAY;
            self.waiting.insert(request_no);
        }
    }

    /// Starts an attempt of a request at an endpoint, and returns its id. Other attempts may already be in
    /// flight.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        key: EndpointKey,
        trial: Option<Trial>,
        actions: &mut Vec<OnlineAction>,
    ) -> Option<AttemptId> {
        let (node, endpoint) = self.endpoints.get_by_key(key)?;
        let (node, link) = (node.clone(), endpoint.link);
        let id = self.next_attempt_id();
        let request = self.requests.get_mut(&request_no)?;
        request.stage = match request.stage.take() {
            Some(Stage::Queued(queued)) => Some(Stage::Sent(queued.send())),
            Some(Stage::Sent(mut sent)) => {
                sent.add_attempt();
                Some(Stage::Sent(sent))
            }
            None => None,
        };
        request.in_flight.push(id);
        request.has_unsent_retry = false;
        let attempt = Attempt {
            id,
            owner: Owner::Request(request_no),
            spec: Arc::clone(&request.spec),
            node,
            endpoint: key,
            link,
            sent_at: now,
            last_token: None,
            detached_at: now,
            received_bytes: 0,
            tokens: request.delivered,
            resume_from: request.delivered,
            answer: BytesMut::new(),
            suspect: trial.is_some() || self.pool.is_suspect(request.spec.content),
            trial,
            cancelled: false,
        };
        let time_left = request.deadline - now;
        self.dispatch(now, attempt, time_left, actions);
        Some(id)
    }

    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        attempt: Attempt,
        time_left: Duration,
        actions: &mut Vec<OnlineAction>,
    ) {
        let class = Self::class_of(&attempt);
        self.router.record_sent(now, attempt.endpoint, class, attempt.spec.cost);
        if attempt.suspect {
            self.router.record_suspect_sent(attempt.endpoint);
        }
        if let Some(link) = attempt.link {
            actions.push(OnlineAction::Dispatch {
                link,
                attempt: attempt.id,
                spec: Arc::clone(&attempt.spec),
                time_left,
                resume_from: attempt.resume_from,
                is_trial: attempt.trial.is_some(),
            });
        }
        self.attempts.insert(attempt.id, attempt);
    }

    /// Requests the cancellation of an attempt. The agent still reports how the attempt ended.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, actions: &mut Vec<OnlineAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.cancelled = true;
        if let Some(link) = attempt.link {
            actions.push(OnlineAction::Cancel { link, attempt: id });
        }
    }

    /// Ends a request without an answer.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        reason: &'static str,
        actions: &mut Vec<OnlineAction>,
    ) {
        let end = self.end_without_answer(request_no, reason, None);
        self.finish(now, request_no, end, actions);
    }

    /// Returns the end of a request without an answer: not run only with a proof of that, and unknown
    /// otherwise.
    fn end_without_answer(
        &mut self,
        request_no: RequestNo,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> RequestEnd {
        let stage = self.requests.get_mut(&request_no).and_then(|request| request.stage.take());
        if let Some(Stage::Queued(queued)) = stage
            && let Ok(proof) = queued.into_not_run_proof()
        {
            return RequestEnd::NotRun { proof, reason, retry_after };
        }
        RequestEnd::Unknown { reason }
    }

    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        end: RequestEnd,
        actions: &mut Vec<OnlineAction>,
    ) {
        if self.requests.contains_key(&request_no) {
            actions.push(OnlineAction::Finish { request: request_no, end });
        }
        self.remove_request(now, request_no, actions);
    }

    pub(super) fn remove_request(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        actions: &mut Vec<OnlineAction>,
    ) {
        self.waiting.remove(&request_no);
        self.unanswered.remove(&request_no);
        let Some(request) = self.requests.remove(&request_no) else { return };
        if request.has_unsent_retry {
            self.retry_budget.give_back();
        }
        if let Some(trial) = &request.trial {
            self.end_trial(now, trial, false);
        }
        for id in request.in_flight {
            self.cancel_attempt(id, actions);
        }
    }
}
