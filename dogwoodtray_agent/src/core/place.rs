//! What the admission policy decides.

use std::sync::Arc;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::RefuseReason;
use dogwoodtray_policy::WorkId;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptEnd;
use super::NotRun;
use super::attempt::Stage;
use super::decide::AgentCore;
use super::reply;

/// # Admission
impl AgentCore {
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        event: AdmissionEvent,
        out: &mut Vec<AgentAction>,
    ) {
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

    pub(super) fn forward(&mut self, now: Timestamp, id: WorkId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.of_work(id) else { return };
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

    pub(super) fn abort(&mut self, id: AttemptId, end: AttemptEnd, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.stage = Stage::Aborting(end);
        out.push(AgentAction::Abort { attempt: id });
    }

    pub(super) fn preempt(&mut self, now: Timestamp, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        match attempt.stage {
            Stage::Running => self.abort(id, AttemptEnd::Preempted, out),
            Stage::Queued => {
                let work = attempt.id;
                self.end_queued(now, id, NotRun::Busy, out);
                self.admit(now, AdmissionEvent::Withdrawn { id: work }, out);
            }
            Stage::Broken | Stage::Doubtful | Stage::Aborting(_) | Stage::Ended(_) => {}
        }
    }

    /// Ends an attempt that waits. The admission policy no longer counts it, or is told after.
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
        attempt.stage = Stage::Ended(AttemptEnd::NotRun(reason));
        attempt.idle_since = now;
        reply::done(id, attempt, out);
    }
}

const fn not_run(reason: RefuseReason) -> NotRun {
    match reason {
        RefuseReason::Busy => NotRun::Busy,
        RefuseReason::Leaving => NotRun::Leaving,
        RefuseReason::Deadline => NotRun::Deadline,
    }
}
