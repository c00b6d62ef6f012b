//! Encoding of the items of a job in compressed chunks.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use dogwoodtray_coord::Name;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Returns the encoded size of an item in bytes, before compression.
pub(crate) fn item_size(custom_id: &str, body: &[u8]) -> usize {
    LENGTH_PREFIX_BYTES * 2 + custom_id.len() + body.len()
}

/// Splits items into chunks and returns the number of items in each chunk.
pub(crate) fn split(items: &[(Name, Bytes)], chunk_bytes: usize) -> Vec<u32> {
    let mut counts = Vec::new();
    let mut count = 0;
    let mut size = 0;
    for (custom_id, body) in items {
        let bytes = item_size(custom_id, body);
        if count > 0 && size + bytes > chunk_bytes {
            counts.push(count);
            count = 0;
            size = 0;
        }
        count += 1;
        size += bytes;
    }
    if count > 0 {
        counts.push(count);
    }
    counts
}

/// Encodes the items of one chunk.
pub(crate) fn encode(items: &[(Name, Bytes)]) -> Vec<u8> {
    let mut buf = Vec::new();
    for (custom_id, body) in items {
        put_bytes(&mut buf, custom_id.as_bytes());
        put_bytes(&mut buf, body);
    }
    lz4_flex::compress_prepend_size(&buf)
}

/// Decodes the items of one chunk. Returns `None` if the chunk is damaged.
pub(crate) fn decode(chunk: &[u8]) -> Option<Vec<(Name, Bytes)>> {
    let mut buf = Bytes::from(lz4_flex::decompress_size_prepended(chunk).ok()?);
    let mut items = Vec::new();
    while buf.has_remaining() {
        let custom_id = take_name(&mut buf)?;
        let body = take_bytes(&mut buf)?;
        items.push((custom_id, body));
    }
    Some(items)
}

pub(crate) fn put_bytes(buf: &mut Vec<u8>, bytes: &[u8]) {
    buf.put_u32_le(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
    buf.put_slice(bytes);
}

pub(crate) fn take_bytes(buf: &mut Bytes) -> Option<Bytes> {
    let len = buf.try_get_u32_le().ok()? as usize;
    (buf.remaining() >= len).then(|| buf.split_to(len))
}

pub(crate) fn take_name(buf: &mut Bytes) -> Option<Name> {
    let bytes = take_bytes(buf)?;
    std::str::from_utf8(&bytes).ok().map(Name::from)
}
