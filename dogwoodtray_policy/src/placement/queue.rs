//! Order of the queued online requests of a service: priority, then max-min fair by work among
//! organizations, then arrival.
//!
//! Start-time fair queueing: each organization is a flow, and each priority has a virtual time. A
//! request starts at the virtual time, or when the previous request of its flow ends, if that is
//! later; it ends by its predicted work later. The request with the earliest start goes first, and
//! the virtual time is the latest start that has been served. A flow below its share starts at the
//! virtual time and therefore goes ahead of a flow that has requests of its own before it. Requests
//! without an organization are one flow, which makes the order that of arrival.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::vec_deque::Iter;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::PlaceRequest;

/// Number of flows of a priority from which those without effect are removed.
const MAX_IDLE_FLOWS: usize = 1_024;

/// Time constant of the measured rate of the virtual time. It spans some hundred grants of a large
/// service, and is shorter than the phases of the load.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Time of a backlog, and number of grants in it, from which the rate is known.
const MIN_RATE_TIME: Duration = Duration::from_millis(50);
const MIN_RATE_GRANTS: u32 = 8;

/// Position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) priority: u32,
    /// Virtual time at which the request starts, in microseconds of work.
    start: u64,
    arrival: u64,
}

/// A queued request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: PlaceRequest,
    pub(super) position: Position,
    pub(super) queued_at: Timestamp,
    pub(super) work: Duration,
}

/// Flows and virtual time of one priority.
#[derive(Debug, Default)]
struct Level {
    virtual_time: u64,
    /// Virtual time at which the last request of each flow ends.
    ends: HashMap<Option<Name>, u64>,
    /// Decayed sums of the progress of the virtual time during the backlog, in microseconds, and of
    /// the time in seconds.
    progress: f64,
    elapsed: f64,
    observed_at: Timestamp,
}

impl Level {
    fn next_start(&self, flow: Option<&Name>) -> u64 {
        let end = self.ends.get(&flow.cloned()).copied().unwrap_or_default();
        end.max(self.virtual_time)
    }

    fn set_end(&mut self, flow: Option<&Name>, end: u64) {
        if self.ends.len() >= MAX_IDLE_FLOWS && !self.ends.contains_key(&flow.cloned()) {
            let virtual_time = self.virtual_time;
            self.ends.retain(|_, end| *end > virtual_time);
        }
        self.ends.insert(flow.cloned(), end);
    }

    fn advance(&mut self, now: Timestamp, start: u64) {
        let progress = start.saturating_sub(self.virtual_time);
        self.virtual_time += progress;
        let elapsed = (now - self.observed_at).as_secs_f64();
        let decay = (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        self.progress = self.progress * decay + progress as f64;
        self.elapsed = self.elapsed * decay + elapsed;
        self.observed_at = now;
    }
}

/// Queued online requests of a service.
#[derive(Debug, Default)]
pub(super) struct OnlineQueue {
    /// Ordered by position.
    entries: VecDeque<QueuedRequest>,
    levels: BTreeMap<u32, Level>,
    arrivals: u64,
    /// Whether any request carried an organization. Otherwise the priority has no effect.
    names_organizations: bool,
}

impl OnlineQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn get(&self, index: usize) -> &PlaceRequest {
        &self.entries[index].request
    }

    pub(super) fn iter(&self) -> Iter<'_, QueuedRequest> {
        self.entries.iter()
    }

    /// Records whether the configuration names organizations.
    pub(super) fn observe(&mut self, request: &PlaceRequest) {
        self.names_organizations |= request.organization.is_some();
    }

    pub(super) const fn names_organizations(&self) -> bool {
        self.names_organizations
    }

    /// Returns the priority that applies to a request.
    pub(super) const fn priority(&self, request: &PlaceRequest) -> u32 {
        if self.names_organizations { request.priority } else { 0 }
    }

    /// Returns the position at which the request would be queued now.
    pub(super) fn position(&self, request: &PlaceRequest) -> Position {
        let priority = self.priority(request);
        let flow = request.organization.as_ref();
        let start = self.levels.get(&priority).map_or(0, |level| level.next_start(flow));
        Position { priority, start, arrival: self.arrivals + 1 }
    }

    /// Returns the number of requests before the position that can still meet their objective.
    pub(super) fn ahead_of(&self, now: Timestamp, position: Position) -> usize {
        let before = self.entries.iter().take_while(|entry| entry.position < position);
        before.filter(|entry| entry.request.start_by >= now).count()
    }

    pub(super) fn push(&mut self, now: Timestamp, request: PlaceRequest, work: Duration) {
        if self.entries.is_empty() {
            // The rate is that of the current backlog; without one, it is the rate of arrivals.
            for level in self.levels.values_mut() {
                (level.progress, level.elapsed, level.observed_at) = (0.0, 0.0, now);
            }
        }
        let position = self.position(&request);
        self.arrivals += 1;
        let level = self
            .levels
            .entry(position.priority)
            .or_insert_with(|| Level { observed_at: now, ..Level::default() });
        level.set_end(request.organization.as_ref(), end(position.start, work));
        let index = self.entries.partition_point(|entry| entry.position < position);
        self.entries.insert(index, QueuedRequest { request, position, queued_at: now, work });
    }

    /// Records a request that got a place on arrival.
    pub(super) fn record_granted(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        work: Duration,
    ) {
        let Position { priority, start, .. } = self.position(request);
        let level = self.levels.entry(priority).or_default();
        level.set_end(request.organization.as_ref(), end(start, work));
        level.advance(now, start);
    }

    /// Removes and returns a request that gets a place.
    pub(super) fn grant(&mut self, now: Timestamp, index: usize) -> Option<PlaceRequest> {
        let entry = self.entries.remove(index)?;
        if let Some(level) = self.levels.get_mut(&entry.position.priority) {
            level.advance(now, entry.position.start);
        }
        Some(entry.request)
    }

    /// Removes and returns a request that gets no place. The later requests of its flow move up.
    pub(super) fn withdraw(&mut self, index: usize) -> Option<QueuedRequest> {
        let removed = self.entries.remove(index)?;
        let Position { priority, start, .. } = removed.position;
        let flow = &removed.request.organization;
        let work = micros(removed.work);
        let mut moved = false;
        for entry in self.entries.iter_mut().skip(index) {
            let is_later =
                entry.position.priority == priority && entry.request.organization == *flow;
            if is_later {
                entry.position.start = entry.position.start.saturating_sub(work).max(start);
                moved = true;
            }
        }
        if moved {
            self.entries.make_contiguous().sort_by_key(|entry| entry.position);
        }
        if let Some(end) = self.levels.get_mut(&priority).and_then(|level| level.ends.get_mut(flow))
        {
            *end = end.saturating_sub(work).max(start);
        }
        Some(removed)
    }

    /// Withdraws the requests for which `is_kept` returns `false`.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&PlaceRequest) -> bool) {
        let mut index = 0;
        while index < self.entries.len() {
            if is_kept(self.get(index)) {
                index += 1;
            } else {
                self.withdraw(index);
            }
        }
    }

    /// Returns `true` if the flow at the position has used its share: other requests of it are
    /// queued or have just been served.
    pub(super) fn is_above_share(&self, position: Position) -> bool {
        let level = self.levels.get(&position.priority);
        level.is_some_and(|level| position.start > level.virtual_time)
    }

    /// Returns the time until the virtual time reaches the position, at the rate of the current
    /// backlog. Unlike the number of requests ahead, it includes those that will arrive and go
    /// ahead. Returns `None` if the rate is not known. `interval` is the mean time between grants.
    pub(super) fn time_until(
        &self,
        now: Timestamp,
        position: Position,
        interval: Duration,
    ) -> Option<Duration> {
        let level = self.levels.get(&position.priority)?;
        let distance = position.start.checked_sub(level.virtual_time)?;
        level.time_of(now, distance, interval)
    }

    /// Returns the mean time between two grants to a flow that is above its share, each of this
    /// work. Returns `None` if it is not known.
    pub(super) fn flow_interval(
        &self,
        now: Timestamp,
        priority: u32,
        work: Duration,
        interval: Duration,
    ) -> Option<Duration> {
        self.levels.get(&priority)?.time_of(now, micros(work), interval)
    }
}

impl Level {
    fn time_of(&self, now: Timestamp, distance: u64, interval: Duration) -> Option<Duration> {
        let elapsed = self.elapsed + (now - self.observed_at).as_secs_f64();
        if elapsed < MIN_RATE_TIME.max(interval.saturating_mul(MIN_RATE_GRANTS)).as_secs_f64() {
            return None;
        }
        let seconds = distance as f64 * elapsed / self.progress.max(1.0);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Returns the work in microseconds. Each request has some, so that successive requests of a flow
/// differ.
fn micros(work: Duration) -> u64 {
    u64::try_from(work.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn end(start: u64, work: Duration) -> u64 {
    start.saturating_add(micros(work))
}
