//! Requests: how they begin, run and end.

use std::mem;

use crate::ContentHash;
use crate::Timestamp;
use crate::calls::CallSlot;

use super::KeyHash;
use super::OnceAction;
use super::OnceRange;
use super::OnceRefusal;
use super::Outcome;
use super::RequestId;
use super::live::Live;
use super::live::LivePhase;
use super::live::Lookup;
use super::live::Waiter;
use super::table::Record;
use super::table::RecordOp;
use super::table::RecordState;

/// # Begin
impl OnceRange {
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: KeyHash,
        content: ContentHash,
        out: &mut Vec<OnceAction>,
    ) {
        let waiter = Waiter { request, content, deadline: now + self.config.begin_wait };
        let Some(owned) = &mut self.owned else {
            return refuse(request, OnceRefusal::NotOwner, out);
        };
        if let Some(live) = owned.live.get_mut(&key) {
            return join(live, waiter, out);
        }
        if let Some(record) = owned.stored.table.records.get(&key) {
            return replay(record, request, content, out);
        }
        if owned.live.len() >= self.config.max_live {
            return refuse(request, OnceRefusal::Busy, out);
        }
        if owned.stored.bytes >= self.config.limit_bytes {
            return refuse(request, OnceRefusal::Full, out);
        }
        let mut segments = owned.stored.table.candidates(key);
        if segments.is_empty() {
            return self.intend(now, key, vec![waiter], out);
        }
        segments.reverse();
        let slot = CallSlot::idle(self.backoff.clone());
        let phase = LivePhase::Looking(Lookup { segments, slot });
        owned.live.insert(key, Live { content, waiters: vec![waiter], phase });
        self.read_segment(key, out);
    }

    /// Stores the intent of the first waiter, and tells those with another content.
    pub(super) fn intend(
        &mut self,
        now: Timestamp,
        key: KeyHash,
        waiters: Vec<Waiter>,
        out: &mut Vec<OnceAction>,
    ) {
        let (Some(owned), Some(first)) = (&mut self.owned, waiters.first()) else {
            return;
        };
        let content = first.content;
        let (waiters, others): (Vec<_>, Vec<_>) =
            waiters.into_iter().partition(|waiter| waiter.content == content);
        for other in others {
            out.push(OnceAction::Mismatch { request: other.request });
        }
        owned.live.insert(key, Live { content, waiters, phase: LivePhase::Intending });
        self.push(now, RecordOp::Intend { key, content }, out);
    }

    fn remove(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        self.push(now, RecordOp::Remove { key }, out);
    }
}

/// # End
impl OnceRange {
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        key: KeyHash,
        outcome: Outcome,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(live) = self.owned.as_mut().and_then(|owned| owned.live.get_mut(&key)) else {
            return;
        };
        if live.phase != LivePhase::Running {
            return;
        }
        live.phase = LivePhase::Finishing { outcome: outcome.clone(), is_answered: false };
        let outcome = bounded(outcome, self.config.max_answer_bytes);
        self.push(now, RecordOp::End { key, outcome }, out);
    }

    pub(super) fn not_run(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(live) = self.owned.as_mut().and_then(|owned| owned.live.get_mut(&key)) else {
            return;
        };
        if live.phase != LivePhase::Running {
            return;
        }
        live.phase = LivePhase::Removing;
        for waiter in mem::take(&mut live.waiters) {
            refuse(waiter.request, OnceRefusal::NotRun, out);
        }
        self.remove(now, key, out);
    }

    /// Takes the changes of a write that is stored.
    pub(super) fn on_durable(
        &mut self,
        now: Timestamp,
        ops: Vec<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        for op in ops {
            match op {
                RecordOp::Intend { key, .. } => self.on_intent_stored(key, out),
                RecordOp::End { key, .. } => self.on_outcome_stored(key, out),
                RecordOp::Remove { key } => self.on_removal_stored(now, key, out),
            }
        }
        self.start_sealing(now, out);
    }

    fn on_intent_stored(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let epoch = owned.epoch;
        let Some(live) = owned.live.get_mut(&key) else {
            return;
        };
        // A request that was refused in the meantime waits for the removal of its intent.
        if live.phase != LivePhase::Intending {
            return;
        }
        live.phase = LivePhase::Running;
        for (index, waiter) in live.waiters.iter().enumerate() {
            let request = waiter.request;
            out.push(match index {
                0 => OnceAction::Run { request, key, epoch },
                _ => OnceAction::Attach { request },
            });
        }
    }

    fn on_outcome_stored(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(live) = self.owned.as_mut().and_then(|owned| owned.live.remove(&key)) else {
            return;
        };
        let LivePhase::Finishing { outcome, .. } = live.phase else {
            debug_assert!(false, "an outcome is stored only while the key is finishing");
            return;
        };
        for waiter in live.waiters {
            answer(&outcome, waiter.request, true, out);
        }
    }

    fn on_removal_stored(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(live) = self.owned.as_mut().and_then(|owned| owned.live.remove(&key)) else {
            return;
        };
        self.intend(now, key, live.waiters, out);
    }

    /// Takes the changes of a write that the store refused as too large.
    pub(super) fn on_too_large(
        &mut self,
        now: Timestamp,
        ops: Vec<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        for op in ops {
            match op {
                RecordOp::Intend { key, .. } => self.drop_intent(key, out),
                op => self.push(now, op, out),
            }
        }
        self.start_sealing(now, out);
    }

    fn drop_intent(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned.live.get(&key).is_some_and(|live| live.phase == LivePhase::Intending) {
            return;
        }
        let waiters = owned.live.remove(&key).map_or_else(Vec::new, |live| live.waiters);
        for waiter in waiters {
            refuse(waiter.request, OnceRefusal::Full, out);
        }
    }
}

/// # Time
impl OnceRange {
    /// Refuses the requests that have waited too long to run.
    pub(super) fn expire_waiters(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let mut withdrawn = Vec::new();
        for (key, live) in owned.live.iter_mut().filter(|(_, live)| live.phase.is_before_run()) {
            live.waiters.retain(|waiter| {
                let may_wait = now < waiter.deadline;
                if !may_wait {
                    refuse(waiter.request, OnceRefusal::Unavailable, out);
                }
                may_wait
            });
            if live.waiters.is_empty() && live.phase == LivePhase::Intending {
                // The write of the intent may take effect at any time, so it has to be undone.
                live.phase = LivePhase::Removing;
                withdrawn.push(*key);
            }
        }
        owned.live.retain(|_, live| {
            !live.waiters.is_empty() || !matches!(live.phase, LivePhase::Looking(_))
        });
        for key in withdrawn {
            self.remove(now, key, out);
        }
    }

    /// Gives the answers whose records cannot be stored during an outage.
    pub(super) fn answer_early(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned.has_stalled(now) {
            return;
        }
        for live in owned.live.values_mut() {
            if let LivePhase::Finishing { outcome, is_answered } = &mut live.phase {
                *is_answered = true;
                for waiter in live.waiters.drain(..) {
                    answer(outcome, waiter.request, false, out);
                }
            }
        }
    }

    /// Tells those that wait for a key that this process no longer owns the range.
    pub(super) fn abandon(live: Live, out: &mut Vec<OnceAction>) {
        let is_before_run = live.phase.is_before_run();
        for waiter in live.waiters {
            match is_before_run {
                true => refuse(waiter.request, OnceRefusal::NotOwner, out),
                false => out.push(OnceAction::Unknown { request: waiter.request }),
            }
        }
    }
}

/// Adds a request to a key that is being begun, run or finished.
fn join(live: &mut Live, waiter: Waiter, out: &mut Vec<OnceAction>) {
    let request = waiter.request;
    let is_same = waiter.content == live.content;
    match &live.phase {
        // Whether the contents agree shows when the key is known not to have run.
        LivePhase::Looking(_) | LivePhase::Removing => {}
        _ if !is_same => return out.push(OnceAction::Mismatch { request }),
        LivePhase::Intending => {}
        LivePhase::Finishing { outcome, is_answered: true } => {
            return answer(outcome, request, false, out);
        }
        LivePhase::Running | LivePhase::Finishing { .. } => {
            out.push(OnceAction::Attach { request });
        }
    }
    live.waiters.push(waiter);
}

/// Answers a request from the record of an earlier run.
pub(super) fn replay(
    record: &Record,
    request: RequestId,
    content: ContentHash,
    out: &mut Vec<OnceAction>,
) {
    if record.content != content {
        return out.push(OnceAction::Mismatch { request });
    }
    out.push(match &record.state {
        RecordState::Ended(Outcome::Answered(answer)) => {
            OnceAction::Replay { request, answer: answer.clone() }
        }
        RecordState::Ended(Outcome::Unknown) | RecordState::Intent => {
            OnceAction::Unknown { request }
        }
    });
}

fn answer(outcome: &Outcome, request: RequestId, is_durable: bool, out: &mut Vec<OnceAction>) {
    out.push(match outcome {
        Outcome::Answered(answer) => {
            OnceAction::Answer { request, answer: answer.clone(), is_durable }
        }
        Outcome::Unknown => OnceAction::Unknown { request },
    });
}

pub(super) fn refuse(request: RequestId, reason: OnceRefusal, out: &mut Vec<OnceAction>) {
    out.push(OnceAction::Refused { request, reason });
}

/// Drops the body of an answer that is too large to keep.
fn bounded(outcome: Outcome, max_bytes: usize) -> Outcome {
    let Outcome::Answered(mut answer) = outcome else {
        return outcome;
    };
    answer.body = answer.body.filter(|body| body.len() <= max_bytes);
    Outcome::Answered(answer)
}
