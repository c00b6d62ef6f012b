//! Selection of the next item of a driven job.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;

use super::attempts::Attempts;
use super::calls::Context;
use super::calls::DriveCall;
use super::driven_job::Chunk;
use super::driven_job::DrivenJob;
use super::header::Header;
use super::header::JobState;
use super::items;

/// Fraction of `max_header_age` by which a header is confirmed early.
const EARLY_CONFIRM_FRACTION: f64 = 0.2;
/// Delay before a damaged or missing chunk is read again.
const DAMAGED_CHUNK_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of confirming the header of a driven job.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ConfirmResult {
    /// The claim is still valid, or its state could not be determined yet.
    Held,
    /// The job ended, was cancelled, or was claimed by another process.
    Lost,
}

impl DrivenJob {
    /// Returns the next item to run, whose chunk is in memory. Returns `None` and starts the
    /// required load, intent or confirmation if the item cannot run yet.
    pub(crate) fn next_item(&mut self, places: u32, cx: &mut Context) -> Option<u32> {
        if self.ending.is_some() || !self.may_start(cx) {
            return None;
        }
        if self.header.idempotent {
            let item = self.candidate(cx.now)?;
            return self.load(item, cx).then(|| self.take_candidate(item));
        }
        let Some(&item) = self.with_intent.front() else {
            self.select_intents(places, cx);
            return None;
        };
        if !self.load(item, cx) {
            return None;
        }
        self.with_intent.pop_front();
        Some(item)
    }

    /// Returns `true` if the header was confirmed recently enough to start items. Starts the next
    /// confirmation shortly before that expires.
    fn may_start(&mut self, cx: &mut Context) -> bool {
        let max_header_age = cx.cfg.max_header_age;
        let early = max_header_age.mul_f64(EARLY_CONFIRM_FRACTION);
        if cx.now + early >= self.trusted_until && self.confirmation_started.is_none() {
            self.confirmation_started = Some(cx.now);
            let key = super::header::key(&self.job);
            cx.call(self.owner(DriveCall::Confirm), StoreOp::Get { key });
        }
        if self.header.idempotent {
            return cx.now <= self.trusted_until;
        }
        cx.now - self.confirmed_at <= max_header_age
    }

    /// Handles the reply to a read of the header.
    pub(crate) fn on_confirm_reply(
        &mut self,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> ConfirmResult {
        let max_header_age = cx.cfg.max_header_age;
        let (version, value) = match reply {
            StoreReply::Found { version, value } => (version, value),
            StoreReply::Missing => return ConfirmResult::Lost,
            StoreReply::Unavailable { retry_after } => {
                self.on_unreachable(cx.now, max_header_age);
                self.confirmation_started = Some(cx.now + retry_after);
                cx.call_later(self.owner(DriveCall::Confirm), op, retry_after);
                return ConfirmResult::Held;
            }
            _ => {
                self.on_unreachable(cx.now, max_header_age);
                cx.call_later(self.owner(DriveCall::Confirm), op, Duration::ZERO);
                return ConfirmResult::Held;
            }
        };
        let started = self.confirmation_started.take().unwrap_or(self.confirmed_at);
        if version == self.version {
            self.on_confirmed(started, max_header_age);
            return ConfirmResult::Held;
        }
        let Some(header) = Header::decode(&value) else {
            return ConfirmResult::Lost;
        };
        // A newer version under the same claim was written by a commit of this process whose
        // reply has not arrived yet.
        if header.state == JobState::Open && header.epoch == self.header.epoch {
            return ConfirmResult::Held;
        }
        if self.commit.is_some() {
            // The commit in flight will be fenced by this header and will clean up its segment. No
            // item may start until then.
            self.trusted_until = Timestamp::ZERO;
            self.confirmed_at = Timestamp::ZERO;
            return ConfirmResult::Held;
        }
        ConfirmResult::Lost
    }

    fn candidate(&mut self, now: Timestamp) -> Option<u32> {
        if let Some(&item) = self.to_resume.front() {
            return Some(item);
        }
        while self.next_new_item < self.header.counts.items && self.resolved.get(self.next_new_item)
        {
            self.next_new_item += 1;
        }
        if self.next_new_item < self.header.counts.items {
            return Some(self.next_new_item);
        }
        let &(not_before, item) = self.to_retry.first()?;
        (not_before <= now).then_some(item)
    }

    fn take_candidate(&mut self, item: u32) -> u32 {
        if self.to_resume.front() == Some(&item) {
            self.to_resume.pop_front();
        } else if self.next_new_item == item {
            self.next_new_item += 1;
        } else {
            self.to_retry.pop_first();
        }
        item
    }

    fn select_intents(&mut self, places: u32, cx: &Context) {
        if self.commit.is_some() || !self.intents_to_store.is_empty() {
            return;
        }
        let available = cx.cfg.max_intents.saturating_sub(self.header.intents.len());
        // Intents for the next commit interval are stored in advance, so that a small number of
        // commits is enough for many items.
        let count = available.min((self.recent_outcomes * 2).max(places as usize));
        while self.intents_to_store.len() < count && self.next_new_item < self.header.counts.items {
            if !self.resolved.get(self.next_new_item) {
                self.intents_to_store.insert(self.next_new_item);
            }
            self.next_new_item += 1;
        }
    }

    /// Returns `true` if the chunk of the item is in memory. Otherwise starts to load it.
    fn load(&mut self, item: u32, cx: &mut Context) -> bool {
        let (chunk, _) = self.header.chunk_of(item);
        if let Some(loaded) = self.chunks.get_mut(&chunk) {
            loaded.used_at = cx.now;
            return true;
        }
        if self.loading_chunk.is_none() {
            self.loading_chunk = Some(chunk);
            let key = self.header.chunk_key(&self.job, chunk);
            cx.call(self.owner(DriveCall::Chunk(chunk)), StoreOp::Get { key });
        }
        false
    }

    /// Handles the reply to the load of a chunk. A damaged or missing chunk is read again until the
    /// deadline of the job, at which its items fail.
    pub(crate) fn on_chunk_reply(
        &mut self,
        chunk: u32,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) {
        let (items, retry_after) = match reply {
            StoreReply::Found { value, .. } => (items::decode(&value), DAMAGED_CHUNK_RETRY_DELAY),
            StoreReply::Missing => (None, DAMAGED_CHUNK_RETRY_DELAY),
            StoreReply::Unavailable { retry_after } => (None, retry_after),
            _ => (None, Duration::ZERO),
        };
        let Some(items) = items else {
            cx.call_later(self.owner(DriveCall::Chunk(chunk)), op, retry_after);
            return;
        };
        self.loading_chunk = None;
        while self.chunks.len() >= cx.cfg.max_loaded_chunks.max(1) {
            let oldest = self.chunks.iter().min_by_key(|(_, loaded)| loaded.used_at);
            let Some((&oldest, _)) = oldest else {
                break;
            };
            self.chunks.remove(&oldest);
        }
        let first = self.header.chunks[..chunk as usize].iter().sum();
        self.chunks.insert(chunk, Chunk { first, items, used_at: cx.now });
    }

    /// Returns an item of a nearly done job whose only attempt is a straggler, and that attempt.
    pub(crate) fn straggler(
        &mut self,
        attempts: &Attempts,
        cx: &mut Context,
    ) -> Option<(u32, AttemptId)> {
        let nearly_done = self.waiting() == 0 && self.active.len() <= cx.cfg.straggler_items;
        let slack_is_short = self.slack_ms(cx.unix_ms) < cx.cfg.straggler_slack.as_millis() as i64;
        if !self.header.idempotent || self.ending.is_some() || !nearly_done || !slack_is_short {
            return None;
        }
        let (item, attempt) = self.active.iter().find_map(|(item, active)| {
            let [attempt] = active.running[..] else {
                return None;
            };
            let age = cx.now - attempts.get(attempt)?.sent_at;
            (age >= cx.cfg.straggler_age).then_some((*item, attempt))
        })?;
        (self.may_start(cx) && self.load(item, cx)).then_some((item, attempt))
    }
}
