//! Grants and preemption of batch items.

use std::collections::HashMap;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::ServicePlaces;
use crate::Class;
use crate::placement::DispatcherConfig;
use crate::placement::PlaceAction;
use crate::placement::PlaceRequest;
use crate::placement::batch_plan::ItemFlow;
use crate::placement::batch_plan::PlannedItem;
use crate::placement::endpoint::Endpoint;

/// # Batch work
impl ServicePlaces {
    pub(super) fn assign_batch(
        &mut self,
        now: Timestamp,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        let reserve = f64::from(self.healthy_slots()) * cfg.online_reserve;
        let available = self.free_places(now).saturating_sub(reserve as u32) as usize;
        self.renew_plan(now, available, out);
        let mut skipped = Vec::new();
        for _ in 0..available {
            // Items that were withdrawn or granted are still in the plan.
            let Some(request) = self.next_item(now) else { break };
            let key = (request.start_by, request.id);
            match self.pick_endpoint(now, &request) {
                Some(endpoint) => self.grant(now, &request, endpoint, out),
                None => {
                    self.batch.insert(key, request);
                    skipped.push(key);
                }
            }
        }
        self.plan.restore(skipped);
    }

    /// Removes and returns the queued batch item that gets the next place.
    fn next_item(&mut self, now: Timestamp) -> Option<PlaceRequest> {
        loop {
            let key = self.plan.pop(now)?;
            if let Some(request) = self.batch.remove(&key) {
                return Some(request);
            }
        }
    }

    /// Renews the plan of batch items if it is due, and preempts items that are late for those that
    /// can be completed in time.
    fn renew_plan(&mut self, now: Timestamp, available: usize, out: &mut Vec<PlaceAction>) {
        if !self.plan.is_due(now, self.batch.len()) {
            return;
        }
        let running = || self.held.iter().filter(|(_, held)| held.class == Class::Batch);
        let speeds = running().filter(|(_, held)| held.endpoint.is_some()).map(|(_, h)| h.speed());
        let places = speeds.sum::<f64>() + available as f64 * self.mean_free_speed(now);
        self.plan.observe_places(now, places);
        let mut numbers: HashMap<Option<&Name>, usize> = HashMap::new();
        let mut flow = |priority, organization| {
            let next = numbers.len();
            let organization = *numbers.entry(organization).or_insert(next);
            ItemFlow { priority, organization }
        };
        let mut items = Vec::new();
        for (id, held) in running() {
            let Some(left) = held.left(now) else { continue };
            let held_flow = held.flow.as_deref();
            let flow = flow(
                held_flow.map_or(0, |(priority, _)| *priority),
                held_flow.and_then(|(_, organization)| organization.as_ref()),
            );
            items.push(PlannedItem {
                key: (now, *id),
                left,
                work: left.mul_f64(held.speed()),
                due: held.due,
                is_running: true,
                flow,
            });
        }
        items.extend(self.batch.iter().map(|(key, request)| PlannedItem {
            key: *key,
            left: request.due - request.start_by,
            work: request.due - request.start_by,
            due: request.due,
            is_running: false,
            flow: flow(self.online.priority(request), request.organization.as_ref()),
        }));
        self.plan.renew(now, items);
        self.preempt_items(now, self.plan.selected().saturating_sub(available), true, out);
    }

    /// Preempts one batch item for each queued online request.
    pub(super) fn preempt(&mut self, now: Timestamp, out: &mut Vec<PlaceAction>) {
        self.preempt_items(now, self.online.len(), false, out);
    }

    /// Preempts batch items until `count` preemptions are in progress. Items that are late are
    /// preempted first, then those with the latest due time, which leaves most time to resume them.
    /// Preempting the one with the most time to spare completes fewer in time in a burst, as it stops
    /// items that are about to end.
    fn preempt_items(
        &mut self,
        now: Timestamp,
        count: usize,
        only_late: bool,
        out: &mut Vec<PlaceAction>,
    ) {
        let preempting = self.held.values().filter(|held| held.preempting).count();
        for _ in preempting..count {
            let victim = self
                .held
                .iter_mut()
                .filter(|(_, held)| held.class == Class::Batch && !held.preempting)
                .filter(|(_, held)| !only_late || held.run_time.is_some() && held.is_late(now))
                .filter(|(_, held)| {
                    held.endpoint.is_some_and(|key| {
                        self.endpoints.get(key).is_some_and(Endpoint::is_healthy)
                    })
                })
                .max_by_key(|(id, held)| {
                    (held.is_late(now), held.due, now - held.granted_at, **id)
                });
            let Some((id, held)) = victim else { return };
            held.preempting = true;
            out.push(PlaceAction::Preempt { id: *id });
        }
    }
}
