//! Lookup of a key in the sealed segments.

use crate::CallId;
use crate::ObjectKey;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;

use super::KeyHash;
use super::OnceAction;
use super::OnceRange;
use super::OnceRefusal;
use super::active::ActiveKey;
use super::active::KeyPhase;
use super::active::Lookup;
use super::active::Waiter;
use super::encoding::decode_segment;
use super::range::CallOrigin;
use super::range::OwnedState;
use super::requests::refuse;
use super::requests::replay;
use super::table::Record;

impl OnceRange {
    pub(super) fn retry_lookups(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &self.owned else {
            return;
        };
        let is_due = |active: &ActiveKey| match &active.phase {
            KeyPhase::LookingUp(lookup) => lookup.slot.is_retry_due(now),
            _ => false,
        };
        let due: Vec<_> = owned
            .active_keys
            .iter()
            .filter(|(_, active)| is_due(active))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.read_segment(key, out);
        }
    }

    fn lookup(owned: &mut OwnedState, key: KeyHash) -> Option<&mut Lookup> {
        match &mut owned.active_keys.get_mut(&key)?.phase {
            KeyPhase::LookingUp(lookup) => Some(lookup),
            _ => None,
        }
    }

    pub(super) fn read_segment(&mut self, key: KeyHash, out: &mut Vec<OnceAction>) {
        let Some(lookup) = self.owned.as_mut().and_then(|owned| Self::lookup(owned, key)) else {
            return;
        };
        let Some(number) = lookup.segments.last() else {
            return;
        };
        let (number, call) = (*number, lookup.slot.open());
        let op = StoreOp::Get { key: self.segment_key(number) };
        self.call(CallOrigin::Lookup(key), call, op, out);
    }

    pub(super) fn segment_key(&self, number: u32) -> ObjectKey {
        ObjectKey::new("once-log", format!("{}.{number}", self.range))
    }

    pub(super) fn on_lookup_reply(
        &mut self,
        now: Timestamp,
        key: KeyHash,
        call: CallId,
        reply: StoreReply,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(lookup) = self.owned.as_mut().and_then(|owned| Self::lookup(owned, key)) else {
            return;
        };
        if !lookup.slot.accept(call) {
            return;
        }
        match reply {
            StoreReply::Found { value, .. } => match decode_segment(&value) {
                Some(mut records) => self.on_segment(now, key, records.remove(&key), out),
                None => self.end_lookup(key, out, |waiter, out| {
                    refuse(waiter.request, OnceRefusal::Unreadable, out);
                }),
            },
            // A segment is deleted only after its records have expired.
            StoreReply::Missing => self.on_segment(now, key, None, out),
            reply => lookup.slot.retry_after(now, &reply),
        }
    }

    fn on_segment(
        &mut self,
        now: Timestamp,
        key: KeyHash,
        found: Option<Record>,
        out: &mut Vec<OnceAction>,
    ) {
        if let Some(record) = found {
            return self.end_lookup(key, out, |waiter, out| {
                replay(&record, waiter.request, waiter.content, out);
            });
        }
        let Some(lookup) = self.owned.as_mut().and_then(|owned| Self::lookup(owned, key)) else {
            return;
        };
        lookup.segments.pop();
        if !lookup.segments.is_empty() {
            return self.read_segment(key, out);
        }
        let active = self.owned.as_mut().and_then(|owned| owned.active_keys.remove(&key));
        self.write_intent(now, key, active.map_or_else(Vec::new, |active| active.waiters), out);
    }

    fn end_lookup(
        &mut self,
        key: KeyHash,
        out: &mut Vec<OnceAction>,
        respond: impl Fn(Waiter, &mut Vec<OnceAction>),
    ) {
        let active = self.owned.as_mut().and_then(|owned| owned.active_keys.remove(&key));
        for waiter in active.map_or_else(Vec::new, |active| active.waiters) {
            respond(waiter, out);
        }
    }
}
