//! Queue of online requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use dogwoodtray_coord::Timestamp;

use crate::Cost;
use crate::WorkId;

/// Rank of a queued request; the lowest is served first. The arrival number breaks ties.
type Rank = (i64, u64);

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) id: WorkId,
    pub(super) cost: Cost,
    pub(super) long: bool,
    rank: Rank,
    deadline: Option<Timestamp>,
}

/// Queue of online requests, ordered by expected work with aging.
///
/// All requests age at the same rate, so ordering by work minus weighted age is equivalent to
/// ordering by work plus weighted arrival time, which stays constant.
#[derive(Debug, Default)]
pub(super) struct OnlineQueue {
    short: BTreeMap<Rank, WorkId>,
    long: BTreeMap<Rank, WorkId>,
    deadlines: BTreeSet<(Timestamp, WorkId)>,
    requests: HashMap<WorkId, QueuedRequest>,
    arrival_count: u64,
}

impl OnlineQueue {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn push(
        &mut self,
        now: Timestamp,
        id: WorkId,
        cost: Cost,
        long: bool,
        deadline: Option<Timestamp>,
        aging_rate: f64,
    ) {
        let arrived = now.as_micros() as f64 / 1_000_000.0;
        // A resolution of 0.001 tokens distinguishes ages that differ by a few milliseconds.
        let score = (f64::from(cost.work()) + arrived * aging_rate) * 1_000.0;
        let rank = (score as i64, self.arrival_count);
        self.arrival_count += 1;
        self.queue(long).insert(rank, id);
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, id));
        }
        self.requests.insert(id, QueuedRequest { id, cost, long, rank, deadline });
    }

    /// Removes and returns the next request. Skips long requests unless `allow_long` is set.
    pub(super) fn pop(&mut self, allow_long: bool) -> Option<QueuedRequest> {
        let id = self.peek(allow_long)?;
        self.remove(id)
    }

    /// Returns the request that [`pop`](Self::pop) would remove.
    pub(super) fn peek(&self, allow_long: bool) -> Option<WorkId> {
        let short = self.short.first_key_value();
        let long = self.long.first_key_value().filter(|_| allow_long);
        match (short, long) {
            (Some(short), Some(long)) => Some(*short.min(long).1),
            (Some(next), None) | (None, Some(next)) => Some(*next.1),
            (None, None) => None,
        }
    }

    pub(super) fn remove(&mut self, id: WorkId) -> Option<QueuedRequest> {
        let request = self.requests.remove(&id)?;
        self.queue(request.long).remove(&request.rank);
        if let Some(deadline) = request.deadline {
            self.deadlines.remove(&(deadline, id));
        }
        Some(request)
    }

    /// Removes and returns a request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<WorkId> {
        let (deadline, id) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.remove(id).map(|request| request.id)
    }

    fn queue(&mut self, long: bool) -> &mut BTreeMap<Rank, WorkId> {
        if long { &mut self.long } else { &mut self.short }
    }
}
