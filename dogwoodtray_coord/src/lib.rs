//! Coordination parts that decide without a clock, a socket or a thread.
//!
//! Each part is a state machine: it is handed the current [`Timestamp`] and an event, and it
//! returns or appends the actions that its owner carries out. Nothing here reads a clock or does
//! I/O, so the same code runs in the daemons, in model checks and in tests.

mod types;
mod write;

pub use crate::types::*;
pub use crate::write::StampedWrite;
pub use crate::write::WriteResult;
pub use crate::write::WriteStep;
