//! Admission by class, with preemption of batch work.

use std::collections::VecDeque;

use dogwoodtray_coord::Timestamp;

use super::AdaptiveLimit;
use super::AdmissionAction;
use super::AdmissionConfig;
use super::AdmissionEvent;
use super::AdmissionPolicy;
use super::RefuseReason;
use super::queue::OnlineQueue;
use super::reserve::OnlineReserve;
use super::running::RunningSet;
use crate::Class;
use crate::Cost;
use crate::WorkId;

/// Share of the places that batch may use while there is no online work. The rest absorbs the first
/// requests of a burst until the limit, which fluctuates under a full batch load, has settled.
const IDLE_BATCH_SHARE: f64 = 0.85;

/// A queued batch item.
#[derive(Clone, Copy, Debug)]
struct BatchItem {
    id: WorkId,
    cost: Cost,
    deadline: Option<Timestamp>,
}

/// Admits work to one engine: online before batch, short before long.
///
/// An online request is forwarded immediately if the limit allows it or a batch stream can be
/// preempted. It is forwarded together with the preemption, because the engine drops a cancelled
/// stream at its next step and waiting for that would only add latency. Long online requests are
/// queued while other long requests occupy the share of the places that is available to them.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::{Admission, AdmissionAction, AdmissionConfig, AdmissionEvent};
/// use dogwoodtray_policy::{AdmissionPolicy, Class, Cost, WorkId};
///
/// let cfg = AdmissionConfig { max_places: 1, min_places: 1, ..AdmissionConfig::default() };
/// let mut admission = Admission::new(cfg);
/// let mut out = Vec::new();
/// let cost = Cost { prompt_tokens: 10, output_tokens: 10 };
/// for (id, class) in [(WorkId(1), Class::Batch), (WorkId(2), Class::Online)] {
///     let event = AdmissionEvent::Arrive { id, class, cost, deadline: None };
///     admission.handle(Timestamp::ZERO, event, &mut out);
/// }
/// assert_eq!(out, [
///     AdmissionAction::Forward { id: WorkId(1) },
///     AdmissionAction::Preempt { id: WorkId(1) },
///     AdmissionAction::Forward { id: WorkId(2) },
/// ]);
/// ```
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    limit: AdaptiveLimit,
    batch_limit: AdaptiveLimit,
    reserve: OnlineReserve,
    online: OnlineQueue,
    batch: VecDeque<BatchItem>,
    running: RunningSet,
    /// Time of the last online arrival, or of the first event.
    last_online: Option<Timestamp>,
    /// Whether there has been no online work for `online_idle_after`.
    online_idle: bool,
    leaving: bool,
    endpoint_down: bool,
}

impl Admission {
    /// Creates an admission controller for an idle engine.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            limit: AdaptiveLimit::new(cfg.limit()),
            batch_limit: AdaptiveLimit::new(cfg.batch_limit()),
            reserve: OnlineReserve::new(&cfg),
            online: OnlineQueue::default(),
            batch: VecDeque::new(),
            running: RunningSet::default(),
            last_online: None,
            online_idle: false,
            leaving: false,
            endpoint_down: false,
        }
    }

    /// Returns the number of streams that are currently allowed inside the engine.
    #[must_use]
    pub fn places(&self) -> u32 {
        self.limit.places()
    }

    /// Returns the number of places that long online requests may occupy.
    fn long_places(&self) -> u32 {
        let share = f64::from(self.places()) * self.cfg.long_share;
        (share as u32).max(1)
    }

    /// Returns the number of streams allowed inside the engine while batch streams are among them.
    fn shared_places(&self) -> u32 {
        self.batch_limit.places().min(self.places())
    }

    /// Returns the number of streams inside the engine below which batch is admitted. It is at
    /// least one, as batch would starve when the reserve exceeds a low limit.
    fn batch_places(&self) -> u32 {
        let shared = self.shared_places().saturating_sub(self.reserve.places()).max(1);
        if self.online_idle {
            return shared.max((f64::from(self.places()) * IDLE_BATCH_SHARE) as u32);
        }
        shared
    }

    /// Returns how many batch streams may prefill at the same time.
    const fn prefill_places(&self) -> u32 {
        if self.online_idle {
            self.cfg.max_batch_prefills_idle
        } else {
            self.cfg.max_batch_prefills
        }
    }

    /// Preempts batch streams above the shared places when online work resumes.
    fn end_online_idle(&mut self, out: &mut Vec<AdmissionAction>) {
        if !self.online_idle {
            return;
        }
        self.online_idle = false;
        while self.running.active() >= self.shared_places()
            && let Some(victim) = self.running.cheapest_batch()
        {
            self.preempt(victim, out);
        }
    }

    /// Updates whether online work is idle. While it is, batch may exceed the shared places; the
    /// next online arrival preempts the excess immediately.
    fn update_online_idle(&mut self, now: Timestamp) {
        let no_online_work = self.running.online() == 0 && self.online.len() == 0;
        let since = *self.last_online.get_or_insert(now);
        let idle_long_enough = now - since >= self.cfg.online_idle_after;
        self.online_idle = no_online_work && idle_long_enough;
    }
}

/// # Events
impl Admission {
    fn on_arrive(
        &mut self,
        now: Timestamp,
        id: WorkId,
        class: Class,
        cost: Cost,
        deadline: Option<Timestamp>,
        out: &mut Vec<AdmissionAction>,
    ) {
        debug_assert!(!self.running.contains(id), "work arrived twice");
        if class == Class::Online {
            self.reserve.record_arrival(now);
            self.last_online = Some(now);
            self.end_online_idle(out);
        }
        if let Some(reason) = self.refuse_reason(now, class, deadline) {
            out.push(AdmissionAction::Refuse { id, reason });
            return;
        }
        match class {
            Class::Online => {
                let is_long = cost.work() >= self.cfg.long_work_tokens;
                self.online.push(now, id, cost, is_long, deadline, self.cfg.aging_rate);
            }
            Class::Batch => self.batch.push_back(BatchItem { id, cost, deadline }),
        }
    }

    fn refuse_reason(
        &self,
        now: Timestamp,
        class: Class,
        deadline: Option<Timestamp>,
    ) -> Option<RefuseReason> {
        if self.leaving {
            return Some(RefuseReason::Leaving);
        }
        if deadline.is_some_and(|deadline| deadline <= now) {
            return Some(RefuseReason::Deadline);
        }
        let full = match class {
            Class::Online => self.online.len() >= self.cfg.max_queued_online,
            Class::Batch => self.batch.len() >= self.cfg.max_queued_batch as usize,
        };
        (self.endpoint_down || full).then_some(RefuseReason::Busy)
    }

    fn on_progress(&mut self, now: Timestamp, id: WorkId, tokens: u32) {
        if let Some(gap) = self.running.record_tokens(now, id, tokens) {
            self.limit.observe_gap(gap);
            self.batch_limit.observe_gap(gap);
        }
        self.running.reclassify(id, self.cfg.long_work_tokens);
    }

    fn on_withdrawn(&mut self, id: WorkId) {
        if self.running.contains(id) {
            self.running.mark_cancelled(id);
        } else if self.online.remove(id).is_none() {
            self.batch.retain(|item| item.id != id);
        }
    }

    /// Refuses all queued work, so that it can run on another endpoint.
    fn on_endpoint_down(&mut self, out: &mut Vec<AdmissionAction>) {
        self.endpoint_down = true;
        let reason = RefuseReason::Busy;
        while let Some(queued) = self.online.pop(true) {
            out.push(AdmissionAction::Refuse { id: queued.id, reason });
        }
        out.extend(
            self.batch.drain(..).map(|item| AdmissionAction::Refuse { id: item.id, reason }),
        );
    }

    fn on_endpoint_up(&mut self) {
        self.endpoint_down = false;
        self.limit = AdaptiveLimit::new(self.cfg.limit());
        self.batch_limit = AdaptiveLimit::new(self.cfg.batch_limit());
    }
}

/// # Dispatch
impl Admission {
    fn dispatch(&mut self, now: Timestamp, out: &mut Vec<AdmissionAction>) {
        if self.endpoint_down {
            return;
        }
        self.refuse_expired(now, out);
        self.dispatch_online(out);
        self.dispatch_batch(out);
    }

    fn refuse_expired(&mut self, now: Timestamp, out: &mut Vec<AdmissionAction>) {
        let reason = RefuseReason::Deadline;
        while let Some(id) = self.online.pop_expired(now) {
            out.push(AdmissionAction::Refuse { id, reason });
        }
        self.batch.retain(|item| {
            let expired = item.deadline.is_some_and(|deadline| deadline <= now);
            if expired {
                out.push(AdmissionAction::Refuse { id: item.id, reason });
            }
            !expired
        });
    }

    fn dispatch_online(&mut self, out: &mut Vec<AdmissionAction>) {
        loop {
            let allow_long = self.running.long() < self.long_places();
            if self.online.peek(allow_long).is_none() {
                return;
            }
            if self.running.active() >= self.shared_places() {
                match self.running.cheapest_batch() {
                    Some(victim) => self.preempt(victim, out),
                    None if self.running.active() >= self.places() => return,
                    None => (),
                }
            }
            let Some(next) = self.online.pop(allow_long) else { return };
            self.running.insert(next.id, Class::Online, next.cost, next.long);
            out.push(AdmissionAction::Forward { id: next.id });
        }
    }

    fn preempt(&mut self, id: WorkId, out: &mut Vec<AdmissionAction>) {
        self.running.mark_cancelled(id);
        out.push(AdmissionAction::Preempt { id });
    }

    fn dispatch_batch(&mut self, out: &mut Vec<AdmissionAction>) {
        while self.running.inside() < self.batch_places()
            && self.running.prefilling_batch() < self.prefill_places()
        {
            let Some(item) = self.batch.pop_front() else { return };
            self.running.insert(item.id, Class::Batch, item.cost, false);
            out.push(AdmissionAction::Forward { id: item.id });
        }
    }
}

impl AdmissionPolicy for Admission {
    fn handle(&mut self, now: Timestamp, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        match event {
            AdmissionEvent::Arrive { id, class, cost, deadline } => {
                self.on_arrive(now, id, class, cost, deadline, out);
            }
            AdmissionEvent::FirstToken { id } => self.on_progress(now, id, 1),
            AdmissionEvent::Progress { id, tokens } => self.on_progress(now, id, tokens),
            AdmissionEvent::Finished { id } => _ = self.running.remove(id),
            AdmissionEvent::Withdrawn { id } => self.on_withdrawn(id),
            AdmissionEvent::Leaving => self.leaving = true,
            AdmissionEvent::EndpointDown => self.on_endpoint_down(out),
            AdmissionEvent::EndpointUp => self.on_endpoint_up(),
            AdmissionEvent::Tick => self.reserve.decay(now),
        }
        self.update_online_idle(now);
        self.limit.update(now, self.running.inside());
        self.batch_limit.update(now, self.running.inside());
        self.dispatch(now, out);
    }

    fn free_online(&self) -> u32 {
        if self.leaving || self.endpoint_down {
            return 0;
        }
        self.places().saturating_sub(self.running.online() + self.online.len())
    }

    fn free_batch(&self) -> u32 {
        if self.leaving || self.endpoint_down || self.online.len() > 0 {
            return 0;
        }
        let queued = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let places = self.batch_places().saturating_sub(self.running.inside() + queued);
        // Batch is admitted gradually, so items beyond the capacity of the queue would be refused.
        places.min(self.cfg.max_queued_batch.saturating_sub(queued))
    }

    fn set_batch_weight(&mut self, weight: f64) {
        self.cfg.batch_weight = weight;
        self.batch_limit.set_gap_tolerance(self.cfg.batch_limit().gap_tolerance);
    }

    fn queued_online(&self) -> u32 {
        self.online.len()
    }
}
