//! Encoding of the records in the store: protocol buffers with a format number.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message;

use crate::ClaimRecord;
use crate::ContentHash;
use crate::Epoch;
use crate::Holder;
use crate::Incarnation;
use crate::Name;
use crate::Version;
use crate::WriteStamp;

use super::Answer;
use super::KeyHash;
use super::Outcome;
use super::table::Record;
use super::table::RecordState;
use super::table::Segment;
use super::table::Table;

/// Format number of the encoding. A value with another format is left unchanged.
const FORMAT: u32 = 1;

/// Length of an encoded key hash.
const KEY_BYTES: usize = 16;

#[derive(Clone, PartialEq, Message)]
struct TableValue {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(message, optional, tag = "3")]
    holder: Option<HolderValue>,
    #[prost(fixed64, tag = "4")]
    stamp_incarnation: u64,
    #[prost(uint64, tag = "5")]
    stamp_seq: u64,
    #[prost(uint64, tag = "6")]
    clock_s: u64,
    #[prost(uint32, tag = "7")]
    next_segment: u32,
    #[prost(message, repeated, tag = "8")]
    records: Vec<RecordValue>,
    #[prost(message, repeated, tag = "9")]
    segments: Vec<SegmentRef>,
}

#[derive(Clone, PartialEq, Message)]
struct HolderValue {
    #[prost(string, tag = "1")]
    address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RecordValue {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    content: u64,
    #[prost(uint64, tag = "3")]
    since_s: u64,
    #[prost(enumeration = "StateValue", tag = "4")]
    state: i32,
    #[prost(uint32, tag = "5")]
    status: u32,
    #[prost(string, tag = "6")]
    content_type: String,
    #[prost(bytes = "vec", optional, tag = "7")]
    body: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum StateValue {
    Unspecified = 0,
    Intent = 1,
    Done = 2,
    Unknown = 3,
}

#[derive(Clone, PartialEq, Message)]
struct SegmentRef {
    #[prost(uint32, tag = "1")]
    number: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    newest_s: u64,
    #[prost(fixed64, repeated, tag = "4")]
    prefixes: Vec<u64>,
}

/// Value of an object `once-log/RANGE.N`.
#[derive(Clone, PartialEq, Message)]
struct SegmentValue {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, repeated, tag = "2")]
    records: Vec<RecordValue>,
}

/// Encodes the object of a range.
pub(super) fn encode_table(table: &Table) -> Arc<[u8]> {
    let value = TableValue {
        format: FORMAT,
        epoch: table.claim.epoch.0,
        holder: table.claim.holder.as_ref().map(holder_value),
        stamp_incarnation: table.stamp.incarnation.0,
        stamp_seq: table.stamp.seq,
        clock_s: table.clock_s,
        next_segment: table.next_segment,
        records: table.records.iter().map(record_value).collect(),
        segments: table.segments.iter().map(segment_ref).collect(),
    };
    Arc::from(value.encode_to_vec())
}

/// Decodes the object of a range, or returns `None` if it is not one in the current format.
pub(super) fn decode_table(bytes: &[u8]) -> Option<Table> {
    let value = TableValue::decode(bytes).ok().filter(|value| value.format == FORMAT)?;
    let holder = value.holder.map(|holder| Holder {
        address: Name::from(holder.address),
        incarnation: Incarnation(holder.incarnation),
    });
    Some(Table {
        claim: ClaimRecord { epoch: Epoch(value.epoch), holder },
        stamp: WriteStamp {
            incarnation: Incarnation(value.stamp_incarnation),
            seq: value.stamp_seq,
        },
        clock_s: value.clock_s,
        records: decode_records(value.records)?,
        segments: value.segments.into_iter().map(decode_segment_ref).collect(),
        next_segment: value.next_segment,
    })
}

/// Encodes a segment of sealed records.
pub(super) fn encode_segment(records: &BTreeMap<KeyHash, Record>) -> Arc<[u8]> {
    let records = records.iter().map(record_value).collect();
    Arc::from(SegmentValue { format: FORMAT, records }.encode_to_vec())
}

/// Decodes a segment, or returns `None` if it is not one in the current format.
pub(super) fn decode_segment(bytes: &[u8]) -> Option<BTreeMap<KeyHash, Record>> {
    let value = SegmentValue::decode(bytes).ok().filter(|value| value.format == FORMAT)?;
    decode_records(value.records)
}

fn holder_value(holder: &Holder) -> HolderValue {
    HolderValue { address: holder.address.to_string(), incarnation: holder.incarnation.0 }
}

fn record_value((key, record): (&KeyHash, &Record)) -> RecordValue {
    let mut value = RecordValue {
        key: key.0.to_be_bytes().to_vec(),
        content: record.content.0,
        since_s: record.since_s,
        ..RecordValue::default()
    };
    match &record.state {
        RecordState::Intent => value.set_state(StateValue::Intent),
        RecordState::Finished(Outcome::Unknown) => value.set_state(StateValue::Unknown),
        RecordState::Finished(Outcome::Answered(answer)) => {
            value.set_state(StateValue::Done);
            value.status = u32::from(answer.status);
            value.content_type = answer.content_type.to_string();
            value.body = answer.body.as_ref().map(|body| body.to_vec());
        }
    }
    value
}

fn decode_records(values: Vec<RecordValue>) -> Option<BTreeMap<KeyHash, Record>> {
    values.into_iter().map(decode_record).collect()
}

fn decode_record(value: RecordValue) -> Option<(KeyHash, Record)> {
    let key: [u8; KEY_BYTES] = value.key.as_slice().try_into().ok()?;
    let state = match value.state() {
        StateValue::Unspecified => return None,
        StateValue::Intent => RecordState::Intent,
        StateValue::Unknown => RecordState::Finished(Outcome::Unknown),
        StateValue::Done => RecordState::Finished(Outcome::Answered(Answer {
            status: u16::try_from(value.status).ok()?,
            content_type: Name::from(value.content_type),
            body: value.body.map(Arc::from),
        })),
    };
    let (content, since_s) = (ContentHash(value.content), value.since_s);
    Some((KeyHash(u128::from_be_bytes(key)), Record { content, state, since_s }))
}

fn segment_ref((number, segment): (&u32, &Segment)) -> SegmentRef {
    SegmentRef {
        number: *number,
        version: segment.version.0,
        newest_s: segment.newest_s,
        prefixes: segment.prefixes.clone(),
    }
}

fn decode_segment_ref(value: SegmentRef) -> (u32, Segment) {
    let (newest_s, prefixes) = (value.newest_s, value.prefixes);
    (value.number, Segment { version: Version(value.version), newest_s, prefixes })
}
