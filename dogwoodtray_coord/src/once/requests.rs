//! Life cycle of requests: begin, run and end.

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
use super::active::ActiveKey;
use super::active::KeyPhase;
use super::active::Lookup;
use super::active::Waiter;
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
        if let Some(active) = owned.active_keys.get_mut(&key) {
            return attach(active, waiter, out);
        }
        if let Some(record) = owned.stored.table.records.get(&key) {
            return replay(record, request, content, out);
        }
        if owned.active_keys.len() >= self.config.max_active_keys {
            return refuse(request, OnceRefusal::Busy, out);
        }
        if owned.stored.bytes >= self.config.limit_bytes {
            return refuse(request, OnceRefusal::Full, out);
        }
        let mut segments = owned.stored.table.candidate_segments(key);
        if segments.is_empty() {
            return self.write_intent(now, key, vec![waiter], out);
        }
        segments.reverse();
        let slot = CallSlot::idle(self.backoff.clone());
        let phase = KeyPhase::LookingUp(Lookup { segments, slot });
        owned.active_keys.insert(key, ActiveKey { content, waiters: vec![waiter], phase });
        self.read_segment(key, out);
    }

    /// Writes the intent of the first waiter, and reports a mismatch to waiters with other content.
    pub(super) fn write_intent(
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
            out.push(OnceAction::KeyReused { request: other.request });
        }
        owned
            .active_keys
            .insert(key, ActiveKey { content, waiters, phase: KeyPhase::WritingIntent });
        self.push(now, RecordOp::AddIntent { key, content }, out);
    }

    fn remove_intent(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        self.push(now, RecordOp::RemoveIntent { key }, out);
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
        let Some(active) = self.owned.as_mut().and_then(|owned| owned.active_keys.get_mut(&key))
        else {
            return;
        };
        if active.phase != KeyPhase::Running {
            return;
        }
        active.phase = KeyPhase::WritingOutcome { outcome: outcome.clone(), is_answered: false };
        let outcome = drop_large_body(outcome, self.config.max_answer_bytes);
        self.push(now, RecordOp::SetOutcome { key, outcome }, out);
    }

    pub(super) fn not_run(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(active) = self.owned.as_mut().and_then(|owned| owned.active_keys.get_mut(&key))
        else {
            return;
        };
        if active.phase != KeyPhase::Running {
            return;
        }
        active.phase = KeyPhase::RemovingIntent;
        for waiter in mem::take(&mut active.waiters) {
            refuse(waiter.request, OnceRefusal::NotRun, out);
        }
        self.remove_intent(now, key, out);
    }

    /// Processes the changes of a stored write.
    pub(super) fn on_durable(
        &mut self,
        now: Timestamp,
        ops: Vec<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        for op in ops {
            match op {
                RecordOp::AddIntent { key, .. } => self.on_intent_stored(key, out),
                RecordOp::SetOutcome { key, .. } => self.on_outcome_stored(key, out),
                RecordOp::RemoveIntent { key } => self.on_removal_stored(now, key, out),
            }
        }
        self.start_sealing(now, out);
    }

    fn on_intent_stored(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let epoch = owned.epoch;
        let Some(active) = owned.active_keys.get_mut(&key) else {
            return;
        };
        // If the request was refused in the meantime, the removal of its intent is pending.
        if active.phase != KeyPhase::WritingIntent {
            return;
        }
        active.phase = KeyPhase::Running;
        for (index, waiter) in active.waiters.iter().enumerate() {
            let request = waiter.request;
            out.push(match index {
                0 => OnceAction::Run { request, key, epoch },
                _ => OnceAction::Attach { request },
            });
        }
    }

    fn on_outcome_stored(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(active) = self.owned.as_mut().and_then(|owned| owned.active_keys.remove(&key))
        else {
            return;
        };
        let KeyPhase::WritingOutcome { outcome, .. } = active.phase else {
            debug_assert!(false, "an outcome is stored only in the phase WritingOutcome");
            return;
        };
        for waiter in active.waiters {
            answer(&outcome, waiter.request, true, out);
        }
    }

    fn on_removal_stored(&mut self, now: Timestamp, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(active) = self.owned.as_mut().and_then(|owned| owned.active_keys.remove(&key))
        else {
            return;
        };
        self.write_intent(now, key, active.waiters, out);
    }

    /// Processes the changes of a write that the store rejected as too large.
    pub(super) fn on_too_large(
        &mut self,
        now: Timestamp,
        ops: Vec<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        for op in ops {
            match op {
                RecordOp::AddIntent { key, .. } => self.drop_intent(key, out),
                op => self.push(now, op, out),
            }
        }
        self.start_sealing(now, out);
    }

    fn drop_intent(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned
            .active_keys
            .get(&key)
            .is_some_and(|active| active.phase == KeyPhase::WritingIntent)
        {
            return;
        }
        let waiters = owned.active_keys.remove(&key).map_or_else(Vec::new, |active| active.waiters);
        for waiter in waiters {
            refuse(waiter.request, OnceRefusal::Full, out);
        }
    }
}

/// # Deadlines and outages
impl OnceRange {
    /// Refuses the requests whose deadline passed before they ran.
    pub(super) fn expire_waiters(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let mut removed_keys = Vec::new();
        for (key, active) in
            owned.active_keys.iter_mut().filter(|(_, active)| active.phase.is_before_run())
        {
            active.waiters.retain(|waiter| {
                let may_wait = now < waiter.deadline;
                if !may_wait {
                    refuse(waiter.request, OnceRefusal::Unavailable, out);
                }
                may_wait
            });
            if active.waiters.is_empty() && active.phase == KeyPhase::WritingIntent {
                // The write of the intent may still take effect, so the intent must be removed.
                active.phase = KeyPhase::RemovingIntent;
                removed_keys.push(*key);
            }
        }
        owned.active_keys.retain(|_, active| {
            !active.waiters.is_empty() || !matches!(active.phase, KeyPhase::LookingUp(_))
        });
        for key in removed_keys {
            self.remove_intent(now, key, out);
        }
    }

    /// Returns the answers whose records cannot be stored during an outage.
    pub(super) fn answer_early(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if !owned.is_write_stalled(now) {
            return;
        }
        for active in owned.active_keys.values_mut() {
            if let KeyPhase::WritingOutcome { outcome, is_answered } = &mut active.phase {
                *is_answered = true;
                for waiter in active.waiters.drain(..) {
                    answer(outcome, waiter.request, false, out);
                }
            }
        }
    }

    /// Ends the waiters of a key because this process no longer owns the range.
    pub(super) fn abandon(active: ActiveKey, out: &mut Vec<OnceAction>) {
        let is_before_run = active.phase.is_before_run();
        for waiter in active.waiters {
            match is_before_run {
                true => refuse(waiter.request, OnceRefusal::NotOwner, out),
                false => out.push(OnceAction::Unknown { request: waiter.request }),
            }
        }
    }
}

/// Adds a request to an active key.
fn attach(active: &mut ActiveKey, waiter: Waiter, out: &mut Vec<OnceAction>) {
    let request = waiter.request;
    let is_same_content = waiter.content == active.content;
    match &active.phase {
        // The contents are compared later, once the key is known not to have run.
        KeyPhase::LookingUp(_) | KeyPhase::RemovingIntent => {}
        _ if !is_same_content => return out.push(OnceAction::KeyReused { request }),
        KeyPhase::WritingIntent => {}
        KeyPhase::WritingOutcome { outcome, is_answered: true } => {
            return answer(outcome, request, false, out);
        }
        KeyPhase::Running | KeyPhase::WritingOutcome { .. } => {
            out.push(OnceAction::Attach { request });
        }
    }
    active.waiters.push(waiter);
}

/// Answers a request from the record of an earlier run.
pub(super) fn replay(
    record: &Record,
    request: RequestId,
    content: ContentHash,
    out: &mut Vec<OnceAction>,
) {
    if record.content != content {
        return out.push(OnceAction::KeyReused { request });
    }
    out.push(match &record.state {
        RecordState::Finished(Outcome::Answered(answer)) => {
            OnceAction::Replay { request, answer: answer.clone() }
        }
        RecordState::Finished(Outcome::Unknown) | RecordState::Intent => {
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

/// Drops the body of an answer if it is too large to store.
fn drop_large_body(outcome: Outcome, max_bytes: usize) -> Outcome {
    let Outcome::Answered(mut answer) = outcome else {
        return outcome;
    };
    answer.body = answer.body.filter(|body| body.len() <= max_bytes);
    Outcome::Answered(answer)
}
