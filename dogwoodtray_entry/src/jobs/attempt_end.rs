//! Handling of attempt results.

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::api::ItemAttemptEnd;
use super::attempts::Attempt;
use super::config::JobConfig;
use super::driven_job::DrivenJob;
use super::outcome::ItemOutcome;
use super::outcome::ItemResult;
use super::outcome::Reason;

/// Weight of the latest duration in the moving average.
const LATEST_DURATION_WEIGHT: f64 = 0.1;
const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVER_ERROR: u16 = 500;

impl DrivenJob {
    /// Handles the result of an attempt. Returns other attempts at the item that are now redundant.
    pub(crate) fn on_attempt_end(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        id: AttemptId,
        attempt: &Attempt,
        end: ItemAttemptEnd,
    ) -> Vec<AttemptId> {
        let item = attempt.item;
        if let Some(active) = self.active.get_mut(&item) {
            active.running.retain(|running| *running != id);
            self.running -= 1;
            self.running_items -= u32::from(active.running.is_empty());
        }
        if self.resolved.get(item) {
            debug_assert!(false, "attempts at an item are removed when it gets an outcome");
            return Vec::new();
        }
        if matches!(end, ItemAttemptEnd::Answered { .. }) {
            let millis = (now - attempt.sent_at).as_secs_f64() * 1_000.0;
            self.mean_attempt_ms += (millis - self.mean_attempt_ms) * LATEST_DURATION_WEIGHT;
        }
        let outcome = if self.header.idempotent {
            self.resolve_idempotent(cfg, now, attempt, end)
        } else {
            self.resolve_non_idempotent(attempt, end)
        };
        let Some(outcome) = outcome else {
            return Vec::new();
        };
        self.record_outcome(now, item, Name::clone(&attempt.custom_id), outcome)
    }

    /// Returns the outcome of an idempotent item, or `None` if a retry was scheduled.
    fn resolve_idempotent(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        attempt: &Attempt,
        end: ItemAttemptEnd,
    ) -> Option<ItemOutcome> {
        let item = attempt.item;
        match end {
            ItemAttemptEnd::Answered { status, body } => {
                return Some(ItemOutcome::Done { status, body });
            }
            ItemAttemptEnd::Preempted { partial, tokens } => {
                self.on_preempted(item, now, partial, tokens);
            }
            ItemAttemptEnd::NotRun | ItemAttemptEnd::Cancelled => {
                self.schedule_retry(item, now + cfg.retry_delay);
            }
            // A crash is no failure of the item. One that crashes endpoints is held by the online core,
            // which then reports that it was not run.
            ItemAttemptEnd::Crashed => self.retry_elsewhere(cfg, now, attempt),
            ItemAttemptEnd::Failed { status, body } if is_final(status) => {
                return Some(ItemOutcome::Failed { reason: Reason::Refused, status, body });
            }
            ItemAttemptEnd::Failed { status, body } => {
                return self.count_failed_attempt(cfg, now, attempt, status, body);
            }
            ItemAttemptEnd::Unknown => {
                return self.count_failed_attempt(cfg, now, attempt, 0, Bytes::new());
            }
        }
        None
    }

    /// Returns the outcome of an item that must run at most once, or `None` if it was not run and
    /// can still be dispatched.
    fn resolve_non_idempotent(
        &mut self,
        attempt: &Attempt,
        end: ItemAttemptEnd,
    ) -> Option<ItemOutcome> {
        match end {
            ItemAttemptEnd::Answered { status, body } => Some(ItemOutcome::Done { status, body }),
            ItemAttemptEnd::Failed { status, body } => {
                Some(ItemOutcome::Failed { reason: Reason::Refused, status, body })
            }
            // The agent never forwarded the item, and its intent is still stored.
            ItemAttemptEnd::NotRun if !attempt.started => {
                self.active.remove(&attempt.item);
                self.with_intent.push_back(attempt.item);
                None
            }
            _ => Some(ItemOutcome::failed(Reason::Unknown)),
        }
    }

    fn on_preempted(&mut self, item: u32, now: Timestamp, partial: Bytes, tokens: u32) {
        let active = self.active.entry(item).or_default();
        let has_progress = tokens > active.tokens;
        if has_progress {
            active.partial = partial;
            active.tokens = tokens;
        }
        if !active.running.is_empty() {
            return;
        }
        // Only an item that made progress is resumed before new items. Otherwise an item that is
        // preempted repeatedly could block the others.
        if has_progress {
            self.to_resume.push_back(item);
        } else {
            self.to_retry.insert((now, item));
        }
    }

    fn schedule_retry(&mut self, item: u32, not_before: Timestamp) {
        let other_running = self.active.get(&item).is_some_and(|active| !active.running.is_empty());
        if !other_running {
            self.to_retry.insert((not_before, item));
        }
    }

    fn count_failed_attempt(
        &mut self,
        cfg: &JobConfig,
        now: Timestamp,
        attempt: &Attempt,
        status: u16,
        body: Bytes,
    ) -> Option<ItemOutcome> {
        let item = attempt.item;
        let tries = self.failed_attempts.entry(item).or_default();
        *tries = tries.saturating_add(1);
        if *tries >= cfg.max_attempts {
            return Some(ItemOutcome::Failed { reason: Reason::AttemptsExhausted, status, body });
        }
        self.retry_elsewhere(cfg, now, attempt);
        None
    }

    fn retry_elsewhere(&mut self, cfg: &JobConfig, now: Timestamp, attempt: &Attempt) {
        if let Some(active) = self.active.get_mut(&attempt.item) {
            active.excluded_endpoint = Some(attempt.endpoint);
        }
        self.schedule_retry(attempt.item, now + cfg.retry_delay);
    }

    /// Records the outcome of an item. Returns its remaining attempts, which are now redundant.
    fn record_outcome(
        &mut self,
        now: Timestamp,
        item: u32,
        custom_id: Name,
        outcome: ItemOutcome,
    ) -> Vec<AttemptId> {
        self.resolved.set(item);
        self.unresolved -= 1;
        self.failed_attempts.remove(&item);
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        let result = ItemResult { item, custom_id, outcome };
        self.pending_bytes += result.size();
        self.pending.push_back(result);
        let redundant = self.active.remove(&item).map(|active| active.running).unwrap_or_default();
        self.running -= redundant.len();
        self.running_items -= u32::from(!redundant.is_empty());
        self.recent_outcomes += 1;
        redundant
    }
}

/// Returns `true` if the status is a client error that a retry cannot change.
fn is_final(status: u16) -> bool {
    (BAD_REQUEST..SERVER_ERROR).contains(&status)
        && status != REQUEST_TIMEOUT
        && status != TOO_MANY_REQUESTS
}
