//! Endpoints that are slower than their peers.

use std::sync::Arc;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Verdict;
use dogwoodtray_policy::EndpointKey;

use super::DispatchMode;
use super::OnlineAction;
use super::OnlineCore;
use super::RequestNo;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::request::Stage;

/// Tokens left below which a stream ends sooner than it could be resumed elsewhere.
const MIN_MOVED_TOKENS: u32 = 10;

impl OnlineCore {
    /// Sends a copy of a request to a slow endpoint if it is time to see whether it recovered.
    pub(super) fn probe_slow(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        used: EndpointKey,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get(&no) else { return };
        let spec = Arc::clone(&request.spec);
        let copied = spec.idempotent && spec.mode == DispatchMode::Tokens;
        if !copied || self.quarantine.verdict(spec.content) != Verdict::Clear {
            return;
        }
        let time_left = request.deadline - now;
        let Some(ask) = self.ask(no, vec![used], false) else { return };
        let Some(key) = self.router.due_probe(now, &ask) else { return };
        let Some((node, endpoint)) = self.endpoints.of_key(key) else { return };
        let (node, link) = (node.clone(), endpoint.link);
        let attempt = Attempt {
            id: self.next_attempt_id(),
            owner: Owner::Probe,
            spec,
            node,
            endpoint: key,
            link,
            sent_at: now,
            last_token: None,
            detached_at: now,
            received: 0,
            tokens: 0,
            resume_from: 0,
            answer: BytesMut::new(),
            suspect: false,
            cancelled: false,
        };
        if let Some(request) = self.requests.get_mut(&no)
            && let Some(Stage::Sent(sent)) = &mut request.stage
        {
            sent.copy_sent();
        }
        self.send(now, attempt, time_left, out);
    }

    /// Resumes a stream elsewhere if its endpoint became much slower than its peers.
    pub(super) fn move_if_slow(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        id: AttemptId,
        out: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (key, tokens) = (attempt.endpoint, attempt.tokens);
        let left = attempt.spec.cost.output_tokens.saturating_sub(tokens);
        let movable = attempt.spec.idempotent && !attempt.suspect && left >= MIN_MOVED_TOKENS;
        let Some(request) = self.requests.get(&no) else { return };
        if !movable || request.moved || request.winner != Some(id) || !self.router.is_slow(key) {
            return;
        }
        let Some(target) = self.pick(now, no, vec![key], false) else { return };
        if !self.moves.try_spend() {
            return;
        }
        self.send_request(now, no, target, false, out);
        if let Some(request) = self.requests.get_mut(&no) {
            request.moved = true;
            request.winner = request.out.last().copied();
            out.push(OnlineAction::Moved { id: request.spec.id.clone() });
        }
        self.cancel(id, out);
    }
}
