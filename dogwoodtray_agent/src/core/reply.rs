//! Messages that answer entries.

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;

use super::AgentAction;
use super::AgentMessage;
use super::AttemptEnd;
use super::PeerId;
use super::attempt::Attempt;
use super::attempt::Stage;

/// Ends an attempt that the agent holds no state of.
pub(super) fn ended_unseen(peer: PeerId, attempt: AttemptId, end: AttemptEnd) -> AgentAction {
    let message = AgentMessage::Done {
        attempt,
        end,
        content_type: Name::from(""),
        total_bytes: 0,
        tokens: 0,
    };
    AgentAction::Send { peer, message }
}

/// Reports the end of an attempt to the entry that is attached to it.
pub(super) fn done(attempt: AttemptId, state: &Attempt, out: &mut Vec<AgentAction>) {
    let (Some(peer), Stage::Ended(end)) = (state.peer, state.stage) else {
        return;
    };
    let message = AgentMessage::Done {
        attempt,
        end,
        content_type: Name::clone(&state.content_type),
        total_bytes: state.answer.len() as u64,
        tokens: state.tokens,
    };
    out.push(AgentAction::Send { peer, message });
}

/// Sends what an entry has missed on its old link.
pub(super) fn catch_up(
    attempt: AttemptId,
    state: &Attempt,
    offset: u64,
    out: &mut Vec<AgentAction>,
) {
    let Some(peer) = state.peer else { return };
    if state.is_inside() || matches!(state.stage, Stage::Ended(_)) {
        out.push(AgentAction::Send { peer, message: AgentMessage::Started { attempt } });
    }
    let data = state.answer_from(offset);
    if !data.is_empty() {
        let message = AgentMessage::Chunk { attempt, offset, data, tokens: state.tokens };
        out.push(AgentAction::Send { peer, message });
    }
    done(attempt, state, out);
}
