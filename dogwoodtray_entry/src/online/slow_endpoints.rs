//! Probing of slow endpoints and moving of streams away from them.

use std::sync::Arc;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::EndpointKey;

use super::DispatchMode;
use super::OnlineAction;
use super::OnlineCore;
use super::RequestNo;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::request::Stage;

/// Minimum number of tokens left for a stream to be moved. A shorter rest ends before the stream
/// could be resumed elsewhere.
const MIN_TOKENS_LEFT_TO_MOVE: u32 = 10;

impl OnlineCore {
    /// Sends a copy of a request to a slow endpoint if a probe for recovery is due.
    pub(super) fn probe_slow_endpoint(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        used_endpoint: EndpointKey,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get(&request_no) else { return };
        let spec = Arc::clone(&request.spec);
        let copyable = spec.idempotent && spec.mode == DispatchMode::Tokens;
        if !copyable {
            return;
        }
        let time_left = request.deadline - now;
        let Some(route_request) = self.route_request(request_no, vec![used_endpoint], false) else {
            return;
        };
        let Some(key) = self.router.due_probe(now, &route_request) else { return };
        let Some((node, endpoint)) = self.endpoints.get_by_key(key) else { return };
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
            received_bytes: 0,
            tokens: 0,
            resume_from: 0,
            answer: BytesMut::new(),
            suspect: false,
            trial: None,
            cancelled: false,
        };
        if let Some(request) = self.requests.get_mut(&request_no)
            && let Some(Stage::Sent(sent)) = &mut request.stage
        {
            sent.mark_may_have_run();
        }
        self.dispatch(now, attempt, time_left, actions);
    }

    /// Moves a stream to another endpoint if its endpoint is much slower than its peers.
    pub(super) fn move_stream_if_slow(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        id: AttemptId,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (key, tokens) = (attempt.endpoint, attempt.tokens);
        let left = attempt.spec.cost.output_tokens.saturating_sub(tokens);
        let movable =
            attempt.spec.idempotent && !attempt.suspect && left >= MIN_TOKENS_LEFT_TO_MOVE;
        let Some(request) = self.requests.get(&request_no) else { return };
        if !movable || request.moved || request.winner != Some(id) || !self.router.is_slow(key) {
            return;
        }
        let Some(target) = self.pick_endpoint(now, request_no, vec![key], false) else { return };
        if !self.move_budget.try_consume_budget() {
            return;
        }
        let moved = self.start_attempt(now, request_no, target, None, actions);
        if let Some(request) = self.requests.get_mut(&request_no) {
            request.moved = true;
            request.winner = moved;
            actions.push(OnlineAction::StreamMoved { id: request.spec.id.clone() });
        }
        self.cancel_attempt(id, actions);
    }
}
