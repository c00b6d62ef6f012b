//! Handling of answers: chunks, results and losses of attempts.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::PROBE_TOKENS;

use super::AttemptDone;
use super::AttemptOutcome;
use super::BatchEnd;
use super::DispatchMode;
use super::NotRunReason;
use super::OnlineAction;
use super::OnlineCore;
use super::RequestEnd;
use super::RequestNo;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::request::Stage;

/// Base of the pause before a refused request is placed again. Each refusal doubles the pause.
const REFUSAL_PAUSE_BASE: Duration = Duration::from_millis(5);

/// Maximum number of doublings, for a pause of 160 ms.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

const STATUS_OK: u16 = 200;

/// Content type of a stream of tokens.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// # Parts of answers
impl OnlineCore {
    pub(super) fn on_started(&self, id: AttemptId, actions: &mut Vec<OnlineAction>) {
        match self.attempts.get(&id) {
            None => actions.push(OnlineAction::StaleFrame),
            Some(attempt) if attempt.owner == Owner::Job => {
                actions.push(OnlineAction::BatchStarted { attempt: id });
            }
            Some(_) => {}
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        offset: u64,
        data: Bytes,
        tokens: u32,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return actions.push(OnlineAction::StaleFrame);
        };
        if offset > attempt.received_bytes {
            return request_resend(attempt, actions);
        }
        let already_received =
            usize::try_from(attempt.received_bytes - offset).unwrap_or(usize::MAX);
        if already_received >= data.len() {
            return;
        }
        let new_data = data.slice(already_received..);
        attempt.received_bytes += new_data.len() as u64;
        let new_tokens = tokens.saturating_sub(attempt.tokens);
        attempt.tokens = tokens.max(attempt.tokens);
        let is_probe = attempt.owner == Owner::Probe;
        let buffered = attempt.owner == Owner::Job || attempt.spec.mode == DispatchMode::Whole;
        if !is_probe && (buffered || new_tokens == 0) {
            attempt.answer.extend_from_slice(&new_data);
        }
        if new_tokens > 0 {
            self.on_tokens(now, id, new_data, buffered, actions);
        }
    }

    fn on_tokens(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        data: Bytes,
        buffered: bool,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.last_token.is_none() {
            let contents = attempt.spec.contents();
            self.pool.record_sound_run(now, &contents, attempt.sent_at, false);
        }
        let (key, last_token) = (attempt.endpoint, attempt.last_token);
        attempt.last_token = Some(now);
        let tokens = attempt.tokens;
        let elapsed = now - last_token.unwrap_or(attempt.sent_at);
        let owner = attempt.owner;
        let model = Name::clone(&attempt.spec.model);
        let resume_from = attempt.resume_from;
        match (last_token, owner) {
            (Some(_), _) => self.router.record_token_gap(now, key, elapsed),
            (None, Owner::Probe) => self.router.record_first_token(now, key, elapsed),
            (None, Owner::Request(_)) => {
                self.router.record_first_token(now, key, elapsed);
                if resume_from == 0 {
                    self.hedge_policy.record_first_token(&model, elapsed);
                }
            }
            // Batch work waits behind online work, so the time to its first token does not show
            // the speed of the endpoint.
            (None, Owner::Job) => {}
        }
        if let Owner::Request(request_no) = owner
            && !buffered
        {
            self.deliver_tokens(request_no, id, tokens, data, actions);
            self.move_stream_if_slow(now, request_no, id, actions);
        } else if owner == Owner::Probe && tokens >= PROBE_TOKENS {
            self.cancel_attempt(id, actions);
        }
    }

    fn deliver_tokens(
        &mut self,
        request_no: RequestNo,
        id: AttemptId,
        tokens: u32,
        data: Bytes,
        actions: &mut Vec<OnlineAction>,
    ) {
        self.unanswered.remove(&request_no);
        let Some(request) = self.requests.get_mut(&request_no) else { return };
        let winner = *request.winner.get_or_insert(id);
        if winner != id {
            return;
        }
        request.delivered = tokens;
        let superseded: Vec<AttemptId> =
            request.in_flight.iter().copied().filter(|o| *o != id).collect();
        let content_type = Name::from("");
        actions.push(OnlineAction::Deliver {
            request: request_no,
            status: STATUS_OK,
            content_type,
            data,
        });
        for other in superseded {
            self.cancel_attempt(other, actions);
        }
    }
}

/// # Ends of attempts
impl OnlineCore {
    pub(super) fn on_done(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        done: AttemptDone,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return actions.push(OnlineAction::StaleFrame);
        };
        let answered = matches!(done.outcome, AttemptOutcome::Answered { .. });
        if answered && attempt.received_bytes < done.total_bytes {
            return request_resend(attempt, actions);
        }
        if let Some(link) = attempt.link {
            actions.push(OnlineAction::Ack { link, attempt: id });
        }
        self.end_attempt(now, id, done, actions);
    }

    /// Ends an attempt whose agent is disconnected or was replaced. `has_crashed` states that its
    /// endpoint counts as crashed.
    pub(super) fn end_lost_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        has_crashed: bool,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let outcome = if has_crashed { AttemptOutcome::Crashed } else { AttemptOutcome::Unknown };
        let tokens = attempt.tokens;
        let done = AttemptDone { outcome, content_type: Name::from(""), total_bytes: 0, tokens };
        self.end_attempt(now, id, done, actions);
    }

    fn end_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        done: AttemptDone,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(mut attempt) = self.attempts.remove(&id) else { return };
        let ok = done.outcome.is_sound();
        let class = Self::class_of(&attempt);
        self.router.record_finished(now, attempt.endpoint, class, attempt.spec.cost, ok);
        if attempt.suspect {
            self.router.record_suspect_finished(attempt.endpoint);
        }
        self.record_evidence(now, &attempt, done.outcome);
        if let Some(trial) = attempt.trial.take() {
            let id = Name::clone(&attempt.spec.id);
            actions.push(OnlineAction::TrialEnded { id, outcome: done.outcome });
            self.on_trial_attempt_ended(now, attempt.owner, trial, done.outcome);
        }
        match attempt.owner {
            Owner::Job => self.end_batch_attempt(id, attempt, done, actions),
            Owner::Request(request_no) => {
                let hedge = self.requests.get(&request_no).and_then(|request| request.hedge);
                if hedge == Some(id) && matches!(done.outcome, AttemptOutcome::NotRun(_)) {
                    self.return_hedge(request_no);
                }
                self.end_online_attempt(now, request_no, &attempt, &done, actions);
            }
            Owner::Probe => {}
        }
    }

    fn end_batch_attempt(
        &self,
        id: AttemptId,
        attempt: Attempt,
        done: AttemptDone,
        actions: &mut Vec<OnlineAction>,
    ) {
        let end = BatchEnd {
            outcome: done.outcome,
            content_type: done.content_type,
            answer: attempt.answer.freeze(),
            tokens: attempt.tokens,
        };
        actions.push(OnlineAction::BatchEnded { attempt: id, end });
    }

    fn end_online_attempt(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        attempt: &Attempt,
        done: &AttemptDone,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get_mut(&request_no) else { return };
        request.in_flight.retain(|o| *o != attempt.id);
        request.stage = match request.stage.take() {
            Some(Stage::Sent(sent)) => Some(match sent.end_attempt(done.outcome) {
                Ok(queued) => Stage::Queued(queued),
                Err(sent) => Stage::Sent(sent),
            }),
            other => other,
        };
        if request.winner == Some(attempt.id) && !is_answer(done.outcome) {
            request.winner = None;
        }
        let superseded = request.winner.is_some_and(|winner| winner != attempt.id);
        match done.outcome {
            AttemptOutcome::Answered { status } if !superseded => {
                self.finish_answered(now, request_no, attempt, status, &done.content_type, actions);
            }
            _ if superseded || !self.requests[&request_no].is_queued() => {}
            AttemptOutcome::NotRun(reason) => {
                self.retry_not_run(now, request_no, attempt, reason, actions);
            }
            _ => self.retry_failed(now, request_no, attempt, done.outcome, actions),
        }
    }

    fn finish_answered(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        attempt: &Attempt,
        status: u16,
        content_type: &Name,
        actions: &mut Vec<OnlineAction>,
    ) {
        let queued = self.requests.get(&request_no).is_some_and(super::request::Request::is_queued);
        let has_begun = self.requests.get(&request_no).is_some_and(|request| request.delivered > 0);
        if has_begun && !is_stream_part(status, content_type) {
            return self.retry_failed(now, request_no, attempt, AttemptOutcome::Failed, actions);
        }
        if !(AttemptOutcome::Answered { status }).is_sound()
            && attempt.spec.idempotent
            && queued
            && attempt.tokens == 0
        {
            let done = AttemptOutcome::Failed;
            if self.may_retry(now, request_no) {
                return self.retry_failed(now, request_no, attempt, done, actions);
            }
        }
        self.retry_budget.record_success(now);
        if !attempt.answer.is_empty() || attempt.received_bytes == 0 {
            let data = attempt.answer.clone().freeze();
            let content_type = Name::clone(content_type);
            actions.push(OnlineAction::Deliver { request: request_no, status, content_type, data });
        }
        self.finish(now, request_no, RequestEnd::Answered { status }, actions);
    }

    fn may_retry(&self, now: Timestamp, request_no: RequestNo) -> bool {
        let Some(request) = self.requests.get(&request_no) else { return false };
        request.failures < self.cfg.max_failed_attempts && now < request.deadline
    }

    /// Places a request again after an attempt that never reached the endpoint. Such a retry does
    /// not count against the retry budget.
    fn retry_not_run(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        attempt: &Attempt,
        reason: NotRunReason,
        actions: &mut Vec<OnlineAction>,
    ) {
        match reason {
            NotRunReason::Deadline => {
                return self.refuse(
                    now,
                    request_no,
                    "deadline passed before a place was free",
                    actions,
                );
            }
            NotRunReason::Fenced => {
                return self.refuse(
                    now,
                    request_no,
                    "claim was taken over by another entry",
                    actions,
                );
            }
            _ => {}
        }
        let Some(request) = self.requests.get_mut(&request_no) else { return };
        request.exclude = vec![attempt.endpoint];
        request.has_unsent_retry = request.failures > 0;
        request.refusals += 1;
        if request.refusals == 1 {
            return self.place(now, request_no, actions);
        }
        // Without a pause, a request was sent to full agents 257 times in 147 ms.
        let pause = REFUSAL_PAUSE_BASE * 2_u32.pow(request.refusals.min(MAX_PAUSE_DOUBLINGS));
        request.retry_at = now + pause;
        self.waiting.insert(request_no);
    }

    fn retry_failed(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        actions: &mut Vec<OnlineAction>,
    ) {
        if !attempt.spec.idempotent {
            return self.refuse(
                now,
                request_no,
                "the endpoint was lost while the request ran",
                actions,
            );
        }
        if !self.may_retry(now, request_no) || !self.retry_budget.try_retry(now) {
            return self.refuse(now, request_no, "attempts failed and no retry is left", actions);
        }
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.failures += 1;
            request.has_unsent_retry = true;
            request.exclude = vec![attempt.endpoint];
            let id = Name::clone(&request.spec.id);
            actions.push(OnlineAction::Retried { id, reason: retry_reason(outcome) });
        }
        self.place(now, request_no, actions);
    }
}

/// Returns `true` if a part of an answer belongs to a stream of tokens. Parts within a stream have no
/// content type.
pub(crate) fn is_stream_part(status: u16, content_type: &str) -> bool {
    status == STATUS_OK && (content_type.is_empty() || content_type.starts_with(EVENT_STREAM))
}

const fn is_answer(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered { .. })
}

const fn retry_reason(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Crashed => "endpoint died",
        AttemptOutcome::Failed => "exchange with the endpoint failed",
        AttemptOutcome::Preempted => "preempted",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::Unknown => "agent was lost",
        AttemptOutcome::Answered { .. } => "endpoint answered with an error",
        AttemptOutcome::NotRun(_) => "not forwarded",
    }
}

/// Requests that the agent resend the answer from the first missing byte.
fn request_resend(attempt: &Attempt, actions: &mut Vec<OnlineAction>) {
    if let Some(link) = attempt.link {
        let offset = attempt.received_bytes;
        actions.push(OnlineAction::Reattach { link, attempt: attempt.id, offset });
    }
}
