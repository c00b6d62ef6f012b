//! How an item of a job ended.

use bytes::Bytes;
use dogwoodtray_coord::Name;

/// Why an item failed or was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The endpoint refused the item for good.
    Refused,
    /// All attempts crashed or failed.
    AttemptsExhausted,
    /// The content is quarantined.
    Quarantined,
    /// The job was due before the item ended.
    Deadline,
    /// The model or service was closed.
    ServiceClosed,
    /// The item may have run, and is not run again.
    Unknown,
    /// The answer is larger than a segment.
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

    /// Returns the name shown to callers.
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

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The item was answered.
    Done {
        /// HTTP status.
        status: u16,
        /// The answer.
        body: Bytes,
    },
    /// The item failed.
    Failed {
        /// Why.
        reason: Reason,
        /// HTTP status; 0 when there was no answer.
        status: u16,
        /// Body of the error.
        body: Bytes,
    },
    /// The job was cancelled before the item ended.
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

/// Recorded end of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Index of the item.
    pub item: u32,
    /// Custom id that the caller gave it.
    pub custom_id: Name,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// Bytes that a record takes besides its custom id and body, rounded up.
const RECORD_BYTES: usize = 32;

impl ItemResult {
    pub(crate) fn size(&self) -> usize {
        RECORD_BYTES + self.custom_id.len() + self.outcome.body_len()
    }
}
