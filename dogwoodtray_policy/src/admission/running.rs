//! Streams inside the engine.

use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use crate::Class;
use crate::Cost;
use crate::WorkId;

/// A stream inside the engine.
#[derive(Clone, Copy, Debug)]
struct Stream {
    class: Class,
    cost: Cost,
    long: bool,
    /// Whether the stream was cancelled; it leaves the engine at its next step.
    cancelled: bool,
    tokens: u32,
    last_token: Option<Timestamp>,
    /// Sequence number of the entry into the engine.
    entry_seq: u64,
}

impl Stream {
    /// Returns the work that would be lost by a cancellation.
    fn work_done(&self) -> u32 {
        if self.last_token.is_some() { self.cost.work_done(self.tokens) } else { 0 }
    }
}

/// Set of the streams inside the engine, with counts by kind.
#[derive(Debug, Default)]
pub(super) struct RunningSet {
    streams: HashMap<WorkId, Stream>,
    next_entry_seq: u64,
    online: u32,
    long: u32,
    batch: u32,
    cancelled: u32,
    /// Batch streams that have no first token and are not cancelled.
    prefilling_batch: u32,
}

impl RunningSet {
    pub(super) fn contains(&self, id: WorkId) -> bool {
        self.streams.contains_key(&id)
    }

    /// Returns the number of online streams that are not cancelled.
    pub(super) const fn online(&self) -> u32 {
        self.online
    }

    /// Returns the number of long online streams that are not cancelled.
    pub(super) const fn long(&self) -> u32 {
        self.long
    }

    /// Returns the number of streams that are not cancelled.
    pub(super) const fn active(&self) -> u32 {
        self.online + self.batch
    }

    /// Returns the number of all streams, including cancelled ones.
    pub(super) const fn inside(&self) -> u32 {
        self.online + self.batch + self.cancelled
    }

    /// Returns the number of batch streams that are still in prefill.
    pub(super) const fn prefilling_batch(&self) -> u32 {
        self.prefilling_batch
    }

    pub(super) fn insert(&mut self, id: WorkId, class: Class, cost: Cost, long: bool) {
        let entry_seq = self.next_entry_seq;
        self.next_entry_seq += 1;
        let long = long && class == Class::Online;
        let stream =
            Stream { class, cost, long, cancelled: false, tokens: 0, last_token: None, entry_seq };
        self.streams.insert(id, stream);
        self.adjust_counts(stream, true);
    }

    pub(super) fn remove(&mut self, id: WorkId) -> bool {
        let Some(stream) = self.streams.remove(&id) else { return false };
        if stream.cancelled {
            self.cancelled -= 1;
        } else {
            self.adjust_counts(stream, false);
        }
        true
    }

    /// Marks a stream as cancelled.
    pub(super) fn mark_cancelled(&mut self, id: WorkId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.cancelled {
            return;
        }
        stream.cancelled = true;
        let stream = *stream;
        self.adjust_counts(stream, false);
        self.cancelled += 1;
    }

    /// Records tokens and returns the time per token since the previous report of the stream.
    pub(super) fn record_tokens(
        &mut self,
        now: Timestamp,
        id: WorkId,
        tokens: u32,
    ) -> Option<Duration> {
        let stream = self.streams.get_mut(&id)?;
        let last = stream.last_token.replace(now);
        if last.is_none() && stream.class == Class::Batch && !stream.cancelled {
            self.prefilling_batch -= 1;
        }
        let gained = tokens.saturating_sub(stream.tokens);
        stream.tokens = stream.tokens.max(tokens);
        if gained == 0 {
            return None;
        }
        last.map(|last| (now - last) / gained)
    }

    /// Reclassifies a short online stream as long once it has done `long_work_tokens` of work.
    pub(super) fn reclassify(&mut self, id: WorkId, long_work_tokens: u32) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.long || stream.cancelled || stream.class == Class::Batch {
            return;
        }
        if stream.work_done() >= long_work_tokens {
            stream.long = true;
            self.long += 1;
        }
    }

    /// Returns the batch stream with the least work to lose; the newest one in case of a tie.
    pub(super) fn cheapest_batch(&self) -> Option<WorkId> {
        if self.batch == 0 {
            return None;
        }
        let candidates =
            self.streams.iter().filter(|(_, s)| s.class == Class::Batch && !s.cancelled);
        candidates.min_by_key(|(_, s)| (s.work_done(), u64::MAX - s.entry_seq)).map(|(id, _)| *id)
    }

    /// Increments or decrements the counters that apply to a stream.
    fn adjust_counts(&mut self, stream: Stream, increment: bool) {
        let step =
            |counter: &mut u32| *counter = if increment { *counter + 1 } else { *counter - 1 };
        match stream.class {
            Class::Online => step(&mut self.online),
            Class::Batch => step(&mut self.batch),
        }
        if stream.class == Class::Batch && stream.last_token.is_none() {
            step(&mut self.prefilling_batch);
        }
        if stream.long {
            step(&mut self.long);
        }
    }
}
