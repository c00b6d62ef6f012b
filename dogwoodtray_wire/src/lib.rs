//! Messages between the processes of the system, and their framing.
//!
//! The types in [`messages`] are generated from `messages.proto` by `dogwoodtray_wiregen` and
//! committed. Only the code that sends and receives messages uses them: modules that make decisions
//! use their own types.

mod codec;
mod convert;

/// Message types generated from the schema.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dogwoodtray.rs"]
pub mod messages;

pub use crate::codec::FrameCodec;
pub use crate::codec::MAX_FRAME_BYTES;
pub use crate::codec::WireError;
