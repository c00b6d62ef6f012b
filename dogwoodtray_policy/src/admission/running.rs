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
    /// Cancelled; it leaves the engine soon.
    exiting: bool,
    tokens: u32,
    last_token: Option<Timestamp>,
    /// Counts the streams in the order in which they entered.
    entered: u64,
}

impl Stream {
    /// Returns the work that a cancellation would lose.
    fn progress(&self) -> u32 {
        if self.last_token.is_some() { self.cost.work_done(self.tokens) } else { 0 }
    }
}

/// Streams inside the engine, with counts by kind.
#[derive(Debug, Default)]
pub(super) struct RunningSet {
    streams: HashMap<WorkId, Stream>,
    entered: u64,
    online: u32,
    long: u32,
    batch: u32,
    exiting: u32,
    /// Batch streams without a first token that were not cancelled.
    starting_batch: u32,
}

impl RunningSet {
    pub(super) fn contains(&self, id: WorkId) -> bool {
        self.streams.contains_key(&id)
    }

    /// Counts online streams that were not cancelled.
    pub(super) const fn online(&self) -> u32 {
        self.online
    }

    /// Counts long online streams that were not cancelled.
    pub(super) const fn long(&self) -> u32 {
        self.long
    }

    /// Counts streams that were not cancelled.
    pub(super) const fn staying(&self) -> u32 {
        self.online + self.batch
    }

    /// Counts all streams, with those that are about to leave.
    pub(super) const fn inside(&self) -> u32 {
        self.online + self.batch + self.exiting
    }

    /// Counts batch streams whose prompt is still being processed.
    pub(super) const fn starting_batch(&self) -> u32 {
        self.starting_batch
    }

    pub(super) fn enter(&mut self, id: WorkId, class: Class, cost: Cost, long: bool) {
        let entered = self.entered;
        self.entered += 1;
        let long = long && class == Class::Online;
        let stream =
            Stream { class, cost, long, exiting: false, tokens: 0, last_token: None, entered };
        self.streams.insert(id, stream);
        self.count(stream, true);
    }

    pub(super) fn remove(&mut self, id: WorkId) -> bool {
        let Some(stream) = self.streams.remove(&id) else { return false };
        if stream.exiting {
            self.exiting -= 1;
        } else {
            self.count(stream, false);
        }
        true
    }

    /// Marks a stream as cancelled.
    pub(super) fn mark_exiting(&mut self, id: WorkId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.exiting {
            return;
        }
        stream.exiting = true;
        let stream = *stream;
        self.count(stream, false);
        self.exiting += 1;
    }

    /// Records tokens and returns the time per token since the last report of the stream.
    pub(super) fn progress(&mut self, now: Timestamp, id: WorkId, tokens: u32) -> Option<Duration> {
        let stream = self.streams.get_mut(&id)?;
        let last = stream.last_token.replace(now);
        if last.is_none() && stream.class == Class::Batch && !stream.exiting {
            self.starting_batch -= 1;
        }
        let gained = tokens.saturating_sub(stream.tokens);
        stream.tokens = stream.tokens.max(tokens);
        if gained == 0 {
            return None;
        }
        last.map(|last| (now - last) / gained)
    }

    /// Counts a short online stream as long once it has done `long_work`.
    pub(super) fn reclassify(&mut self, id: WorkId, long_work: u32) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.long || stream.exiting || stream.class == Class::Batch {
            return;
        }
        if stream.progress() >= long_work {
            stream.long = true;
            self.long += 1;
        }
    }

    /// Returns the batch stream that loses the least by a cancellation, the newest among equals.
    pub(super) fn cheapest_batch(&self) -> Option<WorkId> {
        if self.batch == 0 {
            return None;
        }
        let candidates = self.streams.iter().filter(|(_, s)| s.class == Class::Batch && !s.exiting);
        candidates.min_by_key(|(_, s)| (s.progress(), u64::MAX - s.entered)).map(|(id, _)| *id)
    }

    fn count(&mut self, stream: Stream, up: bool) {
        let step = |counter: &mut u32| *counter = if up { *counter + 1 } else { *counter - 1 };
        match stream.class {
            Class::Online => step(&mut self.online),
            Class::Batch => step(&mut self.batch),
        }
        if stream.class == Class::Batch && stream.last_token.is_none() {
            step(&mut self.starting_batch);
        }
        if stream.long {
            step(&mut self.long);
        }
    }
}
