//! Order of the waiting online requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use dogwoodtray_coord::Timestamp;

use crate::Cost;
use crate::WorkId;

/// Rank of a waiting request; the lowest goes first. The arrival number breaks ties.
type Rank = (i64, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) id: WorkId,
    pub(super) cost: Cost,
    pub(super) long: bool,
    rank: Rank,
    deadline: Option<Timestamp>,
}

/// Waiting online requests: the expected shorter first, with ageing.
///
/// All requests age at the same rate, so the work minus the age orders them in the same way as the
/// work plus the weighted time of arrival, which never changes.
#[derive(Debug, Default)]
pub(super) struct OnlineQueue {
    short: BTreeMap<Rank, WorkId>,
    long: BTreeMap<Rank, WorkId>,
    deadlines: BTreeSet<(Timestamp, WorkId)>,
    waiting: HashMap<WorkId, Waiting>,
    arrivals: u64,
}

impl OnlineQueue {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn push(
        &mut self,
        now: Timestamp,
        id: WorkId,
        cost: Cost,
        long: bool,
        deadline: Option<Timestamp>,
        ageing: f64,
    ) {
        let arrived = now.as_micros() as f64 / 1_000_000.0;
        // Thousandths of a token keep the age of a few milliseconds apart.
        let score = (f64::from(cost.work()) + arrived * ageing) * 1_000.0;
        let rank = (score as i64, self.arrivals);
        self.arrivals += 1;
        self.lane(long).insert(rank, id);
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, id));
        }
        self.waiting.insert(id, Waiting { id, cost, long, rank, deadline });
    }

    /// Removes and returns the next request. Long requests are passed over unless `allow_long`.
    pub(super) fn pop(&mut self, allow_long: bool) -> Option<Waiting> {
        let id = self.peek(allow_long)?;
        self.remove(id)
    }

    /// Tells which request is next.
    pub(super) fn peek(&self, allow_long: bool) -> Option<WorkId> {
        let short = self.short.first_key_value();
        let long = self.long.first_key_value().filter(|_| allow_long);
        match (short, long) {
            (Some(short), Some(long)) => Some(*short.min(long).1),
            (Some(next), None) | (None, Some(next)) => Some(*next.1),
            (None, None) => None,
        }
    }

    pub(super) fn remove(&mut self, id: WorkId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.lane(waiting.long).remove(&waiting.rank);
        if let Some(deadline) = waiting.deadline {
            self.deadlines.remove(&(deadline, id));
        }
        Some(waiting)
    }

    /// Removes and returns a request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<WorkId> {
        let (deadline, id) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.remove(id).map(|waiting| waiting.id)
    }

    fn lane(&mut self, long: bool) -> &mut BTreeMap<Rank, WorkId> {
        if long { &mut self.long } else { &mut self.short }
    }
}
