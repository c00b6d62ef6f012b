//! Periodic work: timeouts, placement of waiting requests and hedging.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::OnlineAction;
use super::OnlineCore;
use super::RequestNo;
use super::attempt::Attempt;

/// Number of hedges that agents did not run, after which a request is not hedged any more.
const MAX_UNSENT_HEDGES: u32 = 3;

impl OnlineCore {
    pub(super) fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<OnlineAction>) {
        self.end_detached_attempts(now, actions);
        self.pool.tick(now);
        self.renew_trials(now);
        self.place_due_requests(now, actions);
        self.expire_requests(now, actions);
        if self.cfg.hedging {
            self.hedge_slow_requests(now, actions);
        }
    }

    fn end_detached_attempts(&mut self, now: Timestamp, actions: &mut Vec<OnlineAction>) {
        let lost: Vec<(AttemptId, bool)> = self
            .attempts
            .values()
            .filter(|a| a.link.is_none() && now - a.detached_at >= self.detach_timeout(a))
            .map(|a| (a.id, self.counts_as_crashed(a)))
            .collect();
        for (id, has_crashed) in lost {
            self.end_lost_attempt(now, id, has_crashed, actions);
        }
    }

    /// Returns `true` if the agent of an attempt is known and still disconnected, so that its endpoint
    /// counts as crashed.
    fn counts_as_crashed(&self, attempt: &Attempt) -> bool {
        let endpoint = self.endpoints.get_by_node(&attempt.node);
        endpoint.is_some_and(|endpoint| endpoint.link.is_none())
    }

    fn detach_timeout(&self, attempt: &Attempt) -> Duration {
        if attempt.spec.idempotent {
            self.cfg.detach_timeout
        } else {
            self.cfg.detach_timeout_non_idempotent
        }
    }

    fn place_due_requests(&mut self, now: Timestamp, actions: &mut Vec<OnlineAction>) {
        let due: Vec<RequestNo> = self
            .waiting
            .iter()
            .copied()
            .filter(|request_no| self.requests.get(request_no).is_some_and(|r| now >= r.retry_at))
            .collect();
        for request_no in due {
            self.place(now, request_no, actions);
        }
    }

    fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<OnlineAction>) {
        let max_wait = self.cfg.max_wait;
        let timed_out: Vec<RequestNo> = self
            .waiting
            .iter()
            .copied()
            .filter(|request_no| {
                let Some(request) = self.requests.get(request_no) else { return false };
                let time_left = request.deadline - now;
                let waited = request.spec.timeout.saturating_sub(time_left);
                now >= request.deadline || waited >= max_wait
            })
            .collect();
        for request_no in timed_out {
            self.refuse(now, request_no, "no endpoint had a free place in time", actions);
        }
        let expired: Vec<RequestNo> = self
            .requests
            .iter()
            .filter(|(request_no, r)| now >= r.deadline && !self.waiting.contains(request_no))
            .filter(|(_, r)| r.spec.idempotent)
            .map(|(request_no, _)| *request_no)
            .collect();
        for request_no in expired {
            self.refuse(now, request_no, "deadline passed", actions);
        }
    }

    fn hedge_slow_requests(&mut self, now: Timestamp, actions: &mut Vec<OnlineAction>) {
        let slow: Vec<RequestNo> = self
            .unanswered
            .iter()
            .copied()
            .filter(|request_no| self.should_hedge(now, *request_no))
            .collect();
        for request_no in slow {
            self.start_hedge(now, request_no, actions);
        }
    }

    fn should_hedge(&self, now: Timestamp, request_no: RequestNo) -> bool {
        let Some(request) = self.requests.get(&request_no) else { return false };
        let is_hedged = request.hedge.is_some() || request.unsent_hedges >= MAX_UNSENT_HEDGES;
        if is_hedged || !request.spec.idempotent || request.is_queued() {
            return false;
        }
        let Some(delay) = self.hedge_policy.hedge_delay(&request.spec.model) else {
            return false;
        };
        let sent =
            request.in_flight.iter().filter_map(|id| self.attempts.get(id)).map(|a| a.sent_at);
        sent.max().is_some_and(|sent| now - sent >= delay)
    }

    fn start_hedge(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get(&request_no) else { return };
        let in_flight = request.in_flight.iter().filter_map(|id| self.attempts.get(id));
        if in_flight.clone().any(|a| a.suspect) || self.pool.is_suspect(request.spec.content) {
            // A suspect request must not run on two endpoints at the same time.
            return;
        }
        let excluded = in_flight.map(|attempt| attempt.endpoint).collect();
        let id = Name::clone(&request.spec.id);
        let Some(key) = self.pick_endpoint(now, request_no, excluded, false) else { return };
        if !self.hedge_policy.try_consume_budget() {
            return;
        }
        actions.push(OnlineAction::Hedged { id });
        let hedge = self.start_attempt(now, request_no, key, None, actions);
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.hedge = hedge;
        }
    }

    /// Returns a hedge that no endpoint ran to the budget. Its request may be hedged again, unless this
    /// has failed several times.
    pub(super) fn return_hedge(&mut self, request_no: RequestNo) {
        self.hedge_policy.give_back();
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.unsent_hedges += 1;
            request.hedge = None;
        }
    }
}
