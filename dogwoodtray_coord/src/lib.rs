//! Coordination protocols as state machines without clocks, sockets or threads.
//!
//! Each state machine receives the current [`Timestamp`] and an event, and returns or appends the
//! actions that its owner carries out. Nothing in this crate reads a clock or performs I/O, so the
//! same code runs in the daemons, in model checks and in tests.

mod backoff;
mod calls;
mod claim;
mod commit;
mod config_age;
mod crashes;
mod generation_view;
mod hlc;
mod members;
mod once;
mod quota;
mod rate_limit;
mod retry;
mod subset;
mod types;
mod write;

pub use crate::backoff::Backoff;
pub use crate::claim::*;
pub use crate::commit::*;
pub use crate::config_age::*;
pub use crate::crashes::*;
pub use crate::generation_view::FetchSource;
pub use crate::generation_view::GenerationView;
pub use crate::generation_view::Readiness;
pub use crate::hlc::Hlc;
pub use crate::hlc::HlcStamp;
pub use crate::hlc::MAX_CLOCK_SKEW;
pub use crate::members::MemberConfig;
pub use crate::members::MemberState;
pub use crate::members::MemberView;
pub use crate::once::*;
pub use crate::quota::*;
pub use crate::rate_limit::*;
pub use crate::retry::RetryBudget;
pub use crate::retry::RetryBudgetConfig;
pub use crate::subset::choose_subset;
pub use crate::types::*;
pub use crate::write::StampedWrite;
pub use crate::write::WriteResult;
pub use crate::write::WriteStep;
