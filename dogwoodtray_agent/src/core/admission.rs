//! Admission of attempts and execution of the actions of the admission policy.

use std::sync::Arc;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::RefuseReason;
use dogwoodtray_policy::WorkId;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptOutcome;
use super::NotRun;
use super::attempt::Stage;
use super::reply;
use super::state::AgentCore;

/// # Admission
impl AgentCore {
    /// Passes an event to the admission policy and executes the returned actions.
    pub(super) fn notify_admission(
        &mut self,
        now: Timestamp,
        event: AdmissionEvent,
        out: &mut Vec<AgentAction>,
    ) {
        let mut admission_actions = std::mem::take(&mut self.admission_actions);
        self.admission.handle(now, event, &mut admission_actions);
        for action in admission_actions.drain(..) {
            match action {
                AdmissionAction::Forward { id } => self.forward(now, id, out),
                AdmissionAction::Preempt { id } => {
                    if let Some(attempt) = self.attempts.id_of_work(id) {
                        self.preempt(now, attempt, out);
                    }
                }
                AdmissionAction::Refuse { id, reason } => {
                    if let Some(attempt) = self.attempts.id_of_work(id) {
                        self.end_queued(now, attempt, to_not_run(reason), out);
                    }
                }
            }
        }
        self.admission_actions = admission_actions;
    }

    pub(super) fn forward(&mut self, now: Timestamp, work_id: WorkId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.id_of_work(work_id) else { return };
        let Some(state) = self.attempts.get_mut(attempt) else { return };
        if state.stage != Stage::Queued {
            return;
        }
        state.stage = Stage::Running;
        state.progress_at = now;
        state.forwarded_at = now;
        if let Some(peer) = state.peer {
            out.push(AgentAction::Send { peer, message: AgentMessage::Started { attempt } });
        }
        out.push(AgentAction::Forward { work: Arc::clone(&state.work) });
    }

    pub(super) fn abort(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.stage = Stage::Aborting(outcome);
        out.push(AgentAction::Abort { attempt: id });
    }

    pub(super) fn preempt(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        match attempt.stage {
            Stage::Running => self.abort(id, AttemptOutcome::Preempted, out),
            Stage::Queued => {
                let work_id = attempt.work_id;
                self.end_queued(now, id, NotRun::Busy, out);
                self.notify_admission(now, AdmissionEvent::Withdrawn { id: work_id }, out);
            }
            Stage::Broken | Stage::Undetermined | Stage::Aborting(_) | Stage::Ended(_) => {}
        }
    }

    /// Ends a queued attempt. The admission policy has already removed it, or the caller notifies
    /// the policy afterwards.
    pub(super) fn end_queued(
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
        attempt.stage = Stage::Ended(AttemptOutcome::NotRun(reason));
        attempt.idle_since = now;
        reply::send_done(id, attempt, out);
    }
}

const fn to_not_run(reason: RefuseReason) -> NotRun {
    match reason {
        RefuseReason::Busy => NotRun::Busy,
        RefuseReason::Leaving => NotRun::Leaving,
        RefuseReason::Deadline => NotRun::Deadline,
    }
}
