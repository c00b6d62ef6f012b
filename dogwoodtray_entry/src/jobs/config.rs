//! Settings of the job core.

use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;

/// Identity of the process that embeds a job core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Me {
    /// Name of the entry, stable across restarts.
    pub name: Name,
    /// Address on which other entries reach it.
    pub addr: Name,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// Settings of the job core.
#[derive(Clone, Debug)]
pub struct JobConfig {
    /// Most items in one job.
    pub max_items: u32,
    /// Most bytes of one item, custom id included.
    pub max_item_bytes: usize,
    /// Most bytes of one job before compression.
    pub max_job_bytes: usize,
    /// Bytes of one chunk of items before compression; a single larger item has a chunk of its own.
    /// The worst case of lz4 (0.4% growth) stays below the 1 MB that the store holds.
    pub chunk_bytes: usize,
    /// Most bytes of all submissions in hand.
    pub max_intake_bytes: usize,
    /// Most submissions in hand at once.
    pub max_intakes: usize,
    /// Time after which a submission that waits for the store is given up.
    pub intake_timeout: Duration,
    /// Time after which a status, results or cancel call that waits for the store is given up.
    pub read_timeout: Duration,
    /// Time until a job is due when its caller names none.
    pub default_due: Duration,
    /// Attempts at an item that may crash or fail.
    pub max_attempts: u8,
    /// Wait before an item that crashed or failed is tried again.
    pub retry_delay: Duration,
    /// Time after which an offer of places lapses.
    pub credit_ttl: Duration,
    /// Outcomes that start a commit.
    pub commit_items: usize,
    /// Bytes of outcomes that start a commit, and most bytes in one segment.
    pub commit_bytes: usize,
    /// Age of the oldest outcome that starts a commit.
    pub commit_delay: Duration,
    /// Time between commits of the process that are due by age. With many jobs the age limit of
    /// each grows to this times the count of jobs, which bounds the writes of the process.
    pub commit_spacing: Duration,
    /// Time between commits of intents of the process. It grows like `commit_spacing`, with the
    /// count of non-idempotent jobs.
    pub intent_spacing: Duration,
    /// Bytes of outcomes that are not stored yet, in the whole process, above which no item is
    /// dispatched.
    pub max_held_bytes: usize,
    /// Outcomes that are not stored yet, in the whole process, above which no item is dispatched.
    pub max_held_outcomes: usize,
    /// Chunks of items that a job keeps in memory.
    pub max_loaded_chunks: usize,
    /// Most intents of one job that are stored ahead of their outcome.
    pub max_intents: usize,
    /// Jobs that one process drives at once.
    pub max_driven: usize,
    /// Age of the last confirmed header above which the driver reads it again before it
    /// dispatches. Bounds how long a cancelled job can start items when the notes about its
    /// cancellation are lost. A job that commits less often costs one read in four fifths of it.
    pub confirm_within: Duration,
    /// Time between looks at the index of unfinished jobs.
    pub scan_interval: Duration,
    /// Names in one page of the index.
    pub scan_page: u32,
    /// Time by which an entry of the next lower rank waits longer before it looks at a job.
    pub rank_stagger: Duration,
    /// Time between probes of a driver.
    pub probe_interval: Duration,
    /// Time after which a probe without an answer counts as silence.
    pub probe_timeout: Duration,
    /// Probes that one process sends per second.
    pub probes_per_second: u32,
    /// Silence of a driver after which its jobs are taken over.
    pub takeover_silence: Duration,
    /// Age at which an index entry without a header is removed.
    pub orphan_age: Duration,
    /// Wait for running items in a planned stop.
    pub drain_timeout: Duration,
    /// Running items of a job at or below which it counts as nearly done.
    pub straggler_items: usize,
    /// Slack below which a nearly done job starts second attempts.
    pub straggler_slack: Duration,
    /// Age of an attempt at which a second one may start.
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
            read_timeout: Duration::from_secs(10),
            default_due: Duration::from_secs(24 * 3600),
            max_attempts: 3,
            retry_delay: Duration::from_millis(500),
            credit_ttl: Duration::from_secs(1),
            commit_items: 500,
            commit_bytes: 512 * 1024,
            commit_delay: Duration::from_secs(1),
            commit_spacing: Duration::from_millis(500),
            intent_spacing: Duration::from_millis(250),
            max_held_bytes: 8 * 1024 * 1024,
            max_held_outcomes: 20_000,
            max_loaded_chunks: 3,
            max_intents: 256,
            max_driven: 128,
            confirm_within: Duration::from_secs(5),
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
