//! Stored records of a range.

use std::collections::BTreeMap;

use crate::ClaimRecord;
use crate::ContentHash;
use crate::Version;
use crate::WriteStamp;

use super::KeyHash;
use super::Outcome;

/// Approximate size in bytes of a record without its answer.
const RECORD_BYTES: usize = 64;

/// State of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RecordState {
    /// The request may be running.
    Intent,
    /// The run ended, or the owner of the range changed while it ran.
    Finished(Outcome),
}

/// Record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Record {
    pub(super) content: ContentHash,
    pub(super) state: RecordState,
    /// Clock of the range when the record was created or finished.
    pub(super) since_s: u64,
}

/// Index entry of a segment: records that were moved out of the object.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Segment {
    pub(super) version: Version,
    /// Clock of the range of the newest record in the segment.
    pub(super) newest_s: u64,
    /// Upper halves of the key hashes, in ascending order.
    pub(super) prefixes: Vec<u64>,
}

/// Change of one record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RecordOp {
    /// The request is about to run.
    AddIntent { key: KeyHash, content: ContentHash },
    /// The run ended.
    SetOutcome { key: KeyHash, outcome: Outcome },
    /// The request did not run.
    RemoveIntent { key: KeyHash },
}

impl RecordOp {
    /// Returns the approximate number of bytes that the change adds to the object.
    pub(super) fn size(&self) -> usize {
        let Self::SetOutcome { outcome: Outcome::Answered(answer), .. } = self else {
            return RECORD_BYTES;
        };
        let body_bytes = answer.body.as_ref().map_or(0, |body| body.len());
        RECORD_BYTES + answer.content_type.len() + body_bytes
    }
}

/// Content of the object `once/RANGE`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Table {
    pub(super) claim: ClaimRecord,
    pub(super) stamp: WriteStamp,
    /// Clock of the range: total seconds during which it had an owner, measured by each owner.
    ///
    /// The age of a record is the difference from this clock. Time without an owner is not counted,
    /// so a record may be kept longer than the retention time but never shorter.
    pub(super) clock_s: u64,
    pub(super) records: BTreeMap<KeyHash, Record>,
    pub(super) segments: BTreeMap<u32, Segment>,
    pub(super) next_segment: u32,
}

impl Table {
    /// Creates the table of a range that has no object yet.
    pub(super) const fn new(claim: ClaimRecord) -> Self {
        Self {
            claim,
            stamp: WriteStamp { incarnation: crate::Incarnation(0), seq: 0 },
            clock_s: 0,
            records: BTreeMap::new(),
            segments: BTreeMap::new(),
            next_segment: 1,
        }
    }

    /// Replaces the claim. The outcome of each intent of the previous owner becomes unknown.
    pub(super) fn take_over(&mut self, claim: ClaimRecord) {
        self.stamp = claim.stamp(0);
        self.claim = claim;
        for record in self.records.values_mut() {
            if record.state == RecordState::Intent {
                record.state = RecordState::Finished(Outcome::Unknown);
            }
        }
    }

    /// Applies a change of one record.
    pub(super) fn apply(&mut self, op: &RecordOp) {
        let since_s = self.clock_s;
        match op {
            RecordOp::AddIntent { key, content } => {
                let record = Record { content: *content, state: RecordState::Intent, since_s };
                self.records.insert(*key, record);
            }
            RecordOp::SetOutcome { key, outcome } => {
                if let Some(record) = self.records.get_mut(key) {
                    record.state = RecordState::Finished(outcome.clone());
                    record.since_s = since_s;
                }
            }
            RecordOp::RemoveIntent { key } => {
                self.records.remove(key);
            }
        }
    }

    /// Removes the finished records that are older than the retention time.
    pub(super) fn expire(&mut self, retention_s: u64) {
        let clock_s = self.clock_s;
        self.records.retain(|_, record| {
            record.state == RecordState::Intent
                || clock_s.saturating_sub(record.since_s) <= retention_s
        });
    }

    /// Returns the numbers of the segments that may contain a key, newest first.
    pub(super) fn candidate_segments(&self, key: KeyHash) -> Vec<u32> {
        let may_hold = |segment: &Segment| segment.prefixes.binary_search(&key.prefix()).is_ok();
        self.segments.iter().rev().filter(|(_, s)| may_hold(s)).map(|(number, _)| *number).collect()
    }

    /// Returns the approximate size in bytes of the index of sealed records.
    pub(super) fn index_bytes(&self) -> usize {
        let prefixes: usize = self.segments.values().map(|segment| segment.prefixes.len()).sum();
        prefixes * size_of::<u64>()
    }

    /// Returns the number of a segment whose records are all older than the retention time.
    pub(super) fn expired_segment(&self, clock_s: u64, retention_s: u64) -> Option<u32> {
        let is_old = |segment: &Segment| clock_s.saturating_sub(segment.newest_s) > retention_s;
        self.segments.iter().find(|(_, segment)| is_old(segment)).map(|(number, _)| *number)
    }

    /// Returns the oldest finished records: at least one if there is any, and up to `max_bytes`.
    pub(super) fn oldest_finished(&self, max_bytes: usize) -> BTreeMap<KeyHash, Record> {
        let mut finished: Vec<_> =
            self.records.iter().filter(|(_, record)| record.state != RecordState::Intent).collect();
        finished.sort_by_key(|(_, record)| record.since_s);
        let mut bytes = 0;
        finished
            .into_iter()
            .take_while(|(_, record)| {
                let fits = bytes == 0 || bytes < max_bytes;
                bytes += record.size();
                fits
            })
            .map(|(key, record)| (*key, record.clone()))
            .collect()
    }
}

impl Record {
    fn size(&self) -> usize {
        match &self.state {
            RecordState::Intent => RECORD_BYTES,
            RecordState::Finished(outcome) => {
                RecordOp::SetOutcome { key: KeyHash(0), outcome: outcome.clone() }.size()
            }
        }
    }
}
