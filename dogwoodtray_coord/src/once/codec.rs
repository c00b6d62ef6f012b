//! Codecs of the claim and the group commit for the object of a range.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ClaimCodec;
use crate::ClaimRecord;
use crate::CommitCodec;
use crate::Timestamp;
use crate::WriteStamp;

use super::KeyHash;
use super::encoding::decode_table;
use super::encoding::encode_table;
use super::table::Record;
use super::table::RecordOp;
use super::table::Segment;
use super::table::Table;

/// Claim codec that also marks the intents of the previous owner as unknown in the same write.
pub(super) struct TableClaimCodec;

impl ClaimCodec for TableClaimCodec {
    fn claim(&self, value: &[u8]) -> Option<ClaimRecord> {
        decode_table(value).map(|table| table.claim)
    }

    fn with_claim(&self, value: Option<&[u8]>, claim: &ClaimRecord) -> Option<Arc<[u8]>> {
        let mut table = match value {
            Some(value) => decode_table(value)?,
            None => Table::new(claim.clone()),
        };
        table.take_over(claim.clone());
        Some(encode_table(&table))
    }
}

/// Stored segment that the object does not list yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SealedSegment {
    pub(super) number: u32,
    pub(super) segment: Segment,
    pub(super) records: BTreeMap<KeyHash, Record>,
}

/// Stored table, and the changes that the next write makes besides its entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StoredState {
    /// Table as last written.
    pub(super) table: Table,
    /// Size in bytes of the object as last written.
    pub(super) bytes: usize,
    /// Table and size of the write in flight.
    staged: Option<(Table, usize)>,
    pub(super) sealed: Option<SealedSegment>,
    /// Deleted expired segments that the object still lists.
    pub(super) deleted: BTreeSet<u32>,
    owned_since: Timestamp,
    clock_at_claim_s: u64,
    pub(super) clock_s: u64,
    retention_s: u64,
}

impl StoredState {
    pub(super) const fn new(now: Timestamp, table: Table, bytes: usize, retention_s: u64) -> Self {
        let clock_s = table.clock_s;
        Self {
            table,
            bytes,
            staged: None,
            sealed: None,
            deleted: BTreeSet::new(),
            owned_since: now,
            clock_at_claim_s: clock_s,
            clock_s,
            retention_s,
        }
    }

    /// Advances the clock of the range.
    pub(super) fn set_clock(&mut self, now: Timestamp) {
        self.clock_s = self.clock_at_claim_s + (now - self.owned_since).as_secs();
    }

    /// Returns the number of an expired segment that is not deleted yet.
    pub(super) fn expired_segment(&self) -> Option<u32> {
        let expired = self.table.expired_segment(self.clock_s, self.retention_s)?;
        (!self.deleted.contains(&expired)).then_some(expired)
    }

    fn next_table(&self, entries: &[RecordOp], stamp: WriteStamp) -> Table {
        let mut table = self.table.clone();
        table.stamp = stamp;
        table.clock_s = self.clock_s;
        table.expire(self.retention_s);
        table.segments.retain(|number, _| !self.deleted.contains(number));
        if let Some(sealed) = &self.sealed {
            table.next_segment = sealed.number + 1;
            table.segments.insert(sealed.number, sealed.segment.clone());
            table.records.retain(|key, record| sealed.records.get(key) != Some(record));
        }
        for op in entries {
            table.apply(op);
        }
        table
    }
}

impl CommitCodec<RecordOp> for StoredState {
    fn encode(&mut self, entries: &[RecordOp], stamp: WriteStamp) -> Arc<[u8]> {
        let table = self.next_table(entries, stamp);
        let value = encode_table(&table);
        self.staged = Some((table, value.len()));
        value
    }

    fn on_stored(&mut self) {
        let Some((table, bytes)) = self.staged.take() else {
            return;
        };
        if self.sealed.as_ref().is_some_and(|s| table.segments.contains_key(&s.number)) {
            self.sealed = None;
        }
        self.deleted.retain(|number| table.segments.contains_key(number));
        (self.table, self.bytes) = (table, bytes);
    }

    fn stamp(&self, value: &[u8]) -> Option<WriteStamp> {
        decode_table(value).map(|table| table.stamp)
    }
}
