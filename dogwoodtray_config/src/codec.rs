//! Binary encoding of snapshots and deltas.
//!
//! The encoded form consists of a magic number, the format version, the hash and the size of the
//! content, and the content compressed with LZ4. Numbers are little-endian.

use std::sync::Arc;

use dogwoodtray_coord::ContentHash;

use crate::error::DecodeError;
use crate::error::EncodeError;

/// Maximum size of an encoded snapshot. The store accepts values of up to 1 MB.
pub const MAX_ENCODED_BYTES: usize = 1_000_000;

/// Maximum size of the content before compression. Limits the memory that is allocated for a
/// damaged header.
const MAX_CONTENT_BYTES: usize = 16 * 1024 * 1024;

const FORMAT_VERSION: u8 = 1;
const MAGIC_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC_BYTES + 1 + size_of::<u64>() + size_of::<u32>();

/// Type of the encoded content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// A full snapshot.
    Snapshot,
    /// The changes between two snapshots.
    Delta,
}

impl Format {
    const fn magic(self) -> [u8; MAGIC_BYTES] {
        match self {
            Self::Snapshot => *b"DTCS",
            Self::Delta => *b"DTCD",
        }
    }

    /// Returns whether `bytes` start with the magic number of this format.
    pub(crate) fn matches(self, bytes: &[u8]) -> bool {
        bytes.starts_with(&self.magic())
    }
}

/// Encodes and compresses content.
pub(crate) fn encode(format: Format, content: &[u8]) -> Result<Arc<[u8]>, EncodeError> {
    if content.len() > MAX_CONTENT_BYTES {
        return Err(EncodeError::TooLarge { bytes: content.len(), limit: MAX_CONTENT_BYTES });
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len() / 2);
    bytes.extend_from_slice(&format.magic());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&ContentHash::of(content).0.to_le_bytes());
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&lz4_flex::block::compress(content));
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(EncodeError::TooLarge { bytes: bytes.len(), limit: MAX_ENCODED_BYTES });
    }
    Ok(Arc::from(bytes))
}

/// Decodes content and returns it with its hash.
pub(crate) fn decode(format: Format, bytes: &[u8]) -> Result<(Vec<u8>, ContentHash), DecodeError> {
    let (header, compressed) = Header::split(format, bytes)?;
    let content = lz4_flex::block::decompress(compressed, header.content_bytes)
        .map_err(DecodeError::Compression)?;
    let actual = ContentHash::of(&content);
    if actual != header.hash {
        return Err(DecodeError::HashMismatch { expected: header.hash, actual });
    }
    Ok((content, actual))
}

struct Header {
    hash: ContentHash,
    content_bytes: usize,
}

impl Header {
    fn split(format: Format, bytes: &[u8]) -> Result<(Self, &[u8]), DecodeError> {
        let rest = bytes.strip_prefix(&format.magic()).ok_or(DecodeError::InvalidHeader)?;
        let (version, rest) = rest.split_first().ok_or(DecodeError::InvalidHeader)?;
        if *version != FORMAT_VERSION {
            return Err(DecodeError::UnknownVersion(*version));
        }
        let (hash, rest) = rest.split_first_chunk().ok_or(DecodeError::InvalidHeader)?;
        let (size, compressed) = rest.split_first_chunk().ok_or(DecodeError::InvalidHeader)?;
        let content_bytes = u32::from_le_bytes(*size) as usize;
        if content_bytes > MAX_CONTENT_BYTES {
            return Err(DecodeError::TooLarge { bytes: content_bytes, limit: MAX_CONTENT_BYTES });
        }
        Ok((Self { hash: ContentHash(u64::from_le_bytes(*hash)), content_bytes }, compressed))
    }
}
