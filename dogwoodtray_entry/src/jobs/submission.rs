//! Validation of submissions, and the job name and header derived from them.

use std::collections::HashSet;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use rand::Rng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_128;

use super::api::Submission;
use super::bitmap::Bitmap;
use super::config::JobConfig;
use super::header::Counts;
use super::header::Header;
use super::header::JobState;
use super::items;
use super::reply::Refusal;

/// Validates a submission against the limits and returns its size in bytes.
pub(crate) fn check(
    cfg: &JobConfig,
    submission: &Submission,
    now_ms: u64,
) -> Result<usize, Refusal> {
    if submission.items.is_empty() {
        return Err(Refusal::Empty);
    }
    if submission.items.len() > cfg.max_items as usize {
        return Err(Refusal::TooManyItems { limit: cfg.max_items });
    }
    if submission.due_unix_ms.is_some_and(|due| due <= now_ms) {
        return Err(Refusal::Overdue);
    }
    let mut total = 0;
    let mut ids = HashSet::with_capacity(submission.items.len());
    for (custom_id, body) in &submission.items {
        let size = items::item_size(custom_id, body);
        if size > cfg.max_item_bytes {
            let custom_id = Name::clone(custom_id);
            return Err(Refusal::ItemTooLarge { custom_id, limit: cfg.max_item_bytes });
        }
        if !ids.insert(custom_id) {
            return Err(Refusal::DuplicateId { custom_id: Name::clone(custom_id) });
        }
        total += size;
    }
    if total > cfg.max_job_bytes {
        return Err(Refusal::JobTooLarge { limit: cfg.max_job_bytes });
    }
    Ok(total)
}

/// Returns the name of the job: a hash of organization and key, or a random name without a key.
pub(crate) fn job_name(submission: &Submission, rng: &mut StdRng) -> Name {
    let Some(key) = &submission.key else {
        return Name::from(format!("{:032x}", rng.random::<u128>()));
    };
    let mut buf = Vec::new();
    items::put_bytes(&mut buf, submission.organization.as_bytes());
    items::put_bytes(&mut buf, key.as_bytes());
    Name::from(format!("{:032x}", xxh3_128(&buf)))
}

fn content_hash(submission: &Submission) -> ContentHash {
    let mut hasher = Xxh3::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(submission.organization.as_bytes());
    add(submission.model.as_bytes());
    add(&[u8::from(submission.idempotent), u8::from(submission.due_unix_ms.is_some())]);
    add(&submission.due_unix_ms.unwrap_or(0).to_le_bytes());
    for (custom_id, body) in &submission.items {
        add(custom_id.as_bytes());
        add(body);
    }
    ContentHash(hasher.digest())
}

/// Returns the initial header of a submitted job.
pub(crate) fn new_header(cfg: &JobConfig, submission: &Submission, now_ms: u64) -> Header {
    let count = u32::try_from(submission.items.len()).unwrap_or(u32::MAX);
    let default_due = now_ms + cfg.default_due.as_millis() as u64;
    Header {
        organization: Name::clone(&submission.organization),
        key: submission.key.clone(),
        content: content_hash(submission),
        model: Name::clone(&submission.model),
        idempotent: submission.idempotent,
        due_unix_ms: submission.due_unix_ms.unwrap_or(default_due),
        chunks: items::split(&submission.items, cfg.chunk_bytes),
        state: JobState::Open,
        rest: None,
        epoch: Epoch::default(),
        driver: None,
        stamp: Default::default(),
        counts: Counts { items: count, ..Counts::default() },
        ended: Bitmap::new(count),
        intents: Default::default(),
        lost: Vec::new(),
        tries: Default::default(),
        segments: Vec::new(),
    }
}
