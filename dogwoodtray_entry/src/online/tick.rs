//! What happens as time passes.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;

use super::OnlineAction;
use super::OnlineCore;
use super::RequestNo;
use super::attempt::Attempt;

impl OnlineCore {
    pub(super) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<OnlineAction>) {
        self.give_up_detached(now, out);
        self.place_waiting(now, out);
        self.expire(now, out);
        if self.cfg.hedging {
            self.hedge_slow(now, out);
        }
    }

    fn give_up_detached(&mut self, now: Timestamp, out: &mut Vec<OnlineAction>) {
        let lost: Vec<(AttemptId, Option<u64>)> = self
            .attempts
            .values()
            .filter(|a| a.link.is_none() && now - a.detached_at >= self.detach_timeout(a))
            .map(|a| (a.id, self.death_of(a)))
            .collect();
        for (id, death) in lost {
            self.end_lost(now, id, death, out);
        }
    }

    /// Neither the agent nor its endpoint came back, so the VM counts as dead.
    fn death_of(&self, attempt: &Attempt) -> Option<u64> {
        let endpoint = self.endpoints.of_node(&attempt.node)?;
        endpoint.link.is_none().then_some(endpoint.incarnation.0)
    }

    fn detach_timeout(&self, attempt: &Attempt) -> Duration {
        if attempt.spec.idempotent { self.cfg.detach_timeout } else { self.cfg.detach_timeout_once }
    }

    fn place_waiting(&mut self, now: Timestamp, out: &mut Vec<OnlineAction>) {
        let due: Vec<RequestNo> = self
            .waiting
            .iter()
            .copied()
            .filter(|no| self.requests.get(no).is_some_and(|r| now >= r.retry_at))
            .collect();
        for no in due {
            self.place(now, no, out);
        }
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<OnlineAction>) {
        let max_wait = self.cfg.max_wait;
        let late: Vec<RequestNo> = self
            .waiting
            .iter()
            .copied()
            .filter(|no| {
                let Some(request) = self.requests.get(no) else { return false };
                let accepted = request.deadline - now;
                let waited = request.spec.timeout.saturating_sub(accepted);
                now >= request.deadline || waited >= max_wait
            })
            .collect();
        for no in late {
            self.refuse(now, no, "no endpoint had a free place in time", out);
        }
        let expired: Vec<RequestNo> = self
            .requests
            .iter()
            .filter(|(no, r)| now >= r.deadline && !self.waiting.contains(no))
            .filter(|(_, r)| r.spec.idempotent)
            .map(|(no, _)| *no)
            .collect();
        for no in expired {
            self.refuse(now, no, "deadline passed", out);
        }
    }

    fn hedge_slow(&mut self, now: Timestamp, out: &mut Vec<OnlineAction>) {
        let slow: Vec<RequestNo> =
            self.unanswered.iter().copied().filter(|no| self.is_slow(now, *no)).collect();
        for no in slow {
            self.start_hedge(now, no, out);
        }
    }

    fn is_slow(&self, now: Timestamp, no: RequestNo) -> bool {
        let Some(request) = self.requests.get(&no) else { return false };
        if request.hedged || !request.spec.idempotent || request.is_queued() {
            return false;
        }
        let Some(after) = self.hedge.should_hedge_after(&request.spec.model) else {
            return false;
        };
        let sent = request.out.iter().filter_map(|id| self.attempts.get(id)).map(|a| a.sent_at);
        sent.max().is_some_and(|sent| now - sent >= after)
    }

    fn start_hedge(&mut self, now: Timestamp, no: RequestNo, out: &mut Vec<OnlineAction>) {
        let Some(request) = self.requests.get(&no) else { return };
        let used = request.out.iter().filter_map(|id| self.attempts.get(id));
        if used.clone().any(|attempt| attempt.suspect) {
            // A suspect must not be inside two endpoints at a time.
            return;
        }
        let exclude = used.map(|attempt| attempt.endpoint).collect();
        let Some(key) = self.pick(now, no, exclude, false) else { return };
        if !self.hedge.try_spend() {
            return;
        }
        if let Some(request) = self.requests.get_mut(&no) {
            request.hedged = true;
            out.push(OnlineAction::Hedged { id: request.spec.id.clone() });
        }
        self.send_request(now, no, key, false, out);
    }
}
