//! Selection of the batch items that can be completed by their due times.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::PlaceId;

/// Interval at which the plan is renewed, for each 1,000 items that are queued or fewer. Its cost
/// grows with the queue.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

const ITEMS_PER_INTERVAL: usize = 1_000;

/// Time constant of the moving average of the places that are left for batch work. It spans several
/// peaks and valleys of the online load.
const PLACES_WINDOW: Duration = Duration::from_secs(8);

/// Key of a queued batch item: its latest start, and its id.
pub(super) type ItemKey = (Timestamp, PlaceId);

/// Batch item that runs or is queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedItem {
    /// Latest start, and id.
    pub(super) key: ItemKey,
    /// Remaining run time.
    pub(super) left: Duration,
    /// Remaining run time at an endpoint of usual speed.
    pub(super) work: Duration,
    pub(super) due: Timestamp,
    pub(super) is_running: bool,
    pub(super) flow: ItemFlow,
}

/// Priority and organization of an item; the organization is numbered within one plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ItemFlow {
    pub(super) priority: u32,
    pub(super) organization: usize,
}

/// Items of one flow that are in time, while the plan is made.
#[derive(Debug, Default)]
struct FlowWork {
    work: Duration,
    /// Queued items; the one with the most remaining work is left out first, and of several the most
    /// urgent one, which leaves the others more time.
    droppable: BinaryHeap<(Duration, Reverse<Timestamp>, ItemKey)>,
}

/// Order in which queued batch items get places.
///
/// With more items than places, serving the item first that is the next to become late completes
/// nearly all of them just after they are due. The plan therefore leaves items out until the rest
/// fits: Moore and Hodgson's rule, which maximizes the number of items in time on one machine, with
/// the average number of places as its speed. Items that are left out come last. Of several flows,
/// the one with the lowest priority and among these with the most work leaves out its items.
#[derive(Debug, Default)]
pub(super) struct BatchPlan {
    /// Queued items in the order in which they get places. It may contain items that are no longer
    /// queued.
    order: VecDeque<ItemKey>,
    /// Number of items at the start of `order` that can be completed in time.
    selected: usize,
    /// Items that were queued after the plan was made.
    recent: BTreeSet<ItemKey>,
    made_at: Option<Timestamp>,
    /// Moving average of the places that are left for batch work.
    mean_places: f64,
    observed_at: Option<Timestamp>,
}

impl BatchPlan {
    /// Adds an item that was queued after the plan was made.
    pub(super) fn push(&mut self, key: ItemKey) {
        self.recent.insert(key);
    }

    /// Removes and returns the next item: the selected ones, those that were queued since and are
    /// not late, the others.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<ItemKey> {
        if self.selected > 0 {
            self.selected -= 1;
            return self.order.pop_front();
        }
        let in_time = self.recent.range((now, PlaceId { holder: 0, number: 0 })..).next().copied();
        if let Some(key) = in_time {
            self.recent.remove(&key);
            return Some(key);
        }
        self.order.pop_front().or_else(|| self.recent.pop_first())
    }

    /// Returns items that got no place to the start of the order.
    pub(super) fn restore(&mut self, keys: Vec<ItemKey>) {
        self.selected += keys.len();
        keys.into_iter().rev().for_each(|key| self.order.push_front(key));
    }

    /// Returns the number of queued items that can be completed in time, when the plan was made.
    pub(super) const fn selected(&self) -> usize {
        self.selected
    }

    /// Returns `true` if the plan is to be renewed, with this number of queued items.
    pub(super) fn is_due(&self, now: Timestamp, queued: usize) -> bool {
        let factor = u32::try_from(1 + queued / ITEMS_PER_INTERVAL).unwrap_or(u32::MAX);
        self.made_at.is_none_or(|at| now - at >= PLAN_INTERVAL.saturating_mul(factor))
    }

    /// Records how many places batch work uses or could use, in places of usual speed.
    pub(super) fn observe_places(&mut self, now: Timestamp, places: f64) {
        let Some(at) = self.observed_at.replace(now) else {
            self.mean_places = places;
            return;
        };
        let weight = 1.0 - (-(now - at).as_secs_f64() / PLACES_WINDOW.as_secs_f64()).exp();
        self.mean_places += weight * (places - self.mean_places);
    }

    /// Makes the order anew: first the queued items that can be completed in time, together with
    /// those that run, by their latest start; then those that are not late yet, then late ones, of
    /// both those with the least work left.
    pub(super) fn renew(&mut self, now: Timestamp, mut items: Vec<PlannedItem>) {
        self.made_at = Some(now);
        self.recent.clear();
        items.sort_unstable_by_key(|item| (item.due, item.key));
        let (selected, above_share) = self.select(now, &items);
        items.retain(|item| !item.is_running);
        items.sort_by_cached_key(|item| {
            let is_selected = selected.contains(&item.key);
            let left = if is_selected { Duration::ZERO } else { item.left };
            // The prediction that all selected items are in time may be slightly wrong; the flows
            // that left out items then miss it, and not the others.
            let goes_last = is_selected && above_share.contains(&item.flow);
            (!is_selected, !is_selected && item.key.0 < now, goes_last, left, item.key)
        });
        share_rest(now, &mut items[selected.len()..]);
        self.selected = selected.len();
        self.order = items.into_iter().map(|item| item.key).collect();
    }

    /// Returns the queued items that can be completed in time, and the flows that left out items.
    /// `items` are ordered by due time.
    fn select(
        &self,
        now: Timestamp,
        items: &[PlannedItem],
    ) -> (HashSet<ItemKey>, HashSet<ItemFlow>) {
        let mut selected = HashSet::new();
        let mut above_share = HashSet::new();
        let mut work = Duration::ZERO;
        let mut flows: HashMap<ItemFlow, FlowWork> = HashMap::new();
        // Flows with items that can be left out, in the order in which they leave out one.
        let mut order: BTreeSet<(u32, Duration, ItemFlow)> = BTreeSet::new();
        for item in items.iter().filter(|item| now + item.left <= item.due) {
            work = work.saturating_add(item.work);
            let priority = item.flow.priority;
            let flow = flows.entry(item.flow).or_default();
            order.remove(&(priority, flow.work, item.flow));
            flow.work = flow.work.saturating_add(item.work);
            if !item.is_running {
                selected.insert(item.key);
                flow.droppable.push((item.left, Reverse(item.due), item.key));
            }
            if !flow.droppable.is_empty() {
                order.insert((priority, flow.work, item.flow));
            }
            let capacity = (item.due - now).as_secs_f64() * self.mean_places;
            let capacity = Duration::try_from_secs_f64(capacity).unwrap_or(Duration::MAX);
            while work > capacity {
                let Some((priority, _, flow_key)) = order.pop_last() else { break };
                let Some(flow) = flows.get_mut(&flow_key) else { break };
                let Some((left, _, key)) = flow.droppable.pop() else { break };
                work = work.saturating_sub(left);
                flow.work = flow.work.saturating_sub(left);
                selected.remove(&key);
                above_share.insert(flow_key);
                if !flow.droppable.is_empty() {
                    order.insert((priority, flow.work, flow_key));
                }
            }
        }
        (selected, above_share)
    }
}

/// Orders the items that are left out, which are ordered by whether they are late and by their work:
/// those that are not late first, by priority, and within one in turns by work among organizations.
fn share_rest(now: Timestamp, items: &mut [PlannedItem]) {
    let mut work_before: HashMap<(bool, ItemFlow), Duration> = HashMap::new();
    items.sort_by_cached_key(|item| {
        let is_late = item.key.0 < now;
        let before = work_before.entry((is_late, item.flow)).or_default();
        let turn = *before;
        *before = before.saturating_add(item.left);
        (is_late, item.flow.priority, turn)
    });
}
