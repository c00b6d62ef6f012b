//! Admission with a fixed share of the places for batch.

use std::collections::HashMap;
use std::collections::VecDeque;

use dogwoodtray_coord::Timestamp;

use crate::AdmissionAction;
use crate::AdmissionConfig;
use crate::AdmissionEvent;
use crate::AdmissionPolicy;
use crate::Class;
use crate::RefuseReason;
use crate::WorkId;

/// An admission policy that limits batch to half of the places and never preempts.
///
/// Online work is served before batch work, each in the order of arrival.
#[derive(Debug)]
pub struct FixedLimit {
    places: u32,
    batch_places: u32,
    cfg: AdmissionConfig,
    online: VecDeque<WorkId>,
    batch: VecDeque<WorkId>,
    inside: HashMap<WorkId, Class>,
    batch_inside: u32,
    leaving: bool,
    endpoint_down: bool,
}

impl FixedLimit {
    /// Creates a policy for an idle engine.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            places: cfg.max_places,
            batch_places: cfg.max_places / 2,
            cfg,
            online: VecDeque::new(),
            batch: VecDeque::new(),
            inside: HashMap::new(),
            batch_inside: 0,
            leaving: false,
            endpoint_down: false,
        }
    }

    fn on_arrive(&mut self, id: WorkId, class: Class, out: &mut Vec<AdmissionAction>) {
        let (queue, max) = match class {
            Class::Online => (&mut self.online, self.cfg.max_queued_online),
            Class::Batch => (&mut self.batch, self.cfg.max_queued_batch),
        };
        if self.leaving {
            out.push(AdmissionAction::Refuse { id, reason: RefuseReason::Leaving });
        } else if self.endpoint_down || queue.len() >= max as usize {
            out.push(AdmissionAction::Refuse { id, reason: RefuseReason::Busy });
        } else {
            queue.push_back(id);
        }
    }

    fn on_finished(&mut self, id: WorkId) {
        if self.inside.remove(&id) == Some(Class::Batch) {
            self.batch_inside -= 1;
        }
    }

    fn on_withdrawn(&mut self, id: WorkId) {
        self.online.retain(|queued| *queued != id);
        self.batch.retain(|queued| *queued != id);
    }

    fn on_endpoint_down(&mut self, out: &mut Vec<AdmissionAction>) {
        self.endpoint_down = true;
        let queued = self.online.drain(..).chain(self.batch.drain(..));
        let reason = RefuseReason::Busy;
        out.extend(queued.map(|id| AdmissionAction::Refuse { id, reason }));
    }

    fn dispatch(&mut self, out: &mut Vec<AdmissionAction>) {
        while !self.endpoint_down && self.inside.len() < self.places as usize {
            let (id, class) = if let Some(id) = self.online.pop_front() {
                (id, Class::Online)
            } else if self.batch_inside < self.batch_places {
                let Some(id) = self.batch.pop_front() else { return };
                self.batch_inside += 1;
                (id, Class::Batch)
            } else {
                return;
            };
            self.inside.insert(id, class);
            out.push(AdmissionAction::Forward { id });
        }
    }
}

impl AdmissionPolicy for FixedLimit {
    fn handle(&mut self, _now: Timestamp, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        match event {
            AdmissionEvent::Arrive { id, class, .. } => self.on_arrive(id, class, out),
            AdmissionEvent::Finished { id } => self.on_finished(id),
            AdmissionEvent::Withdrawn { id } => self.on_withdrawn(id),
            AdmissionEvent::Leaving => self.leaving = true,
            AdmissionEvent::EndpointDown => self.on_endpoint_down(out),
            AdmissionEvent::EndpointUp => self.endpoint_down = false,
            AdmissionEvent::FirstToken { .. }
            | AdmissionEvent::Progress { .. }
            | AdmissionEvent::Tick => (),
        }
        self.dispatch(out);
    }

    fn free_online(&self) -> u32 {
        let used = u32::try_from(self.inside.len() + self.online.len()).unwrap_or(u32::MAX);
        if self.leaving || self.endpoint_down { 0 } else { self.places.saturating_sub(used) }
    }

    fn free_batch(&self) -> u32 {
        let queued = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let free = self.batch_places.saturating_sub(self.batch_inside);
        free.min(self.free_online()).saturating_sub(queued)
    }

    fn queued_online(&self) -> u32 {
        u32::try_from(self.online.len()).unwrap_or(u32::MAX)
    }
}
