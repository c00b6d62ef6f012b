//! What happens at the endpoint.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionEvent;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptEnd;
use super::EndpointEvent;
use super::NotRun;
use super::attempt::Stage;
use super::attempt::is_ended;
use super::decide::AgentCore;
use super::reply;

/// Failed health checks in a row after which the endpoint counts as down.
const MAX_MISSED_CHECKS: u32 = 3;

/// Time after a break in which other attempts may still receive bytes that the endpoint sent
/// before it died; many steps of an engine, and far more than a loopback or a link takes.
const LATE_DATA: Duration = Duration::from_millis(50);

/// Time after which a break counts as a death unless another attempt shows progress. A request
/// that is wrongly suspected only runs alone once; one that is wrongly cleared kills again.
const BREAK_VERDICT_TIMEOUT: Duration = Duration::from_millis(500);

/// # Endpoint
impl AgentCore {
    pub(super) fn on_endpoint(
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
                    attempt.broken_at = now;
                    return out.push(AgentAction::CheckHealth);
                }
                self.end_aborted(now, id, out);
            }
            EndpointEvent::Aborted => self.end_aborted(now, id, out),
        }
    }

    pub(super) fn on_data(
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

    pub(super) fn end_aborted(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if let Stage::Aborting(end) = attempt.stage {
            self.end(now, id, end, out);
        }
    }

    pub(super) fn end(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<AgentAction>,
    ) {
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

    pub(super) fn on_health(&mut self, now: Timestamp, up: bool, out: &mut Vec<AgentAction>) {
        if up {
            for (_, attempt) in self.attempts.iter_mut() {
                if attempt.stage == Stage::Broken {
                    attempt.stage = Stage::Doubtful;
                }
            }
            self.judge_breaks(now, out);
        } else if !self.with_stage(is_broken).is_empty() {
            self.end_crashed(now, out);
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

    pub(super) fn end_crashed(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let inside = self.with_stage(|stage| stage == Stage::Running || is_broken(stage));
        self.end_in_death(now, &inside, out);
        self.set_endpoint_down(now, out);
    }

    fn end_in_death(&mut self, now: Timestamp, ids: &[AttemptId], out: &mut Vec<AgentAction>) {
        self.deaths += 1;
        let death = self.cfg.incarnation.0.wrapping_mul(31).wrapping_add(self.deaths);
        for &id in ids {
            if let Some(attempt) = self.attempts.get(id) {
                self.quarantine.record_death(attempt.work.content, death);
            }
            out.push(AgentAction::Abort { attempt: id });
            self.end(now, id, AttemptEnd::Crashed { death }, out);
        }
    }

    /// Ends the attempts whose connection broke though the endpoint answers. Only an attempt that
    /// the endpoint held before the break and that goes on proves that it did not restart.
    pub(super) fn judge_breaks(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let doubtful = self.with_stage(|stage| stage == Stage::Doubtful);
        let Some(first_break) = doubtful
            .iter()
            .filter_map(|id| self.attempts.get(*id))
            .map(|attempt| attempt.broken_at)
            .min()
        else {
            return;
        };
        let witnesses = || {
            self.attempts
                .iter()
                .map(|(_, attempt)| attempt)
                .filter(|a| a.stage == Stage::Running && a.forwarded_at < first_break)
        };
        if witnesses().any(|a| a.progress_at >= first_break + LATE_DATA) {
            for id in doubtful {
                self.end(now, id, AttemptEnd::Failed, out);
            }
        } else if self.with_stage(|stage| stage == Stage::Running).is_empty() {
            // Every connection broke: the endpoint died, even if it serves again.
            self.end_crashed(now, out);
        } else if witnesses().next().is_none() || now - first_break >= BREAK_VERDICT_TIMEOUT {
            self.end_in_death(now, &doubtful, out);
        }
    }

    pub(super) fn set_endpoint_down(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
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

    pub(super) fn with_stage(&self, wanted: impl Fn(Stage) -> bool) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, a)| wanted(a.stage)).map(|(id, _)| *id).collect()
    }
}

const fn is_broken(stage: Stage) -> bool {
    matches!(stage, Stage::Broken | Stage::Doubtful)
}
