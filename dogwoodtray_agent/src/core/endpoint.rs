//! Handling of exchanges with the endpoint and of its health.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::Class;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptOutcome;
use super::EndpointEvent;
use super::NotRun;
use super::attempt::Attempt;
use super::attempt::Stage;
use super::attempt::is_ended;
use super::reply;
use super::state::AgentCore;

/// Lowest HTTP status code of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Number of consecutive failed health checks after which the endpoint is considered down.
const MAX_FAILED_CHECKS: u32 = 3;

/// Time after a broken connection during which other attempts may still receive data that the
/// endpoint sent before a crash. It spans many engine steps and far exceeds the network latency.
const IN_FLIGHT_DATA_WINDOW: Duration = Duration::from_millis(50);

/// Time after which a broken connection is attributed to a crash unless another attempt makes
/// progress. A false suspicion only makes a request run as the sole suspect once, but a missed one
/// lets the request crash another endpoint.
const BREAK_RESOLUTION_TIMEOUT: Duration = Duration::from_millis(500);

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
            EndpointEvent::ResponseHead { status, content_type } => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.status = status;
                    attempt.content_type = content_type;
                }
            }
            EndpointEvent::Data { data, tokens } => self.on_data(now, id, data, tokens, out),
            EndpointEvent::ResponseEnd => {
                let Some(attempt) = self.attempts.get(id) else { return };
                if attempt.has_dropped_data {
                    // The end of the response makes it complete only together with all its data.
                    return self.end_aborted(now, id, out);
                }
                let status = attempt.status;
                let (contents, sent_at) = (attempt.work.contents(), attempt.forwarded_at);
                // A failure may have come before the endpoint began on the content.
                if status < MIN_SERVER_ERROR_STATUS {
                    self.pool.record_sound_run(now, &contents, sent_at, true);
                }
                self.end(now, id, AttemptOutcome::Answered { status }, out);
            }
            EndpointEvent::Truncated => {
                let Some(attempt) = self.attempts.get(id) else { return };
                let outcome = match attempt.stage {
                    Stage::Aborting(outcome) => outcome,
                    _ => AttemptOutcome::Failed,
                };
                self.end(now, id, outcome, out);
            }
            EndpointEvent::ConnectFailed => {
                self.end(now, id, AttemptOutcome::NotRun(NotRun::EndpointDown), out);
                out.push(AgentAction::CheckHealth);
            }
            EndpointEvent::ConnectionLost => {
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
            attempt.has_dropped_data = true;
            return;
        }
        let work_id = attempt.work_id;
        let is_first_token = attempt.tokens == attempt.work.resume_from && tokens > 0;
        let offset = attempt.response_body.len() as u64;
        if !attempt.append(&data) {
            attempt.has_dropped_data = true;
            return self.abort(id, AttemptOutcome::Failed, out);
        }
        attempt.tokens += tokens;
        attempt.progress_at = now;
        let total_tokens = attempt.tokens;
        if is_first_token {
            let (contents, sent_at) = (attempt.work.contents(), attempt.forwarded_at);
            self.pool.record_sound_run(now, &contents, sent_at, false);
        }
        if let Some(peer) = attempt.peer {
            let message = AgentMessage::Chunk { attempt: id, offset, data, tokens: total_tokens };
            out.push(AgentAction::Send { peer, message });
        }
        if is_first_token {
            self.notify_admission(now, AdmissionEvent::FirstToken { id: work_id }, out);
        }
        if tokens > 0 {
            self.notify_admission(
                now,
                AdmissionEvent::Progress { id: work_id, tokens: total_tokens },
                out,
            );
        }
    }

    pub(super) fn end_aborted(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if let Stage::Aborting(outcome) = attempt.stage {
            self.end(now, id, outcome, out);
        }
    }

    pub(super) fn end(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if is_ended(attempt.stage) {
            return;
        }
        // A complete response is kept even if an abort was already in progress.
        attempt.stage = Stage::Ended(outcome);
        attempt.idle_since = now;
        let work_id = attempt.work_id;
        reply::send_done(id, attempt, out);
        self.notify_admission(now, AdmissionEvent::Finished { id: work_id }, out);
    }

    pub(super) fn on_health(&mut self, now: Timestamp, up: bool, out: &mut Vec<AgentAction>) {
        if up {
            for (_, attempt) in self.attempts.iter_mut() {
                if attempt.stage == Stage::Broken {
                    attempt.stage = Stage::Undetermined;
                }
            }
            self.resolve_breaks(now, out);
        } else if !self.with_stage(is_broken).is_empty() {
            self.on_crash(now, out);
        }
        self.failed_checks = if up { 0 } else { self.failed_checks + 1 };
        if up && !self.endpoint_up {
            self.endpoint_up = true;
            self.notify_admission(now, AdmissionEvent::EndpointUp, out);
            out.push(AgentAction::EndpointUp);
            self.send_heartbeats(now, out);
        } else if self.endpoint_up && self.failed_checks >= MAX_FAILED_CHECKS {
            self.set_endpoint_down(now, out);
        }
    }

    /// Ends the attempts at the endpoint as crashed and marks the endpoint down.
    pub(super) fn on_crash(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let affected = self.with_stage(|stage| stage == Stage::Running || is_broken(stage));
        self.end_as_crashed(now, &affected, out);
        self.set_endpoint_down(now, out);
    }

    /// Ends the attempts as crashed and records them as evidence.
    fn end_as_crashed(&mut self, now: Timestamp, ids: &[AttemptId], out: &mut Vec<AgentAction>) {
        for &id in ids {
            if let Some(attempt) = self.attempts.get(id) {
                let run = CrashedRun {
                    contents: attempt.work.contents(),
                    endpoint: Name::clone(&self.cfg.node),
                    sent_at: attempt.forwarded_at,
                    ended_at: now,
                    stage: run_stage(attempt),
                    sound: Vec::new(),
                };
                self.pool.record_crash(now, run);
            }
            out.push(AgentAction::Abort { attempt: id });
            self.end(now, id, AttemptOutcome::Crashed, out);
        }
    }

    /// Determines whether attempts with a broken connection failed or were ended by a crash, given
    /// that the endpoint passes health checks. Only progress of an attempt that was forwarded
    /// before the first break proves that the endpoint did not restart.
    pub(super) fn resolve_breaks(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        let undetermined = self.with_stage(|stage| stage == Stage::Undetermined);
        let Some(first_break) = undetermined
            .iter()
            .filter_map(|id| self.attempts.get(*id))
            .map(|attempt| attempt.broken_at)
            .min()
        else {
            return;
        };
        let survivors = || {
            self.attempts
                .iter()
                .map(|(_, attempt)| attempt)
                .filter(|a| a.stage == Stage::Running && a.forwarded_at < first_break)
        };
        if survivors().any(|a| a.progress_at >= first_break + IN_FLIGHT_DATA_WINDOW) {
            for id in undetermined {
                self.end(now, id, AttemptOutcome::Failed, out);
            }
        } else if self.with_stage(|stage| stage == Stage::Running).is_empty() {
            // All connections broke, so the endpoint crashed, even if it has already restarted.
            self.on_crash(now, out);
        } else if survivors().next().is_none() || now - first_break >= BREAK_RESOLUTION_TIMEOUT {
            self.end_as_crashed(now, &undetermined, out);
        }
    }

    pub(super) fn set_endpoint_down(&mut self, now: Timestamp, out: &mut Vec<AgentAction>) {
        if !self.endpoint_up {
            return;
        }
        self.endpoint_up = false;
        for id in self.with_stage(|stage| stage == Stage::Queued) {
            let work_id = self.attempts.get(id).map(|attempt| attempt.work_id);
            self.end_queued(now, id, NotRun::EndpointDown, out);
            if let Some(id) = work_id {
                self.notify_admission(now, AdmissionEvent::Withdrawn { id }, out);
            }
        }
        self.notify_admission(now, AdmissionEvent::EndpointDown, out);
        out.push(AgentAction::EndpointDown);
        self.send_heartbeats(now, out);
    }

    /// Returns the attempts whose stage matches the predicate.
    pub(super) fn with_stage(&self, predicate: impl Fn(Stage) -> bool) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, a)| predicate(a.stage)).map(|(id, _)| *id).collect()
    }
}

fn run_stage(attempt: &Attempt) -> RunStage {
    let has_output = attempt.tokens > attempt.work.resume_from;
    RunStage::new(has_output, attempt.work.class == Class::Batch)
}

const fn is_broken(stage: Stage) -> bool {
    matches!(stage, Stage::Broken | Stage::Undetermined)
}
