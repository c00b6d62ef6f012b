//! Settings of the job core.

use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;

/// Identity of the entry process that runs a job core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Name of the entry, stable across restarts.
    pub name: Name,
    /// Address at which other entries reach the process.
    pub addr: Name,
    /// Incarnation of the process, different after each restart.
    pub incarnation: Incarnation,
}

/// Settings of the job core.
#[derive(Clone, Debug)]
pub struct JobConfig {
    /// Maximum number of items in one job.
    pub max_items: u32,
    /// Maximum size of one item in bytes, including its custom id.
    pub max_item_bytes: usize,
    /// Maximum size of one job in bytes before compression.
    pub max_job_bytes: usize,
    /// Target size of one chunk of items in bytes before compression. An item larger than this is
    /// stored in a chunk of its own. In the worst case lz4 grows the data by 0.4%, which stays
    /// below the store's limit of 1 MB per object.
    pub chunk_bytes: usize,
    /// Maximum total size in bytes of the submissions in progress.
    pub max_intake_bytes: usize,
    /// Maximum number of submissions in progress.
    pub max_intakes: usize,
    /// Time after which a submission that waits for the store fails.
    pub intake_timeout: Duration,
    /// Time after which a status, results or cancel request that waits for the store fails.
    pub request_timeout: Duration,
    /// Time until the deadline of a job submitted without one.
    pub default_due: Duration,
    /// Maximum number of attempts at an item that fail while their endpoint runs on.
    pub max_attempts: u8,
    /// Delay before the next attempt at an item.
    pub retry_delay: Duration,
    /// Time after which an offer of places expires.
    pub credit_ttl: Duration,
    /// Number of pending outcomes that triggers a commit; also the maximum per segment.
    pub commit_items: usize,
    /// Size in bytes of pending outcomes that triggers a commit; also the maximum size of a
    /// segment, except for a single larger outcome.
    pub commit_bytes: usize,
    /// Age of the oldest pending outcome that triggers a commit.
    pub commit_delay: Duration,
    /// Minimum average time between age-triggered commits of the process. The age limit of each job
    /// is at least this value times the number of driven jobs, which bounds the write rate.
    pub commit_spacing: Duration,
    /// Minimum average time between intent commits of the process. As with `commit_spacing`, the
    /// interval of each job is this value times the number of non-idempotent jobs.
    pub intent_spacing: Duration,
    /// Total size in bytes of unstored outcomes in the process at which it stops dispatching
    /// items.
    pub max_unstored_bytes: usize,
    /// Number of unstored outcomes in the process at which it stops dispatching items.
    pub max_unstored_outcomes: usize,
    /// Maximum number of item chunks that a job keeps in memory.
    pub max_loaded_chunks: usize,
    /// Maximum number of stored intents of one job.
    pub max_intents: usize,
    /// Maximum number of jobs that one process drives.
    pub max_driven: usize,
    /// Maximum age of the last confirmation of a job's header at which the driver still dispatches
    /// items. Bounds the time in which a cancelled job can start items if all cancellation
    /// notifications are lost. A job that commits less often than this reads its header once
    /// per four fifths of this interval.
    pub max_header_age: Duration,
    /// Interval between scans of the index of unfinished jobs.
    pub scan_interval: Duration,
    /// Page size of index scans.
    pub scan_page: u32,
    /// Additional delay per rank before an entry checks whether a job needs a driver.
    pub rank_stagger: Duration,
    /// Interval between probes of a driver.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe_timeout: Duration,
    /// Maximum rate of probes sent by one process, per second.
    pub probes_per_second: u32,
    /// Time without an answer from a driver after which other entries claim its jobs.
    pub takeover_silence: Duration,
    /// Age at which an index entry without a header is removed as an orphan.
    pub orphan_age: Duration,
    /// Maximum time that a graceful shutdown waits for running items.
    pub drain_timeout: Duration,
    /// Maximum number of unfinished items at which a job counts as nearly done.
    pub straggler_items: usize,
    /// Slack below which a nearly done job starts second attempts at its stragglers.
    pub straggler_slack: Duration,
    /// Age of an attempt at which its item counts as a straggler.
    pub straggler_age: Duration,
}

impl Default for JobConfig {
    fn default() -> Self {
        Self {
            max_items: 90_000,
            max_item_bytes: 512 * 1024,
            max_job_bytes: 128 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
            max_intakes: 8,
            max_intake_bytes: 256 * 1024 * 1024,
            intake_timeout: Duration::from_secs(20),
            request_timeout: Duration::from_secs(10),
            default_due: Duration::from_secs(24 * 3600),
            max_attempts: 3,
            retry_delay: Duration::from_millis(500),
            credit_ttl: Duration::from_secs(1),
            commit_items: 500,
            commit_bytes: 512 * 1024,
            commit_delay: Duration::from_secs(1),
            commit_spacing: Duration::from_millis(500),
            intent_spacing: Duration::from_millis(250),
            max_unstored_bytes: 8 * 1024 * 1024,
            max_unstored_outcomes: 20_000,
            max_loaded_chunks: 3,
            max_intents: 256,
            max_driven: 128,
            max_header_age: Duration::from_secs(5),
            scan_interval: Duration::from_secs(2),
            scan_page: 500,
            rank_stagger: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
            probes_per_second: 100,
            takeover_silence: Duration::from_secs(3),
            orphan_age: Duration::from_secs(600),
            drain_timeout: Duration::from_secs(10),
            straggler_items: 4,
            straggler_slack: Duration::from_secs(60),
            straggler_age: Duration::from_secs(5),
        }
    }
}
