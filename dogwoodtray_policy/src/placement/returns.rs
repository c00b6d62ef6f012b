//! Times at which refused callers were told to return, and the room that is kept for them.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

/// Time by which a caller may return early or late. It covers the rounding of `Retry-After` and the
/// way through another gateway.
const EARLY: Duration = Duration::from_millis(20);
const LATE: Duration = Duration::from_millis(100);

/// Weight of a new observation in the moving average of the share of callers that return.
const RETURN_WEIGHT: f64 = 0.05;

/// Number of callers for whom room is kept; bounds the memory.
const MAX_PROMISES: usize = 4_096;

/// A flow of requests: priority and organization.
pub(super) type Flow = (u32, Option<Name>);

/// Callers that were told to return.
///
/// A caller that returns sends a new request with a new id and cannot be recognized. Its turn
/// therefore belongs to its organization: the next request of the organization at or after the
/// stated time takes it.
#[derive(Debug)]
pub(super) struct Returns {
    /// Ordered by time.
    promises: VecDeque<(Timestamp, Flow)>,
    /// Time at which the next refused caller of each flow is told to return.
    next: HashMap<Flow, Timestamp>,
    /// Moving average of the share of callers that return.
    return_share: f64,
}

impl Default for Returns {
    fn default() -> Self {
        Self { promises: VecDeque::new(), next: HashMap::new(), return_share: 0.5 }
    }
}

impl Returns {
    /// Returns the time after which a refused caller is to return: `earliest`, or `interval` after
    /// the previous caller of its flow. At `max`, no room is kept.
    pub(super) fn promise(
        &mut self,
        now: Timestamp,
        flow: Flow,
        earliest: Duration,
        interval: Duration,
        max: Duration,
    ) -> Duration {
        self.expire(now);
        let earliest = now + earliest;
        let at = self.next.get(&flow).map_or(earliest, |next| earliest.max(*next));
        if at - now > max {
            return max;
        }
        // A flow that gets nothing has no bound of its interval; it must not block later promises.
        self.next.insert(Flow::clone(&flow), at + interval.min(max));
        if self.promises.len() < MAX_PROMISES {
            let index = self.promises.partition_point(|(other, _)| *other <= at);
            self.promises.insert(index, (at, flow));
        }
        at - now
    }

    /// Uses the first promise to the flow that is due. Returns `false` if there is none.
    pub(super) fn claim(&mut self, now: Timestamp, flow: &Flow) -> bool {
        self.expire(now);
        let due = self.promises.iter().take_while(|(at, _)| *at <= now + EARLY);
        let Some(index) = due.into_iter().position(|(_, other)| other == flow) else {
            return false;
        };
        self.promises.remove(index);
        self.return_share += RETURN_WEIGHT * (1.0 - self.return_share);
        true
    }

    /// Returns the expected numbers of callers that return until a time and go ahead of a request of
    /// the flow: those with a higher priority, and those of the flow itself.
    pub(super) fn expected(&self, until: Timestamp, flow: &Flow) -> (f64, f64) {
        let due = || self.promises.iter().take_while(|(at, _)| *at <= until);
        let higher = due().filter(|(_, (priority, _))| *priority < flow.0).count();
        let own = due().filter(|(_, other)| other == flow).count();
        (higher as f64 * self.return_share, own as f64 * self.return_share)
    }

    fn expire(&mut self, now: Timestamp) {
        while self.promises.pop_front_if(|(at, _)| *at + LATE < now).is_some() {
            self.return_share -= RETURN_WEIGHT * self.return_share;
        }
        if self.next.len() > MAX_PROMISES {
            self.next.retain(|_, next| *next > now);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use dogwoodtray_coord::Timestamp;

    use super::Returns;

    /// Guards against a flow that gets no place for a while, so that its interval is unbounded, and
    /// whose callers are then told the longest time for good.
    #[test]
    fn an_unbounded_interval_does_not_block_later_promises() {
        let (min, max) = (Duration::from_millis(250), Duration::from_millis(1_600));
        let mut returns = Returns::default();
        let flow = (1, None);
        let first = returns.promise(Timestamp::ZERO, flow.clone(), min, Duration::MAX, max);
        assert_eq!(first, min);
        assert_eq!(returns.promise(Timestamp::ZERO, flow.clone(), min, min, max), max);
        let later = Timestamp::ZERO + max * 2;
        assert_eq!(returns.promise(later, flow, min, min, max), min);
    }
}
