//! Passes events to the online core and executes the resulting actions.

use std::fmt::Display;
use std::sync::atomic::Ordering;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::MemberState;
use dogwoodtray_coord::Readiness;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::attempt_to_wire;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;

use super::super::JobsInput;
use super::super::convert;
use super::super::shared::PeerStatus;
use super::service::AnswerPart;
use super::service::RouterService;
use crate::online::AttemptOutcome;
use crate::online::BatchEnd;
use crate::online::LinkNo;
use crate::online::OnlineAction;
use crate::online::OnlineEvent;
use crate::online::RequestNo;
use crate::online::RequestSpec;

/// # Events and actions
impl RouterService {
    pub(super) fn handle_event(&mut self, now: Timestamp, event: OnlineEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        self.send_evidence(now);
    }

    pub(super) fn execute(&mut self, action: OnlineAction) {
        match action {
            OnlineAction::Dispatch { link, attempt, spec, time_left, resume_from, is_trial } => {
                let mut dispatch =
                    convert::dispatch_message(attempt, &spec, time_left, resume_from, is_trial);
                dispatch.clock = Some(self.shared.events.clock());
                self.emit_dispatch_event(link, attempt, &spec);
                self.send(link, dispatch);
            }
            OnlineAction::Cancel { link, attempt } => {
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Cancel { attempt });
            }
            OnlineAction::Reattach { link, attempt, offset } => {
                let fields: [(&str, &dyn Display); 1] = [("attempt", &attempt)];
                self.shared.events.emit(&catalogue::ATTEMPT_REATTACHED, None, &fields);
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Reattach { attempt, offset });
            }
            OnlineAction::Ack { link, attempt } => {
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Ack { attempt });
            }
            OnlineAction::Deliver { request, status, content_type, data } => {
                self.deliver(request, AnswerPart::Data { status, content_type, data });
            }
            OnlineAction::Finish { request, end } => {
                self.deliver(request, AnswerPart::End(end));
                self.callers.remove(&request);
            }
            OnlineAction::BatchStarted { attempt } => {
                self.shared.send_to_jobs(JobsInput::AttemptStarted(attempt));
            }
            OnlineAction::BatchEnded { attempt, end } => self.report_batch_end(attempt, end),
            OnlineAction::Retried { id, reason } => {
                metrics::counter!("dogwoodtray_retries_total").increment(1);
                let fields: [(&str, &dyn Display); 1] = [("reason", &reason)];
                self.shared.events.emit(&catalogue::REQUEST_RETRIED, Some(&id), &fields);
            }
            OnlineAction::Blocked { id, content, retry_after } => {
                metrics::counter!("dogwoodtray_blocked_requests_total").increment(1);
                let retry_after_ms = retry_after.as_millis();
                let fields: [(&str, &dyn Display); 2] =
                    [("content", &content), ("retry_after_ms", &retry_after_ms)];
                self.shared.events.emit(&catalogue::REQUEST_BLOCKED, Some(&id), &fields);
            }
            OnlineAction::Tried { id } => {
                self.shared.events.emit(&catalogue::CONTENT_TRIED, Some(&id), &[]);
            }
            OnlineAction::TrialEnded { id, outcome } => {
                let (end, told) = (outcome.as_str(), told_by_trial(outcome));
                metrics::counter!("dogwoodtray_ended_trials_total", "told" => told).increment(1);
                let fields: [(&str, &dyn Display); 2] = [("end", &end), ("told", &told)];
                self.shared.events.emit(&catalogue::TRIAL_ENDED, Some(&id), &fields);
            }
            OnlineAction::Hedged { id } => {
                metrics::counter!("dogwoodtray_hedges_total").increment(1);
                self.shared.events.emit(&catalogue::REQUEST_HEDGED, Some(&id), &[]);
            }
            OnlineAction::StreamMoved { id } => {
                metrics::counter!("dogwoodtray_moves_total").increment(1);
                self.shared.events.emit(&catalogue::REQUEST_MOVED, Some(&id), &[]);
            }
            OnlineAction::StaleFrame => {
                metrics::counter!("dogwoodtray_stale_frames_total").increment(1);
            }
        }
    }

    pub(super) fn emit_dispatch_event(&self, link: LinkNo, attempt: AttemptId, spec: &RequestSpec) {
        metrics::counter!("dogwoodtray_attempts_total").increment(1);
        let node = self.links.get(&link).map_or("", |peer| &*peer.node);
        let fields: [(&str, &dyn Display); 2] = [("attempt", &attempt), ("peer", &node)];
        self.shared.events.emit(&catalogue::ATTEMPT_DISPATCHED, Some(&spec.id), &fields);
    }

    pub(super) fn report_batch_end(&self, attempt: AttemptId, end: BatchEnd) {
        self.shared.send_to_jobs(JobsInput::AttemptEnded { attempt, end });
    }

    pub(super) fn deliver(&self, request: RequestNo, part: AnswerPart) {
        if let Some(caller) = self.callers.get(&request) {
            // The receiver is closed when the caller disconnects; `CallerDisconnected` follows.
            let _ = caller.send(part);
        }
    }

    pub(super) fn send(&self, link: LinkNo, message: impl Into<messages::Frame>) {
        if let Some(peer) = self.links.get(&link) {
            peer.link.send(message);
        }
    }

    pub(super) fn publish_state(&self, now: Timestamp) {
        let shared = &self.shared;
        let ready = self.generations.readiness() == Readiness::Ready;
        shared.config_ready.store(ready, Ordering::Relaxed);
        shared.agents.store(self.core.endpoints() as u64, Ordering::Relaxed);
        shared.requests.store(self.core.requests() as u64, Ordering::Relaxed);
        shared.attempts.store(self.core.attempts() as u64, Ordering::Relaxed);
        shared.set_models(self.core.models().into_iter().collect());
        let generation_of = |node: &str| {
            let node_links =
                self.links.values().filter(|peer| &*peer.node == node && !peer.transient);
            node_links.map(|peer| peer.generation).max().unwrap_or(0)
        };
        let peers = self.members.iter(now).map(|(node, state)| PeerStatus {
            node: node.to_string(),
            state: state_name(state),
            generation: generation_of(node),
        });
        shared.set_peers(peers.collect());
    }
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unknown",
        MemberState::Live => "live",
        MemberState::Silent => "silent",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

/// Returns what a trial that ended like this says about its contents.
const fn told_by_trial(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Crashed => "crash",
        _ if outcome.is_sound() => "sound",
        _ => "nothing",
    }
}
