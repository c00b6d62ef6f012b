//! Answers: parts, ends and losses of attempts.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Verdict;
use dogwoodtray_policy::PROBE_TOKENS;

use super::AttemptDone;
use super::AttemptEnd;
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

/// Pause after the second refusal in a row, halved. Each further refusal doubles it.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(5);

/// Doublings of the pause at the most: 160 ms.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// Lowest HTTP status of an error on the side of the endpoint.
const SERVER_ERROR: u16 = 500;

const OK: u16 = 200;

/// # Parts of answers
impl OnlineCore {
    pub(super) fn on_started(&self, id: AttemptId, out: &mut Vec<OnlineAction>) {
        match self.attempts.get(&id) {
            None => out.push(OnlineAction::StaleFrame),
            Some(attempt) if attempt.owner == Owner::Job => {
                out.push(OnlineAction::BatchStarted { attempt: id });
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
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return out.push(OnlineAction::StaleFrame);
        };
        if offset > attempt.received {
            return ask_again(attempt, out);
        }
        let seen = usize::try_from(attempt.received - offset).unwrap_or(usize::MAX);
        if seen >= data.len() {
            return;
        }
        let fresh = data.slice(seen..);
        attempt.received += fresh.len() as u64;
        let gained = tokens.saturating_sub(attempt.tokens);
        attempt.tokens = tokens.max(attempt.tokens);
        let probe = attempt.owner == Owner::Probe;
        let whole = attempt.owner == Owner::Job || attempt.spec.mode == DispatchMode::Whole;
        if !probe && (whole || gained == 0) {
            attempt.answer.extend_from_slice(&fresh);
        }
        if gained > 0 {
            self.on_tokens(now, id, fresh, whole, out);
        }
    }

    fn on_tokens(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        data: Bytes,
        whole: bool,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (key, since) = (attempt.endpoint, attempt.last_token);
        attempt.last_token = Some(now);
        let tokens = attempt.tokens;
        let took = now - since.unwrap_or(attempt.sent_at);
        let owner = attempt.owner;
        let model = Name::clone(&attempt.spec.model);
        let resume_from = attempt.resume_from;
        match (since, owner) {
            (Some(_), _) => self.router.token_gap(now, key, took),
            (None, Owner::Probe) => self.router.first_token(now, key, took),
            (None, Owner::Request(_)) => {
                self.router.first_token(now, key, took);
                if resume_from == 0 {
                    self.hedge.first_token(&model, took);
                }
            }
            // The first token of batch work waits behind online work, so it says nothing.
            (None, Owner::Job) => {}
        }
        if let Owner::Request(no) = owner
            && !whole
        {
            self.deliver_tokens(no, id, tokens, data, out);
            self.move_if_slow(now, no, id, out);
        } else if owner == Owner::Probe && tokens >= PROBE_TOKENS {
            self.cancel(id, out);
        }
    }

    fn deliver_tokens(
        &mut self,
        no: RequestNo,
        id: AttemptId,
        tokens: u32,
        data: Bytes,
        out: &mut Vec<OnlineAction>,
    ) {
        self.unanswered.remove(&no);
        let Some(request) = self.requests.get_mut(&no) else { return };
        let winner = *request.winner.get_or_insert(id);
        if winner != id {
            return;
        }
        request.delivered = tokens;
        let losers: Vec<AttemptId> = request.out.iter().copied().filter(|o| *o != id).collect();
        let content_type = Name::from("");
        out.push(OnlineAction::Deliver { request: no, status: OK, content_type, data });
        for loser in losers {
            self.cancel(loser, out);
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
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return out.push(OnlineAction::StaleFrame);
        };
        let answered = matches!(done.end, AttemptEnd::Answered { .. });
        if answered && attempt.received < done.total_bytes {
            return ask_again(attempt, out);
        }
        if let Some(link) = attempt.link {
            out.push(OnlineAction::Ack { link, attempt: id });
        }
        self.end_attempt(now, id, done, out);
    }

    /// Ends an attempt whose agent cannot be reached or has been replaced.
    pub(super) fn end_lost(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        death: Option<u64>,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let end = death.map_or(AttemptEnd::Unknown, |death| AttemptEnd::Crashed { death });
        let tokens = attempt.tokens;
        let done = AttemptDone { end, content_type: Name::from(""), total_bytes: 0, tokens };
        self.end_attempt(now, id, done, out);
    }

    fn end_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        done: AttemptDone,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let ok = matches!(done.end, AttemptEnd::Answered { status } if status < SERVER_ERROR);
        let class = Self::class_of(&attempt);
        self.router.finished(now, attempt.endpoint, class, attempt.spec.cost, ok);
        if attempt.suspect {
            self.router.suspect_finished(attempt.endpoint);
        }
        self.note_content(&attempt, done.end);
        match attempt.owner {
            Owner::Job => self.end_batch(id, attempt, done, out),
            Owner::Request(no) => self.end_online(now, no, &attempt, &done, out),
            Owner::Probe => {}
        }
    }

    fn note_content(&mut self, attempt: &Attempt, end: AttemptEnd) {
        match end {
            AttemptEnd::Crashed { death } => {
                self.suspicion_news |= self.quarantine.record_death(attempt.spec.content, death);
            }
            AttemptEnd::Answered { .. } if attempt.suspect => {
                self.quarantine.record_completion(attempt.spec.content);
            }
            _ => {}
        }
    }

    fn end_batch(
        &self,
        id: AttemptId,
        attempt: Attempt,
        done: AttemptDone,
        out: &mut Vec<OnlineAction>,
    ) {
        let end = BatchEnd::Ended {
            end: done.end,
            content_type: done.content_type,
            answer: attempt.answer.freeze(),
            tokens: attempt.tokens,
        };
        out.push(OnlineAction::BatchEnded { attempt: id, end });
    }

    fn end_online(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        attempt: &Attempt,
        done: &AttemptDone,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get_mut(&no) else { return };
        request.out.retain(|o| *o != attempt.id);
        request.stage = match request.stage.take() {
            Some(Stage::Sent(sent)) => Some(match sent.end(done.end) {
                Ok(queued) => Stage::Queued(queued),
                Err(sent) => Stage::Sent(sent),
            }),
            other => other,
        };
        if request.winner == Some(attempt.id) && !is_answer(done.end) {
            request.winner = None;
        }
        let lost_race = request.winner.is_some_and(|winner| winner != attempt.id);
        match done.end {
            AttemptEnd::Answered { status } if !lost_race => {
                self.end_answered(now, no, attempt, status, &done.content_type, out);
            }
            _ if lost_race || !self.requests[&no].is_queued() => {}
            AttemptEnd::NotRun(reason) => self.retry_not_run(now, no, attempt, reason, out),
            _ => self.retry_failed(now, no, attempt, done.end, out),
        }
    }

    fn end_answered(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        attempt: &Attempt,
        status: u16,
        content_type: &Name,
        out: &mut Vec<OnlineAction>,
    ) {
        let queued = self.requests.get(&no).is_some_and(super::request::Request::is_queued);
        if status >= SERVER_ERROR && attempt.spec.idempotent && queued && attempt.tokens == 0 {
            let done = AttemptEnd::Failed;
            if self.may_retry(now, no) {
                return self.retry_failed(now, no, attempt, done, out);
            }
        }
        self.retries.succeeded(now);
        if !attempt.answer.is_empty() || attempt.received == 0 {
            let data = attempt.answer.clone().freeze();
            let content_type = Name::clone(content_type);
            out.push(OnlineAction::Deliver { request: no, status, content_type, data });
        }
        self.finish(now, no, RequestEnd::Answered { status }, out);
    }

    fn may_retry(&self, now: Timestamp, no: RequestNo) -> bool {
        let Some(request) = self.requests.get(&no) else { return false };
        request.failures < self.cfg.max_failures && now < request.deadline
    }

    /// The attempt never reached the endpoint, so another place costs nothing.
    fn retry_not_run(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        attempt: &Attempt,
        reason: NotRunReason,
        out: &mut Vec<OnlineAction>,
    ) {
        match reason {
            NotRunReason::Deadline => {
                return self.refuse(now, no, "deadline passed before a place was free", out);
            }
            NotRunReason::Quarantined => {
                return self.finish(now, no, RequestEnd::Quarantined, out);
            }
            NotRunReason::Fenced => {
                return self.refuse(now, no, "claim was taken over by another entry", out);
            }
            _ => {}
        }
        let Some(request) = self.requests.get_mut(&no) else { return };
        request.exclude = vec![attempt.endpoint];
        request.refusals += 1;
        if request.refusals == 1 {
            return self.place(now, no, out);
        }
        // Without a pause a request went round between full agents 257 times in 147 ms.
        let pause = FIRST_REFUSAL_PAUSE * 2_u32.pow(request.refusals.min(MAX_PAUSE_DOUBLINGS));
        request.retry_at = now + pause;
        self.waiting.insert(no);
    }

    fn retry_failed(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        attempt: &Attempt,
        end: AttemptEnd,
        out: &mut Vec<OnlineAction>,
    ) {
        let refused = self.quarantine.verdict(attempt.spec.content) == Verdict::Refused;
        if refused {
            return self.finish(now, no, RequestEnd::Quarantined, out);
        }
        if !attempt.spec.idempotent {
            return self.refuse(now, no, "the endpoint was lost while the request ran", out);
        }
        if !self.may_retry(now, no) || !self.retries.try_retry(now) {
            return self.refuse(now, no, "attempts failed and no retry is left", out);
        }
        if let Some(request) = self.requests.get_mut(&no) {
            request.failures += 1;
            request.exclude = vec![attempt.endpoint];
            let id = Name::clone(&request.spec.id);
            out.push(OnlineAction::Retried { id, reason: name_of(end) });
        }
        self.place(now, no, out);
    }
}

const fn is_answer(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Answered { .. })
}

const fn name_of(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Crashed { .. } => "endpoint died",
        AttemptEnd::Failed => "exchange with the endpoint failed",
        AttemptEnd::Preempted => "preempted",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::Unknown => "agent was lost",
        AttemptEnd::Answered { .. } => "endpoint answered with an error",
        AttemptEnd::NotRun(_) => "not forwarded",
    }
}

/// Asks the agent to send again from the first missing byte.
fn ask_again(attempt: &Attempt, out: &mut Vec<OnlineAction>) {
    if let Some(link) = attempt.link {
        let offset = attempt.received;
        out.push(OnlineAction::Reattach { link, attempt: attempt.id, offset });
    }
}
