//! Replies to callers.

use dogwoodtray_coord::Name;

use super::header::Counts;
use super::header::JobState;
use super::outcome::ItemResult;

/// Reason why a submission was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The job has no items.
    Empty,
    /// The job has more items than the limit.
    TooManyItems {
        /// The limit.
        limit: u32,
    },
    /// The job as a whole is larger than the limit.
    JobTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// One item is larger than the limit.
    ItemTooLarge {
        /// Custom id of the item.
        custom_id: Name,
        /// The limit in bytes.
        limit: usize,
    },
    /// Two items have the same custom id.
    DuplicateId {
        /// The custom id.
        custom_id: Name,
    },
    /// The deadline has already passed.
    Overdue,
    /// The model or service is closed.
    ServiceClosed,
    /// The platform's store is unreachable.
    StoreUnavailable,
    /// The process is shutting down or has too many submissions in progress.
    Busy,
    /// Another process marked this submission as abandoned before it was complete.
    Abandoned,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted {
        /// Name of the job.
        job: Name,
        /// Whether the job had already been stored by an earlier submission.
        resent: bool,
    },
    /// The key was already used with different content. This submission does not run.
    Conflict {
        /// Name of the job that uses the key.
        job: Name,
    },
    /// The submission did not run and will not run unless it is sent again.
    NotRun(Refusal),
    /// The submission may or may not have been stored. The caller can resubmit it with the same key
    /// or query the state of the named job.
    Unknown {
        /// Name of the job if it was stored.
        job: Name,
    },
    /// State of a job.
    Status {
        /// Its state.
        state: JobState,
        /// Its item counts.
        counts: Counts,
        /// Organization that it belongs to.
        organization: Name,
        /// Its deadline, in milliseconds since the Unix epoch.
        due_unix_ms: u64,
    },
    /// Part of the results; the next part is read after
    /// [`ResultsConsumed`](super::JobEvent::ResultsConsumed).
    ResultsPart(Vec<ItemResult>),
    /// All stored results were returned.
    ResultsEnd {
        /// State of the job when the request started.
        state: JobState,
    },
    /// The cancellation is stored. No outcomes are recorded after it.
    Cancelled {
        /// Item counts at the time of the cancellation.
        counts: Counts,
    },
    /// The job finished before the cancellation.
    AlreadyFinished,
    /// The job does not exist.
    JobNotFound,
    /// The store is unreachable. A requested cancellation had no effect.
    Unavailable,
    /// The cancellation may or may not have been stored.
    CancelUnknown,
    /// An object of the job is damaged or missing.
    Damaged,
}
