//! Replies to callers.

use dogwoodtray_coord::Name;

use super::header::Counts;
use super::header::JobState;
use super::outcome::ItemResult;

/// Why a submission was not accepted.
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
    /// The due time has passed already.
    Overdue,
    /// The model or service is closed.
    ServiceClosed,
    /// The platform's store cannot be reached.
    StoreUnavailable,
    /// The process is stopping or has too many submissions in hand.
    Busy,
    /// Another process gave up this submission as abandoned before it was complete.
    Abandoned,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted {
        /// Name of the job.
        job: Name,
        /// Whether the job was there before this submission.
        resent: bool,
    },
    /// The key was used before with other content. This submission does not run.
    Conflict {
        /// Name of the job that holds the key.
        job: Name,
    },
    /// The submission did not run and will not run unless it is sent again.
    NotRun(Refusal),
    /// The submission may or may not have been stored. A resend with the same key, or the state of
    /// the named job, tells which.
    Unknown {
        /// Name that the job has if it was stored.
        job: Name,
    },
    /// State of a job.
    Status {
        /// Its state.
        state: JobState,
        /// Its counts.
        counts: Counts,
        /// Organization that it belongs to.
        organization: Name,
        /// Time by which it has to end, in milliseconds since the Unix epoch.
        due_unix_ms: u64,
    },
    /// Part of the results; the next part is read after
    /// [`ResultsTaken`](super::JobEvent::ResultsTaken).
    ResultsPart(Vec<ItemResult>),
    /// All results that the store has were returned.
    ResultsEnd {
        /// State of the job when the reading began.
        state: JobState,
    },
    /// The cancellation is stored. Nothing is recorded from here on.
    Cancelled {
        /// Counts at the cancellation.
        counts: Counts,
    },
    /// The job finished before the cancellation.
    AlreadyFinished,
    /// There is no such job.
    NoSuchJob,
    /// The store cannot be reached. A cancellation had no effect.
    Unavailable,
    /// The cancellation may or may not have been stored.
    CancelUnknown,
    /// An object of the job is damaged or missing.
    Damaged,
}
