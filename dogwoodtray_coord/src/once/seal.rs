//! Sealing: moves finished records out of the object into segments, and deletes expired segments.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::CallId;
use crate::CommitEvent;
use crate::Precondition;
use crate::StampedWrite;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;
use crate::WriteResult;
use crate::WriteStep;
use crate::calls::CallSlot;

use super::ANSWER_GRACE_MS;
use super::KeyHash;
use super::OnceAction;
use super::OnceRange;
use super::codec::SealedSegment;
use super::encoding::encode_segment;
use super::range::CallOrigin;
use super::range::OwnedState;
use super::table::Record;
use super::table::Segment;

/// Segment that is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sealing {
    number: u32,
    records: BTreeMap<KeyHash, Record>,
    write: StampedWrite,
    slot: CallSlot,
    started_at: Timestamp,
}

/// Expired segment that is being deleted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Deletion {
    number: u32,
    slot: CallSlot,
}

impl OwnedState {
    /// Returns `true` if a write has been in flight for so long that the store counts as down.
    pub(super) fn is_write_stalled(&self, now: Timestamp) -> bool {
        let sealing_since = self.sealing.as_ref().map(|sealing| sealing.started_at);
        let since = self.commit.in_flight_since().or(sealing_since);
        since.is_some_and(|since| now - since >= Duration::from_millis(ANSWER_GRACE_MS))
    }
}

/// # Sealing
impl OnceRange {
    /// Writes the oldest finished records to a segment if the object has grown too large.
    ///
    /// The group commit is paused until the segment is stored, which bounds the size of the object.
    /// Its next write adds the segment to the index and removes the records.
    pub(super) fn start_sealing(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &self.owned else {
            return;
        };
        let is_sealing = owned.sealing.is_some() || owned.stored.sealed.is_some();
        let record_bytes = owned.stored.bytes.saturating_sub(owned.stored.table.index_bytes());
        if is_sealing || record_bytes < self.config.seal_bytes {
            return;
        }
        let records = owned.stored.table.oldest_finished(self.config.seal_bytes / 2);
        if records.is_empty() {
            return;
        }
        self.write_segment(now, owned.stored.table.next_segment, records, out);
    }

    fn write_segment(
        &mut self,
        now: Timestamp,
        number: u32,
        records: BTreeMap<KeyHash, Record>,
        out: &mut Vec<OnceAction>,
    ) {
        let value = encode_segment(&records);
        let write = StampedWrite::new(self.segment_key(number), Precondition::Absent, value);
        let mut slot = CallSlot::idle(self.backoff.clone());
        let (call, op) = (slot.open(), write.next_call());
        let Some(owned) = &mut self.owned else {
            return;
        };
        owned.commit.pause();
        owned.sealing = Some(Sealing { number, records, write, slot, started_at: now });
        self.call(CallOrigin::Seal, call, op, out);
    }

    pub(super) fn drive_sealing(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(sealing) = self.owned.as_mut().and_then(|owned| owned.sealing.as_mut()) else {
            return;
        };
        if sealing.slot.is_retry_due(now) {
            let (call, op) = (sealing.slot.open(), sealing.write.next_call());
            self.call(CallOrigin::Seal, call, op, out);
        }
    }

    pub(super) fn on_seal_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        reply: StoreReply,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(mut sealing) = owned.sealing.take() else {
            return;
        };
        if !sealing.slot.accept(call) {
            owned.sealing = Some(sealing);
            return;
        }
        // Equal segments with the same number are interchangeable, whichever process wrote them.
        let expected = encode_segment(&sealing.records);
        let step = sealing.write.on_reply(reply.clone(), |value| *value == *expected);
        let number = sealing.number;
        match step {
            WriteStep::Finished(WriteResult::Written { version }) => {
                self.on_sealed(now, sealing, version, out);
            }
            // A previous owner wrote a segment with this number and then lost the range.
            WriteStep::Finished(WriteResult::Fenced { .. }) => {
                self.write_segment(now, number + 1, sealing.records, out);
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                debug_assert!(
                    false,
                    "a segment is smaller than the object that contained its records"
                );
                owned.commit.resume();
            }
            WriteStep::Call(op) if reply != StoreReply::Ambiguous => {
                let call = sealing.slot.open();
                owned.sealing = Some(sealing);
                self.call(CallOrigin::Seal, call, op, out);
            }
            WriteStep::Call(_) | WriteStep::Wait(_) => {
                sealing.slot.retry_after(now, &reply);
                owned.sealing = Some(sealing);
            }
        }
    }

    fn on_sealed(
        &mut self,
        now: Timestamp,
        sealing: Sealing,
        version: Version,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Sealing { number, records, .. } = sealing;
        let newest_s = records.values().map(|record| record.since_s).max().unwrap_or(0);
        let mut prefixes: Vec<_> = records.keys().map(|key| key.prefix()).collect();
        prefixes.sort_unstable();
        let segment = Segment { version, newest_s, prefixes };
        owned.stored.sealed = Some(SealedSegment { number, segment, records });
        owned.commit.resume();
        self.drive_commit(now, CommitEvent::Tick, out);
    }
}

/// # Deleting expired segments
impl OnceRange {
    /// Deletes one expired segment. The next write removes it from the index in the object.
    pub(super) fn drive_deletion(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.deletion.is_none() {
            let Some(number) = owned.stored.expired_segment() else {
                return;
            };
            owned.deletion = Some(Deletion { number, slot: CallSlot::due(self.backoff.clone()) });
        }
        let Some(deletion) = owned.deletion.as_mut().filter(|d| d.slot.is_retry_due(now)) else {
            return;
        };
        let Some(segment) = owned.stored.table.segments.get(&deletion.number) else {
            owned.deletion = None;
            return;
        };
        let (number, expect, call) = (deletion.number, segment.version, deletion.slot.open());
        let op = StoreOp::Delete { key: self.segment_key(number), expect };
        self.call(CallOrigin::Delete, call, op, out);
    }

    pub(super) fn on_deletion_reply(&mut self, now: Timestamp, call: CallId, reply: StoreReply) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(deletion) = &mut owned.deletion else {
            return;
        };
        if !deletion.slot.accept(call) {
            return;
        }
        match reply {
            StoreReply::Unavailable { .. } | StoreReply::Ambiguous => {
                deletion.slot.retry_after(now, &reply);
            }
            _ => {
                owned.stored.deleted.insert(deletion.number);
                owned.deletion = None;
            }
        }
    }
}
