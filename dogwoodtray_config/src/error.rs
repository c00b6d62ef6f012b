//! Error types.

#![allow(missing_docs, reason = "quick_error! passes no documentation to fields of variants")]

use dogwoodtray_coord::ContentHash;
use quick_error::quick_error;
use serde::Serialize;

use crate::pointer::SetRef;

/// An error in a file of configuration objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for FileError {}

quick_error! {
    /// An error while encoding a snapshot or a delta.
    #[derive(Debug)]
    pub enum EncodeError {
        /// The content or its encoded form exceeds the size limit.
        TooLarge { bytes: usize, limit: usize } {
            display("the compressed set has {bytes} bytes, at most {limit} are allowed")
        }
        /// An object cannot be represented as JSON.
        Json(err: serde_json::Error) {
            display("an object has no JSON form: {err}")
            source(err)
        }
    }
}

quick_error! {
    /// An error while decoding a snapshot or a delta.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The header is missing, incomplete or of another format.
        InvalidHeader {
            display("the bytes do not start with the header of a snapshot")
        }
        /// This build does not support the format version in the header.
        UnknownVersion(format: u8) {
            display("format {format} of the snapshot is unknown")
        }
        /// The content size in the header exceeds the limit.
        TooLarge { bytes: usize, limit: usize } {
            display("the header names {bytes} bytes, at most {limit} are allowed")
        }
        /// The compressed content is damaged.
        Compression(err: lz4_flex::block::DecompressError) {
            display("the compressed part is damaged: {err}")
            source(err)
        }
        /// The content does not match its recorded hash.
        HashMismatch { expected: ContentHash, actual: ContentHash } {
            display("the content has the hash {actual} instead of {expected}")
        }
        /// The delta starts from another snapshot.
        BaseMismatch { base: SetRef, own: SetRef } {
            display("the changes start from set {base}, not from {own}")
        }
        /// The content is not valid JSON of the expected type.
        Json(err: serde_json::Error) {
            display("the content is not a set of objects: {err}")
            source(err)
        }
    }
}
