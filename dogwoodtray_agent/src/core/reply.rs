//! Messages to entries about the state of attempts.

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptOutcome;
use super::EntryLinkId;
use super::attempt::Attempt;
use super::attempt::Stage;

/// Creates a `Done` message for an attempt that the agent does not track.
pub(super) fn done_without_state(
    peer: EntryLinkId,
    attempt: AttemptId,
    outcome: AttemptOutcome,
) -> AgentAction {
    let message = AgentMessage::Done {
        attempt,
        outcome,
        content_type: Name::from(""),
        total_bytes: 0,
        tokens: 0,
    };
    AgentAction::Send { peer, message }
}

/// Sends the outcome of an ended attempt to the attached entry.
pub(super) fn send_done(attempt: AttemptId, state: &Attempt, out: &mut Vec<AgentAction>) {
    let (Some(peer), Stage::Ended(outcome)) = (state.peer, state.stage) else {
        return;
    };
    let message = AgentMessage::Done {
        attempt,
        outcome,
        content_type: Name::clone(&state.content_type),
        total_bytes: state.response_body.len() as u64,
        tokens: state.tokens,
    };
    out.push(AgentAction::Send { peer, message });
}

/// Sends the response from `offset` on, and the outcome if there is one, to a reattached entry.
pub(super) fn send_missing(
    attempt: AttemptId,
    state: &Attempt,
    offset: u64,
    out: &mut Vec<AgentAction>,
) {
    let Some(peer) = state.peer else { return };
    if state.is_at_endpoint() || matches!(state.stage, Stage::Ended(_)) {
        out.push(AgentAction::Send { peer, message: AgentMessage::Started { attempt } });
    }
    let data = state.response_body_from(offset);
    if !data.is_empty() {
        let message = AgentMessage::Chunk { attempt, offset, data, tokens: state.tokens };
        out.push(AgentAction::Send { peer, message });
    }
    send_done(attempt, state, out);
}
