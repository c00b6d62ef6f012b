//! The decisions themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Quarantine;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Verdict;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::AdmissionPolicy;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::RefuseReason;
use dogwoodtray_policy::WorkId;

use super::AgentAction;
use super::AgentEvent;
use super::AgentMessage;
use super::AttemptEnd;
use super::EndpointEvent;
use super::NotRun;
use super::PeerId;
use super::Work;
use super::attempt::Attempt;
use super::attempt::Attempts;
use super::attempt::Stage;
use super::credit::CreditBook;
use super::fence::FenceGate;
use super::reply;

/// Time that an ended answer is retained for reattachment.
const RETENTION: Duration = Duration::from_secs(30);

/// Time that an idempotent attempt runs on without an entry.
const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// Failed health checks in a row after which the endpoint counts as down.
const MAX_MISSED_CHECKS: u32 = 3;

/// Suspects that are remembered.
const MAX_SUSPECTS: usize = 4096;

/// Time beyond the deadline of a request in which its endpoint may still answer. It lies below the
/// time that an entry keeps the caller of a non-idempotent request waiting.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of [`AgentCore`].
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Incarnation of the process; part of the ids of endpoint deaths.
    pub incarnation: Incarnation,
    /// Models or services that the endpoint serves.
    pub models: Vec<Name>,
    /// Time without any byte from the endpoint after which an exchange is given up. Connections
    /// can go silent for good while new ones work, so health checks do not show this.
    pub stall_timeout: Duration,
}

/// Decides what an agent does.
#[derive(Debug)]
pub struct AgentCore {
    cfg: AgentConfig,
    admission: Box<dyn AdmissionPolicy>,
    attempts: Attempts,
    fences: FenceGate,
    credits: CreditBook,
    quarantine: Quarantine,
    peers: Vec<PeerId>,
    leaving: bool,
    endpoint_up: bool,
    missed_checks: u32,
    deaths: u64,
    last_heartbeat: Option<Timestamp>,
    decided: Vec<AdmissionAction>,
}

/// # Construction and state
impl AgentCore {
    /// Creates an agent whose endpoint is taken to be up.
    #[must_use]
    pub fn new(cfg: AgentConfig, admission: Box<dyn AdmissionPolicy>) -> Self {
        Self {
            cfg,
            admission,
            attempts: Attempts::default(),
            fences: FenceGate::default(),
            credits: CreditBook::default(),
            quarantine: Quarantine::new(MAX_SUSPECTS),
            peers: Vec::new(),
            leaving: false,
            endpoint_up: true,
            missed_checks: 0,
            deaths: 0,
            last_heartbeat: None,
            decided: Vec::new(),
        }
    }

    /// Tells whether a graceful shutdown has begun.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether the endpoint answers.
    #[must_use]
    pub const fn is_endpoint_up(&self) -> bool {
        self.endpoint_up
    }

    /// Returns the free places for online work.
    #[must_use]
    pub fn free_online(&self) -> u32 {
        if self.takes_work() { self.admission.free_online() } else { 0 }
    }

    /// Returns the free places for batch work.
    #[must_use]
    pub fn free_batch(&self) -> u32 {
        if self.takes_work() { self.admission.free_batch() } else { 0 }
    }

    /// Returns the number of online requests that wait.
    #[must_use]
    pub fn queued_online(&self) -> u32 {
        self.admission.queued_online()
    }

    /// Returns the number of attempts that wait or run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| !matches!(a.stage, Stage::Ended(_))).count()
    }

    /// Tells whether no attempt waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|(_, a)| is_ended(a.stage))
    }

    /// Returns the number of ended attempts whose answer an attached entry has not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        let ended = |stage| matches!(stage, Stage::Ended(_));
        self.attempts.iter().filter(|(_, a)| ended(a.stage) && a.peer.is_some()).count()
    }

    /// Sets the balance between the classes: 0.0 puts the online tail first, 1.0 batch throughput.
    pub fn set_batch_weight(&mut self, weight: f64) {
        self.admission.set_batch_weight(weight);
    }

    /// Takes over suspicions heard from an entry.
    pub fn merge_suspicions(&mut self, suspicions: &[Suspicion]) {
        self.quarantine.merge(suspicions);
    }

    /// Returns suspicions to pass on.
    pub fn gossip(&mut self, limit: usize) -> Vec<Suspicion> {
        self.quarantine.gossip(limit)
    }

    const fn takes_work(&self) -> bool {
        self.endpoint_up && !self.leaving
    }
}

/// # Events
impl AgentCore {
    /// Handles one event and appends the actions that follow.
    pub fn handle(&mut self, now: Timestamp, event: AgentEvent, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::PeerUp { peer } => self.on_peer_up(now, peer, out),
            AgentEvent::PeerDown { peer } => self.on_peer_down(now, peer),
            AgentEvent::PeerBacklog { peer, backlog } => {
                self.credits.report(peer, backlog, &self.cfg.models);
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

    fn on_peer_up(&mut self, now: Timestamp, peer: PeerId, out: &mut Vec<AgentAction>) {
        self.peers.push(peer);
        self.send_heartbeats(now, out);
    }

    fn on_peer_down(&mut self, now: Timestamp, peer: PeerId) {
        self.peers.retain(|known| *known != peer);
        self.credits.remove(peer);
        for (_, attempt) in self.attempts.iter_mut() {
            if attempt.peer == Some(peer) {
                attempt.peer = None;
                attempt.idle_since = now;
            }
        }
    }

    fn on_dispatch(
        &mut self,
        now: Timestamp,
        peer: PeerId,
        mut work: Work,
        out: &mut Vec<AgentAction>,
    ) {
        if self.attempts.get(work.attempt).is_some() {
            return self.on_reattach(peer, work.attempt, 0, out);
        }
        if self.attempts.may_be_forgotten(work.attempt) {
            // A late copy of an attempt that was already reported as ended must not run.
            return out.push(reply::ended_unseen(peer, work.attempt, AttemptEnd::Unknown));
        }
        let verdict = self.quarantine.verdict(work.content);
        work.suspect |= verdict != Verdict::Clear;
        if let Some(reason) = self.refusal(&work) {
            let end = AttemptEnd::NotRun(reason);
            return out.push(reply::ended_unseen(peer, work.attempt, end));
        }
        if work.class == Class::Batch {
            self.credits.used(peer);
        }
        let class = work.class;
        let cost = work.cost;
        let deadline = work.deadline.map(|left| now + left);
        let id = self.attempts.insert(peer, work, now);
        self.admit(now, AdmissionEvent::Arrive { id, class, cost, deadline }, out);
    }

    fn refusal(&mut self, work: &Work) -> Option<NotRun> {
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
        if self.quarantine.verdict(work.content) == Verdict::Refused {
            return Some(NotRun::Quarantined);
        }
        if work.suspect && self.attempts.iter().any(|(_, a)| a.work.suspect && !is_ended(a.stage)) {
            // Two suspects inside one endpoint could not be told apart if it died.
            return Some(NotRun::Busy);
        }
        if let Some((claim, epoch)) = &work.fence
            && !self.fences.admit(claim, *epoch)
        {
            return Some(NotRun::Fenced);
        }
        None
    }

    fn on_cancel(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            // The dispatch may still be on its way; it is refused when it arrives.
            return self.attempts.remember_forgotten(id);
        };
        let work = attempt.id;
        match attempt.stage {
            Stage::Queued => {
                attempt.stage = Stage::Ended(AttemptEnd::NotRun(NotRun::Cancelled));
                attempt.idle_since = now;
                reply::done(id, attempt, out);
                self.admit(now, AdmissionEvent::Withdrawn { id: work }, out);
            }
            Stage::Running => {
                attempt.stage = Stage::Aborting(AttemptEnd::Cancelled);
                out.push(AgentAction::Abort { attempt: id });
                self.admit(now, AdmissionEvent::Withdrawn { id: work }, out);
            }
            Stage::Broken | Stage::Aborting(_) | Stage::Ended(_) => {}
        }
    }

    fn on_reattach(
        &mut self,
        peer: PeerId,
        id: AttemptId,
        offset: u64,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.peer = Some(peer);
            return reply::catch_up(id, attempt, offset, out);
        }
        let end = if self.attempts.may_be_forgotten(id) {
            AttemptEnd::Unknown
        } else {
            AttemptEnd::NotRun(NotRun::NeverReceived)
        };
        self.attempts.remember_forgotten(id);
        out.push(reply::ended_unseen(peer, id, end));
    }

    fn on_ack(&mut self, id: AttemptId) {
        if self.attempts.get(id).is_some_and(|attempt| is_ended(attempt.stage)) {
            self.attempts.forget(id);
        }
    }

    fn on_drain(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.admit(now, AdmissionEvent::Leaving, out);
        self.send_heartbeats(now, out);
        self.preempt_idempotent_batch(now, out);
    }

    /// Hands batch work back, so that a planned stop does not wait for it.
    fn preempt_idempotent_batch(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
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

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        self.admit(now, AdmissionEvent::Tick, out);
        if self.last_heartbeat.is_none_or(|last| now - last >= HEARTBEAT_INTERVAL) {
            self.send_heartbeats(now, out);
        }
        let mut orphans = Vec::new();
        let mut expired = Vec::new();
        let mut stalled = Vec::new();
        for (id, attempt) in self.attempts.iter() {
            let idle = now - attempt.idle_since;
            if is_ended(attempt.stage) {
                if idle >= RETENTION {
                    expired.push(*id);
                }
            } else if attempt.peer.is_none() && attempt.work.idempotent && idle >= ORPHAN_GRACE {
                orphans.push(*id);
            } else if attempt.stage == Stage::Running
                && now - attempt.progress_at >= self.stall_limit(attempt)
            {
                stalled.push(*id);
            }
        }
        for id in stalled {
            self.abort(id, AttemptEnd::Failed, out);
        }
        for id in orphans {
            self.on_cancel(now, id, out);
        }
        for id in expired {
            self.attempts.forget(id);
        }
    }

    /// Longest silence of the endpoint in one exchange. A plain service may be silent for long,
    /// but not far beyond the deadline: nobody waits for the answer any more, and a connection
    /// that went silent would hold up a drain and the end of the at-most-once record.
    fn stall_limit(&self, attempt: &Attempt) -> Duration {
        let limit = self.cfg.stall_timeout;
        attempt.work.deadline.map_or(limit, |left| limit.min(left + DEADLINE_GRACE))
    }

    fn send_heartbeats(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        self.last_heartbeat = Some(now);
        for peer in &self.peers {
            out.push(AgentAction::Send { peer: *peer, message: AgentMessage::Heartbeat });
        }
    }

    fn offer_credits(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let free = self.free_batch();
        if free == 0 {
            return;
        }
        for (peer, places) in self.credits.offer(now, free) {
            out.push(AgentAction::Send { peer, message: AgentMessage::Credit { places } });
        }
    }
}

/// # Endpoint
impl AgentCore {
    fn on_endpoint(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        event: EndpointEvent,
        out: &mut Vec<AgentAction>,
    ) {
        match event {
            EndpointEvent::Head { status, content_type } => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.status = status;
                    attempt.content_type = content_type;
                }
            }
            EndpointEvent::Data { data, tokens } => self.on_data(now, id, data, tokens, out),
            EndpointEvent::End => {
                let Some(attempt) = self.attempts.get(id) else { return };
                let status = attempt.status;
                if attempt.work.suspect {
                    self.quarantine.record_completion(attempt.work.content);
                }
                self.end(now, id, AttemptEnd::Answered { status }, out);
            }
            EndpointEvent::ConnectFailed => {
                self.end(now, id, AttemptEnd::NotRun(NotRun::EndpointDown), out);
                out.push(AgentAction::CheckHealth);
            }
            EndpointEvent::Broken => {
                if let Some(attempt) = self.attempts.get_mut(id)
                    && attempt.stage == Stage::Running
                {
                    attempt.stage = Stage::Broken;
                    return out.push(AgentAction::CheckHealth);
                }
                self.end_aborted(now, id, out);
            }
            EndpointEvent::Aborted => self.end_aborted(now, id, out),
        }
    }

    fn on_data(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        data: Bytes,
        tokens: u32,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.stage != Stage::Running {
            return;
        }
        let work = attempt.id;
        let first = attempt.tokens == attempt.work.resume_from && tokens > 0;
        let offset = attempt.answer.len() as u64;
        attempt.answer.extend_from_slice(&data);
        attempt.tokens += tokens;
        attempt.progress_at = now;
        let so_far = attempt.tokens;
        if let Some(peer) = attempt.peer {
            let message = AgentMessage::Chunk { attempt: id, offset, data, tokens: so_far };
            out.push(AgentAction::Send { peer, message });
        }
        if first {
            self.admit(now, AdmissionEvent::FirstToken { id: work }, out);
        }
        if tokens > 0 {
            self.admit(now, AdmissionEvent::Progress { id: work, tokens: so_far }, out);
        }
    }

    fn end_aborted(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if let Stage::Aborting(end) = attempt.stage {
            self.end(now, id, end, out);
        }
    }

    fn end(&mut self, now: Timestamp, id: AttemptId, end: AttemptEnd, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if is_ended(attempt.stage) {
            return;
        }
        // A whole answer stands even if an abort was already under way.
        attempt.stage = Stage::Ended(end);
        attempt.idle_since = now;
        let work = attempt.id;
        reply::done(id, attempt, out);
        self.admit(now, AdmissionEvent::Finished { id: work }, out);
    }

    fn on_health(&mut self, now: Timestamp, up: bool, out: &mut Vec<AgentAction>) {
        let broken = self.with_stage(|stage| stage == Stage::Broken);
        let intact = self.with_stage(|stage| stage == Stage::Running);
        if !broken.is_empty() && (!up || intact.is_empty()) {
            // Every connection broke at once, or nothing answers: the endpoint died, even if it
            // was restarted quickly enough to answer the check.
            self.end_crashed(now, out);
        } else {
            for id in broken {
                self.end(now, id, AttemptEnd::Failed, out);
            }
        }
        self.missed_checks = if up { 0 } else { self.missed_checks + 1 };
        if up && !self.endpoint_up {
            self.endpoint_up = true;
            self.admit(now, AdmissionEvent::EndpointUp, out);
            out.push(AgentAction::EndpointUp);
            self.send_heartbeats(now, out);
        } else if self.endpoint_up && self.missed_checks >= MAX_MISSED_CHECKS {
            self.set_endpoint_down(now, out);
        }
    }

    fn end_crashed(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        self.deaths += 1;
        let death = self.cfg.incarnation.0.wrapping_mul(31).wrapping_add(self.deaths);
        for id in self.with_stage(|stage| matches!(stage, Stage::Broken | Stage::Running)) {
            if let Some(attempt) = self.attempts.get(id) {
                self.quarantine.record_death(attempt.work.content, death);
            }
            out.push(AgentAction::Abort { attempt: id });
            self.end(now, id, AttemptEnd::Crashed { death }, out);
        }
        self.set_endpoint_down(now, out);
    }

    fn set_endpoint_down(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        if !self.endpoint_up {
            return;
        }
        self.endpoint_up = false;
        for id in self.with_stage(|stage| stage == Stage::Queued) {
            let work = self.attempts.get(id).map(|attempt| attempt.id);
            self.end_queued(now, id, NotRun::EndpointDown, out);
            if let Some(id) = work {
                self.admit(now, AdmissionEvent::Withdrawn { id }, out);
            }
        }
        self.admit(now, AdmissionEvent::EndpointDown, out);
        out.push(AgentAction::EndpointDown);
        self.send_heartbeats(now, out);
    }

    fn with_stage(&self, wanted: impl Fn(Stage) -> bool) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, a)| wanted(a.stage)).map(|(id, _)| *id).collect()
    }
}

/// # Admission
impl AgentCore {
    fn admit(&mut self, now: Timestamp, event: AdmissionEvent, out: &mut Vec<AgentAction>) {
        let mut decided = std::mem::take(&mut self.decided);
        self.admission.handle(now, event, &mut decided);
        for action in decided.drain(..) {
            match action {
                AdmissionAction::Forward { id } => self.forward(now, id, out),
                AdmissionAction::Preempt { id } => {
                    if let Some(attempt) = self.attempts.of_work(id) {
                        self.preempt(now, attempt, out);
                    }
                }
                AdmissionAction::Refuse { id, reason } => {
                    if let Some(attempt) = self.attempts.of_work(id) {
                        self.end_queued(now, attempt, not_run(reason), out);
                    }
                }
            }
        }
        self.decided = decided;
    }

    fn forward(&mut self, now: Timestamp, id: WorkId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.of_work(id) else { return };
        let Some(state) = self.attempts.get_mut(attempt) else { return };
        if state.stage != Stage::Queued {
            return;
        }
        state.stage = Stage::Running;
        state.progress_at = now;
        if let Some(peer) = state.peer {
            out.push(AgentAction::Send { peer, message: AgentMessage::Started { attempt } });
        }
        out.push(AgentAction::Forward { work: Arc::clone(&state.work) });
    }

    fn abort(&mut self, id: AttemptId, end: AttemptEnd, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.stage = Stage::Aborting(end);
        out.push(AgentAction::Abort { attempt: id });
    }

    fn preempt(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        match attempt.stage {
            Stage::Running => self.abort(id, AttemptEnd::Preempted, out),
            Stage::Queued => {
                let work = attempt.id;
                self.end_queued(now, id, NotRun::Busy, out);
                self.admit(now, AdmissionEvent::Withdrawn { id: work }, out);
            }
            Stage::Broken | Stage::Aborting(_) | Stage::Ended(_) => {}
        }
    }

    /// Ends an attempt that waits. The admission policy no longer counts it, or is told after.
    fn end_queued(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        reason: NotRun,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.stage != Stage::Queued {
            return;
        }
        attempt.stage = Stage::Ended(AttemptEnd::NotRun(reason));
        attempt.idle_since = now;
        reply::done(id, attempt, out);
    }
}

const fn is_ended(stage: Stage) -> bool {
    matches!(stage, Stage::Ended(_))
}

const fn not_run(reason: RefuseReason) -> NotRun {
    match reason {
        RefuseReason::Busy => NotRun::Busy,
        RefuseReason::Leaving => NotRun::Leaving,
        RefuseReason::Deadline => NotRun::Deadline,
    }
}
