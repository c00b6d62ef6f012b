//! Admission of online requests where the configuration names organizations.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::ServicePlaces;
use crate::placement::DispatcherConfig;
use crate::placement::PlaceAction;
use crate::placement::PlaceRequest;
use crate::placement::queue::Position;

/// Maximum number of queued requests that one arriving request displaces. It takes the place of one;
/// the second lets the queue shrink after places were lost. More would refuse many at once when the
/// prediction changes.
const MAX_DISPLACED: usize = 2;

/// Share of the objective of a request within which a refusal is useful to its caller.
const USEFUL_REFUSAL: u32 = 4;

/// Rate at which places become free.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// Places that batch work can return.
    batch: usize,
    /// Mean time between two grants.
    interval: Duration,
}

/// # Online requests of organizations
impl ServicePlaces {
    /// Grants, queues or refuses a request that is not granted the first free place because others
    /// wait. Its predicted wait counts only what goes ahead of it.
    pub(super) fn request_shared_place(
        &mut self,
        now: Timestamp,
        request: PlaceRequest,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        let id = request.id;
        let position = self.online.position(&request);
        let room = self.room();
        let flow = (position.priority, request.organization.clone());
        let ahead = self.online.ahead_of(now, position);
        let mut wait = self.predicted_wait(now, position, ahead as f64, room);
        if !self.returns.claim(now, &flow) {
            let (higher, own) = self.returns.expected(now + wait, &flow);
            wait = self.predicted_wait(now, position, ahead as f64 + higher, room);
            if own > 0.0 && self.online.is_above_share(position) {
                let interval = self.flow_interval(now, &request, room);
                wait = wait.saturating_add(interval.saturating_mul(own as u32));
            }
        }
        if now + wait > request.start_by {
            return self.refuse_shared(now, &request, wait, cfg, out);
        }
        let work = self.predicted_work(&request);
        self.online.push(now, request, work);
        out.push(PlaceAction::Queued { id });
        self.displace(now, position, room, cfg, out);
        if self.free_places(now) > 0 {
            // The request may be able to use a place that those ahead of it cannot use.
            self.assign_all_online(now, out);
        }
        self.preempt(now, out);
    }

    /// Refuses the last requests behind the position that cannot start in time any more, if they
    /// belong to another flow and the refusal is early enough to be useful.
    fn displace(
        &mut self,
        now: Timestamp,
        position: Position,
        room: Room,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        for _ in 0..MAX_DISPLACED {
            let mut ahead = self.online.iter().filter(|e| e.request.start_by >= now).count();
            let arrived = self
                .online
                .iter()
                .find(|e| e.position == position)
                .map(|e| &e.request.organization);
            let mut victim = None;
            for (index, entry) in self.online.iter().enumerate().rev() {
                if entry.position <= position {
                    break;
                }
                if entry.request.start_by < now {
                    continue;
                }
                ahead -= 1;
                let is_same_flow = entry.position.priority == position.priority
                    && arrived == Some(&entry.request.organization);
                let objective = entry.request.start_by - entry.queued_at;
                let is_early = (now - entry.queued_at) * USEFUL_REFUSAL <= objective;
                if is_same_flow || !is_early {
                    continue;
                }
                let wait = self.predicted_wait(now, entry.position, ahead as f64, room);
                if now + wait > entry.request.start_by {
                    victim = Some((index, wait));
                    break;
                }
            }
            let Some((index, wait)) = victim else { return };
            let Some(entry) = self.online.withdraw(index) else { return };
            self.refuse_shared(now, &entry.request, wait, cfg, out);
        }
    }

    /// Refuses a request. Its caller is told to return when there is room for it, after the callers
    /// of its organization that were refused before.
    fn refuse_shared(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        wait: Duration,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        let priority = self.online.priority(request);
        let interval = self.flow_interval(now, request, self.room());
        // A caller that returns has the same time to its objective as now.
        let earliest = wait.saturating_sub(request.start_by - now).max(cfg.min_retry_after);
        let flow = (priority, request.organization.clone());
        let retry_after = self.returns.promise(now, flow, earliest, interval, cfg.max_retry_after);
        self.served.record(now, request.organization.as_ref(), false);
        out.push(PlaceAction::Refuse { id: request.id, retry_after });
    }

    /// Returns the mean time between two grants to the flow of the request while it is above its
    /// share.
    fn flow_interval(&self, now: Timestamp, request: &PlaceRequest, room: Room) -> Duration {
        let priority = self.online.priority(request);
        let work = self.predicted_work(request);
        let interval = self.online.flow_interval(now, priority, work, room.interval);
        interval.unwrap_or_default().max(room.interval)
    }

    fn room(&self) -> Room {
        let interval = self.mean_hold_time.div_f64(f64::from(self.healthy_slots().max(1)));
        Room { batch: self.batch_places(), interval }
    }

    /// Returns the predicted wait of a request with this number of others ahead of it.
    fn predicted_wait(
        &self,
        now: Timestamp,
        position: Position,
        ahead: f64,
        room: Room,
    ) -> Duration {
        let excess = (ahead + 1.0 - room.batch as f64).max(0.0);
        if excess == 0.0 {
            return Duration::ZERO;
        }
        let wait = room.interval.mul_f64(excess);
        let until = self.online.time_until(now, position, room.interval);
        wait.max(until.unwrap_or_default())
    }
}
