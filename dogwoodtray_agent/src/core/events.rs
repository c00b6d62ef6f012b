//! Handling of events from entries and of timeouts.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::Class;

use super::AgentAction;
use super::AgentEvent;
use super::AgentMessage;
use super::AttemptOutcome;
use super::EntryLinkId;
use super::NotRun;
use super::Work;
use super::attempt::Attempt;
use super::attempt::Stage;
use super::attempt::is_ended;
use super::reply;
use super::state::AgentCore;

/// Time for which the response of an ended attempt is retained for reattachment.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Time after which an idempotent attempt without an attached entry is cancelled.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the deadline of a request during which the endpoint may still respond. It is shorter
/// than the time for which an entry keeps the caller of a non-idempotent request waiting.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// # Events
impl AgentCore {
    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: AgentEvent, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::PeerUp { peer } => self.on_peer_up(now, peer, out),
            AgentEvent::PeerDown { peer } => self.on_peer_down(now, peer),
            AgentEvent::PeerBacklog { peer, backlog } => {
                self.credit_offers.set_backlog(peer, backlog, &self.cfg.models);
            }
            AgentEvent::Dispatch { peer, work } => self.on_dispatch(now, peer, work, out),
            AgentEvent::Cancel { attempt } => self.on_cancel(now, attempt, out),
            AgentEvent::Reattach { peer, attempt, offset } => {
                self.on_reattach(peer, attempt, offset, out);
            }
            AgentEvent::Ack { attempt } => self.on_ack(attempt),
            AgentEvent::Endpoint { attempt, event } => self.on_endpoint(now, attempt, event, out),
            AgentEvent::Health { up } => self.on_health(now, up, out),
            AgentEvent::Drain => self.on_drain(now, out),
            AgentEvent::Tick => self.on_tick(now, out),
        }
        self.offer_credits(now, out);
    }

    pub(super) fn on_peer_up(
        &mut self,
        now: Timestamp,
        peer: EntryLinkId,
        out: &mut Vec<AgentAction>,
    ) {
        self.peers.push(peer);
        self.send_heartbeats(now, out);
    }

    pub(super) fn on_peer_down(&mut self, now: Timestamp, peer: EntryLinkId) {
        self.peers.retain(|other| *other != peer);
        self.credit_offers.remove(peer);
        for (_, attempt) in self.attempts.iter_mut() {
            if attempt.peer == Some(peer) {
                attempt.peer = None;
                attempt.idle_since = now;
            }
        }
    }

    pub(super) fn on_dispatch(
        &mut self,
        now: Timestamp,
        peer: EntryLinkId,
        work: Work,
        out: &mut Vec<AgentAction>,
    ) {
        if self.attempts.get(work.attempt).is_some() {
            return self.on_reattach(peer, work.attempt, 0, out);
        }
        if self.attempts.is_rejected(work.attempt) {
            // A delayed duplicate of an attempt that was already reported as ended must not run.
            return out.push(reply::done_without_state(
                peer,
                work.attempt,
                AttemptOutcome::Unknown,
            ));
        }
        if let Some(reason) = self.not_run_reason(now, &work) {
            let outcome = AttemptOutcome::NotRun(reason);
            return out.push(reply::done_without_state(peer, work.attempt, outcome));
        }
        if work.class == Class::Batch {
            self.credit_offers.record_use(peer);
        }
        let class = work.class;
        let cost = work.cost;
        let deadline = work.deadline.map(|left| now + left);
        let id = self.attempts.insert(peer, work, now);
        self.notify_admission(now, AdmissionEvent::Arrive { id, class, cost, deadline }, out);
    }

    /// Returns the reason to reject a dispatch, or `None` if the attempt may be queued.
    pub(super) fn not_run_reason(&mut self, now: Timestamp, work: &Work) -> Option<NotRun> {
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        if !self.endpoint_up {
            return Some(NotRun::EndpointDown);
        }
        if !self.cfg.models.contains(&work.model) {
            return Some(NotRun::WrongModel);
        }
        if work.deadline.is_some_and(|left| left.is_zero()) {
            return Some(NotRun::Deadline);
        }
        // An item is owed; its entry holds it until a trial is due.
        if work.class == Class::Online && !work.is_trial && self.is_blocked(now, work) {
            return Some(NotRun::Blocked);
        }
        let is_trial = |(_, a): (_, &Attempt)| a.work.is_trial && !is_ended(a.stage);
        if work.is_trial && self.attempts.iter().any(is_trial) {
            // If the endpoint crashed with two trials running, the cause could not be identified.
            return Some(NotRun::Busy);
        }
        if let Some((claim, epoch)) = &work.fence
            && !self.fencing_tokens.accept(claim, *epoch)
        {
            return Some(NotRun::Fenced);
        }
        None
    }

    fn is_blocked(&self, now: Timestamp, work: &Work) -> bool {
        let verdict = self.pool.check(TrialSubject::Request, now, &work.contents(), None);
        verdict != ContentVerdict::Allowed
    }

    pub(super) fn on_cancel(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            // The dispatch may still be in transit; it is rejected when it arrives.
            return self.attempts.reject_up_to(id);
        };
        let work_id = attempt.work_id;
        match attempt.stage {
            Stage::Queued => {
                attempt.stage = Stage::Ended(AttemptOutcome::NotRun(NotRun::Cancelled));
                attempt.idle_since = now;
                reply::send_done(id, attempt, out);
                self.notify_admission(now, AdmissionEvent::Withdrawn { id: work_id }, out);
            }
            Stage::Running => {
                attempt.stage = Stage::Aborting(AttemptOutcome::Cancelled);
                out.push(AgentAction::Abort { attempt: id });
                self.notify_admission(now, AdmissionEvent::Withdrawn { id: work_id }, out);
            }
            Stage::Broken | Stage::Undetermined | Stage::Aborting(_) | Stage::Ended(_) => {}
        }
    }

    pub(super) fn on_reattach(
        &mut self,
        peer: EntryLinkId,
        id: AttemptId,
        offset: u64,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.peer = Some(peer);
            return reply::send_missing(id, attempt, offset, out);
        }
        let outcome = if self.attempts.is_rejected(id) {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::NotRun(NotRun::NeverReceived)
        };
        self.attempts.reject_up_to(id);
        out.push(reply::done_without_state(peer, id, outcome));
    }

    pub(super) fn on_ack(&mut self, id: AttemptId) {
        if self.attempts.get(id).is_some_and(|attempt| is_ended(attempt.stage)) {
            self.attempts.remove(id);
        }
    }

    pub(super) fn on_drain(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.notify_admission(now, AdmissionEvent::Leaving, out);
        self.send_heartbeats(now, out);
        self.preempt_idempotent_batch(now, out);
    }

    /// Returns batch work to its entries, so that a planned shutdown does not wait for it.
    pub(super) fn preempt_idempotent_batch(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let batch: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.work.class == Class::Batch && a.work.idempotent)
            .filter(|(_, a)| matches!(a.stage, Stage::Queued | Stage::Running))
            .map(|(id, _)| *id)
            .collect();
        for id in batch {
            self.preempt(now, id, out);
        }
    }

    pub(super) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        self.notify_admission(now, AdmissionEvent::Tick, out);
        self.resolve_breaks(now, out);
        self.pool.tick(now);
        if self.last_heartbeat.is_none_or(|last| now - last >= HEARTBEAT_INTERVAL) {
            self.send_heartbeats(now, out);
        }
        let mut orphans = Vec::new();
        let mut expired = Vec::new();
        let mut stalled = Vec::new();
        for (id, attempt) in self.attempts.iter() {
            let idle = now - attempt.idle_since;
            if is_ended(attempt.stage) {
                if idle >= ENDED_RETENTION {
                    expired.push(*id);
                }
            } else if attempt.peer.is_none() && attempt.work.idempotent && idle >= ORPHAN_TIMEOUT {
                orphans.push(*id);
            } else if attempt.stage == Stage::Running
                && now - attempt.progress_at >= self.stall_limit(attempt)
            {
                stalled.push(*id);
            }
        }
        for id in stalled {
            self.abort(id, AttemptOutcome::Failed, out);
        }
        for id in orphans {
            self.on_cancel(now, id, out);
        }
        for id in expired {
            self.attempts.remove(id);
        }
    }

    /// Returns the time without data after which an exchange is aborted. A plain service may send
    /// nothing for a long time, but the limit is capped shortly after the deadline: the response is
    /// no longer needed, and a stalled connection would delay a drain and the completion of the
    /// at-most-once record.
    pub(super) fn stall_limit(&self, attempt: &Attempt) -> Duration {
        let limit = self.cfg.stall_timeout;
        attempt.work.deadline.map_or(limit, |left| limit.min(left + DEADLINE_GRACE))
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        self.last_heartbeat = Some(now);
        for peer in &self.peers {
            out.push(AgentAction::Send { peer: *peer, message: AgentMessage::Heartbeat });
        }
    }

    pub(super) fn offer_credits(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let free = self.free_batch();
        if free == 0 {
            return;
        }
        for (peer, places) in self.credit_offers.make_offers(now, free) {
            out.push(AgentAction::Send { peer, message: AgentMessage::Credit { places } });
        }
    }
}
