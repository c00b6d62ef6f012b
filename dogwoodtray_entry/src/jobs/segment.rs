//! Encoding of outcome segments.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::ObjectKey;

use super::items::put_bytes;
use super::items::take_bytes;
use super::items::take_name;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;

/// Object kind of outcome segments.
pub(crate) const KIND: &str = "job-outcomes";

const DONE_CODE: u8 = 0;
const FAILED_CODE: u8 = 1;

/// Returns the key of a segment. Zero padding makes names sort by epoch and sequence number.
pub(crate) fn key(job: &str, epoch: Epoch, seq: u32) -> ObjectKey {
    ObjectKey::new(KIND, format!("{job}.{:010}.{seq:010}", epoch.0))
}

/// Parses the epoch and sequence number from the name of a segment.
pub(crate) fn parse_name(name: &str) -> Option<(Epoch, u32)> {
    let mut parts = name.rsplitn(3, '.');
    let seq = parts.next()?.parse().ok()?;
    let epoch = parts.next()?.parse().ok()?;
    Some((Epoch(epoch), seq))
}

/// Encodes a segment. Cancelled items are not recorded; they follow from the state of the job.
pub(crate) fn encode(results: &[ItemResult]) -> Vec<u8> {
    let mut buf = Vec::new();
    for result in results {
        let (kind, status, body) = match &result.outcome {
            ItemOutcome::Done { status, body } => (DONE_CODE, *status, body.clone()),
            ItemOutcome::Failed { reason, status, body } => {
                (FAILED_CODE + *reason as u8, *status, body.clone())
            }
            ItemOutcome::Cancelled { .. } => {
                debug_assert!(false, "a cancelled item has no record");
                continue;
            }
        };
        buf.put_u32_le(result.item);
        buf.put_u8(kind);
        buf.put_u16_le(status);
        put_bytes(&mut buf, result.custom_id.as_bytes());
        put_bytes(&mut buf, &body);
    }
    lz4_flex::compress_prepend_size(&buf)
}

/// Decodes a segment. Returns `None` if it is damaged.
#[must_use]
pub fn decode_segment(value: &[u8]) -> Option<Vec<ItemResult>> {
    let mut buf = Bytes::from(lz4_flex::decompress_size_prepended(value).ok()?);
    let mut results = Vec::new();
    while buf.has_remaining() {
        let item = buf.try_get_u32_le().ok()?;
        let kind = buf.try_get_u8().ok()?;
        let status = buf.try_get_u16_le().ok()?;
        let custom_id = take_name(&mut buf)?;
        let body = take_bytes(&mut buf)?;
        let outcome = match kind.checked_sub(FAILED_CODE) {
            None => ItemOutcome::Done { status, body },
            Some(reason) => {
                let reason = *Reason::ALL.get(usize::from(reason))?;
                ItemOutcome::Failed { reason, status, body }
            }
        };
        results.push(ItemResult { item, custom_id, outcome });
    }
    Some(results)
}
