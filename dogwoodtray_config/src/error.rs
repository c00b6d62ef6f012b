//! Errors.

#![allow(missing_docs, reason = "quick_error! passes no documentation to fields of variants")]

use dogwoodtray_coord::ContentHash;
use quick_error::quick_error;
use serde::Serialize;

use crate::pointer::SetRef;

/// A part of a file that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for FileError {}

quick_error! {
    /// Reason why a snapshot cannot be encoded.
    #[derive(Debug)]
    pub enum EncodeError {
        /// The encoded snapshot exceeds the limit of the store.
        TooLarge { bytes: usize, limit: usize } {
            display("the compressed set has {bytes} bytes, at most {limit} are allowed")
        }
        /// An object has no JSON form.
        Json(err: serde_json::Error) {
            display("an object has no JSON form: {err}")
            source(err)
        }
    }
}

quick_error! {
    /// Reason why bytes are not a snapshot.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The bytes do not start with the header of a snapshot.
        Header {
            display("the bytes do not start with the header of a snapshot")
        }
        /// The header names a format that this build does not read.
        Format(format: u8) {
            display("format {format} of the snapshot is unknown")
        }
        /// The header names a size above the limit.
        TooLarge { bytes: usize, limit: usize } {
            display("the header names {bytes} bytes, at most {limit} are allowed")
        }
        /// The compressed part is damaged.
        Compression(err: lz4_flex::block::DecompressError) {
            display("the compressed part is damaged: {err}")
            source(err)
        }
        /// The content does not have the hash in the header.
        Hash { expected: ContentHash, actual: ContentHash } {
            display("the content has the hash {actual} instead of {expected}")
        }
        /// The changes start from another snapshot.
        Base { base: SetRef, own: SetRef } {
            display("the changes start from set {base}, not from {own}")
        }
        /// The content is not a set of objects.
        Json(err: serde_json::Error) {
            display("the content is not a set of objects: {err}")
            source(err)
        }
    }
}
