//! Placing of requests on endpoints, retries and ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Verdict;
use dogwoodtray_policy::Ask;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::EndpointKey;

use super::OnlineAction;
use super::OnlineCore;
use super::RequestEnd;
use super::RequestNo;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::request::Stage;

/// Time until a request that found no place is placed again.
const PLACE_RETRY: Duration = Duration::from_millis(20);

impl OnlineCore {
    /// Places a queued request, or leaves it waiting.
    pub(super) fn place(&mut self, now: Timestamp, no: RequestNo, out: &mut Vec<OnlineAction>) {
        let Some(request) = self.requests.get(&no) else { return };
        let spec = Arc::clone(&request.spec);
        let verdict = self.quarantine.verdict(spec.content);
        if verdict == Verdict::Refused {
            return self.finish(now, no, RequestEnd::Quarantined, out);
        }
        let suspect = verdict == Verdict::Suspect;
        let exclude = request.exclude.clone();
        let mut key = self.pick(now, no, exclude, suspect);
        if key.is_none() && !self.requests[&no].exclude.is_empty() {
            // A place on an endpoint that failed before is better than none.
            key = self.pick(now, no, Vec::new(), suspect);
        }
        let Some(key) = key else {
            return self.wait(now, no);
        };
        self.waiting.remove(&no);
        self.send_request(now, no, key, suspect, out);
        self.probe_slow(now, no, key, out);
    }

    pub(super) fn pick(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        exclude: Vec<EndpointKey>,
        suspect: bool,
    ) -> Option<EndpointKey> {
        let ask = self.ask(no, exclude, suspect)?;
        let key = self.router.pick(now, &ask, &mut self.rng)?;
        let (_, endpoint) = self.endpoints.of_key(key)?;
        endpoint.link.map(|_| key)
    }

    pub(super) fn ask(
        &self,
        no: RequestNo,
        exclude: Vec<EndpointKey>,
        suspect: bool,
    ) -> Option<Ask> {
        let spec = &self.requests.get(&no)?.spec;
        Some(Ask {
            model: spec.model.clone(),
            cost: spec.cost,
            prefix: spec.prefix,
            class: Class::Online,
            exclude,
            suspect,
        })
    }

    fn wait(&mut self, now: Timestamp, no: RequestNo) {
        if let Some(request) = self.requests.get_mut(&no) {
            request.retry_at = now + PLACE_RETRY;
            self.waiting.insert(no);
        }
    }

    /// Sends an attempt of a request to an endpoint, the first one or one beside it.
    pub(super) fn send_request(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        key: EndpointKey,
        suspect: bool,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some((node, endpoint)) = self.endpoints.of_key(key) else { return };
        let (node, link) = (node.clone(), endpoint.link);
        let id = self.next_attempt_id();
        let Some(request) = self.requests.get_mut(&no) else { return };
        request.stage = match request.stage.take() {
            Some(Stage::Queued(queued)) => Some(Stage::Sent(queued.send())),
            Some(Stage::Sent(mut sent)) => {
                sent.send_another();
                Some(Stage::Sent(sent))
            }
            None => None,
        };
        request.out.push(id);
        let attempt = Attempt {
            id,
            owner: Owner::Request(no),
            spec: Arc::clone(&request.spec),
            node,
            endpoint: key,
            link,
            sent_at: now,
            last_token: None,
            detached_at: now,
            received: 0,
            tokens: request.delivered,
            resume_from: request.delivered,
            answer: BytesMut::new(),
            suspect,
            cancelled: false,
        };
        let time_left = request.deadline - now;
        self.send(now, attempt, time_left, out);
    }

    pub(super) fn send(
        &mut self,
        now: Timestamp,
        attempt: Attempt,
        time_left: Duration,
        out: &mut Vec<OnlineAction>,
    ) {
        let class = Self::class_of(&attempt);
        self.router.sent(now, attempt.endpoint, class, attempt.spec.cost);
        if attempt.suspect {
            self.router.suspect_sent(attempt.endpoint);
        }
        if let Some(link) = attempt.link {
            out.push(OnlineAction::Dispatch {
                link,
                attempt: attempt.id,
                spec: Arc::clone(&attempt.spec),
                time_left,
                resume_from: attempt.resume_from,
                suspect: attempt.suspect,
            });
        }
        self.attempts.insert(attempt.id, attempt);
    }

    /// Cancels an attempt. Its end still arrives from the agent.
    pub(super) fn cancel(&mut self, id: AttemptId, out: &mut Vec<OnlineAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.cancelled = true;
        if let Some(link) = attempt.link {
            out.push(OnlineAction::Cancel { link, attempt: id });
        }
    }

    /// Refuses a request, truthfully about whether it may have run.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        reason: &'static str,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get_mut(&no) else { return };
        let end = match request.stage.take() {
            Some(Stage::Queued(queued)) => match queued.refuse() {
                Ok(proof) => RequestEnd::NotRun { proof, reason },
                Err(()) => RequestEnd::Unknown { reason },
            },
            Some(Stage::Sent(_)) | None => RequestEnd::Unknown { reason },
        };
        self.finish(now, no, end, out);
    }

    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        end: RequestEnd,
        out: &mut Vec<OnlineAction>,
    ) {
        if self.requests.contains_key(&no) {
            out.push(OnlineAction::Finish { request: no, end });
        }
        self.forget_request(now, no, out);
    }

    pub(super) fn forget_request(
        &mut self,
        _now: Timestamp,
        no: RequestNo,
        out: &mut Vec<OnlineAction>,
    ) {
        self.waiting.remove(&no);
        self.unanswered.remove(&no);
        let Some(request) = self.requests.remove(&no) else { return };
        for id in request.out {
            self.cancel(id, out);
        }
    }
}
