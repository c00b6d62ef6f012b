//! Outcomes of the items of a job.

use bytes::Bytes;
use dogwoodtray_coord::Name;

/// Reason why an item failed or was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The endpoint rejected the item with a permanent error.
    Refused,
    /// All attempts failed.
    AttemptsExhausted,
    /// The content is quarantined. Only earlier versions recorded it.
    Quarantined,
    /// The deadline of the job passed before the item had an outcome.
    Deadline,
    /// The model or service was closed.
    ServiceClosed,
    /// The item may have run and is not retried.
    Unknown,
    /// The answer is too large to store.
    AnswerTooLarge,
}

impl Reason {
    pub(crate) const ALL: [Self; 7] = [
        Self::Refused,
        Self::AttemptsExhausted,
        Self::Quarantined,
        Self::Deadline,
        Self::ServiceClosed,
        Self::Unknown,
        Self::AnswerTooLarge,
    ];

    /// Returns the name of the reason as reported to callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::AttemptsExhausted => "attempts_exhausted",
            Self::Quarantined => "quarantined",
            Self::Deadline => "deadline",
            Self::ServiceClosed => "service_closed",
            Self::Unknown => "unknown",
            Self::AnswerTooLarge => "answer_too_large",
        }
    }
}

/// Outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The item was answered.
    Done {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Bytes,
    },
    /// The item failed.
    Failed {
        /// Reason of the failure.
        reason: Reason,
        /// HTTP status, or 0 if there was no answer.
        status: u16,
        /// Body of the error.
        body: Bytes,
    },
    /// The job was cancelled before the item had an outcome.
    Cancelled {
        /// Whether the item may have run.
        may_have_run: bool,
    },
}

impl ItemOutcome {
    pub(crate) fn failed(reason: Reason) -> Self {
        Self::Failed { reason, status: 0, body: Bytes::new() }
    }

    pub(crate) fn body_len(&self) -> usize {
        match self {
            Self::Done { body, .. } | Self::Failed { body, .. } => body.len(),
            Self::Cancelled { .. } => 0,
        }
    }
}

/// Outcome of one item, with its index and custom id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Index of the item.
    pub item: u32,
    /// Custom id supplied by the caller.
    pub custom_id: Name,
    /// Its outcome.
    pub outcome: ItemOutcome,
}

/// Upper bound on the size of a record in bytes, excluding its custom id and body.
const RECORD_OVERHEAD_BYTES: usize = 32;

impl ItemResult {
    pub(crate) fn size(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.custom_id.len() + self.outcome.body_len()
    }
}
