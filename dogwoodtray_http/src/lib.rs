//! HTTP exchanges with endpoints, and what the end of an answer proves.
//!
//! [`EndCheck`] decides whether an answer is complete. [`AnswerBody`] applies it to each answer of an
//! endpoint, so that its reader gets an error where the answer was broken off.

mod break_off;
mod byte_budget;
mod caller_stream;
mod end;
mod event_queue;
mod event_splitter;
mod exchange;
mod request_stream;

pub use crate::break_off::FlushBeforeError;
pub use crate::byte_budget::ByteBudget;
pub use crate::byte_budget::ByteLease;
pub use crate::byte_budget::OutOfBytes;
pub use crate::caller_stream::CallerStream;
pub use crate::caller_stream::RequestVersions;
pub use crate::end::AnswerKind;
pub use crate::end::BodyFraming;
pub use crate::end::BodyKind;
pub use crate::end::EndCheck;
pub use crate::end::Truncation;
pub use crate::event_queue::EventQueue;
pub use crate::event_queue::Incomplete;
pub use crate::event_queue::QueuedEvents;
pub use crate::event_splitter::EventSplitter;
pub use crate::event_splitter::EventTooLarge;
pub use crate::event_splitter::MAX_EVENT_BYTES;
pub use crate::exchange::AnswerBody;
pub use crate::exchange::AnswerError;
pub use crate::exchange::Exchange;
pub use crate::exchange::SendConfig;
pub use crate::exchange::SendError;
pub use crate::exchange::is_refused;
pub use crate::exchange::send;
