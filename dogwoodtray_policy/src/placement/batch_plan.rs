//! Selection of the batch items that can be completed by their due times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::PlaceId;

/// Interval at which the selection is renewed while items are queued.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time constant of the moving average of the places that are left for batch work. It spans several
/// peaks and valleys of the online load.
const PLACES_WINDOW: Duration = Duration::from_secs(8);

/// Batch item that runs or is queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedItem {
    pub(super) id: PlaceId,
    /// Remaining run time.
    pub(super) left: Duration,
    pub(super) due: Timestamp,
    pub(super) is_running: bool,
}

/// Queued batch items that can be completed in time if all others wait.
///
/// With more items than places, serving the item first that is the next to become late completes
/// nearly all of them just after they are due. The plan therefore leaves items out until the rest
/// fits: Moore and Hodgson's rule, which maximizes the number of items in time on one machine, with
/// the average number of places as its speed.
#[derive(Debug, Default)]
pub(super) struct BatchPlan {
    selected: HashSet<PlaceId>,
    made_at: Option<Timestamp>,
    /// Moving average of the places that are left for batch work.
    mean_places: f64,
    observed_at: Option<Timestamp>,
}

impl BatchPlan {
    /// Returns `true` if the item is selected.
    pub(super) fn contains(&self, id: PlaceId) -> bool {
        self.selected.contains(&id)
    }

    /// Returns `true` if the plan is to be renewed.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.made_at.is_none_or(|at| now - at >= PLAN_INTERVAL)
    }

    /// Records how many places batch work uses or could use.
    pub(super) fn observe_places(&mut self, now: Timestamp, places: u32) {
        let places = f64::from(places);
        let Some(at) = self.observed_at.replace(now) else {
            self.mean_places = places;
            return;
        };
        let weight = 1.0 - (-(now - at).as_secs_f64() / PLACES_WINDOW.as_secs_f64()).exp();
        self.mean_places += weight * (places - self.mean_places);
    }

    /// Selects the queued items that can be completed in time, together with those that run.
    pub(super) fn renew(&mut self, now: Timestamp, mut items: Vec<PlannedItem>) {
        self.made_at = Some(now);
        self.selected.clear();
        items.sort_unstable_by_key(|item| (item.due, item.id));
        let mut work = Duration::ZERO;
        // The item with the most remaining work is left out first, and of several the most urgent
        // one, which leaves the others more time.
        let mut droppable = BinaryHeap::new();
        for item in items.iter().filter(|item| now + item.left <= item.due) {
            work += item.left;
            if !item.is_running {
                self.selected.insert(item.id);
                droppable.push((item.left, Reverse(item.due), item.id));
            }
            let capacity = (item.due - now).mul_f64(self.mean_places);
            while work > capacity {
                let Some((left, _, id)) = droppable.pop() else { break };
                work = work.saturating_sub(left);
                self.selected.remove(&id);
            }
        }
    }
}
