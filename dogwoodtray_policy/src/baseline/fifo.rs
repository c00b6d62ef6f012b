//! Admission in the order of arrival.

use std::collections::HashSet;
use std::collections::VecDeque;

use dogwoodtray_coord::Timestamp;

use crate::AdmissionAction;
use crate::AdmissionConfig;
use crate::AdmissionEvent;
use crate::AdmissionPolicy;
use crate::Class;
use crate::RefuseReason;
use crate::WorkId;

/// An admission policy with a fixed number of places, in the order of arrival and regardless of
/// class.
#[derive(Debug)]
pub struct Fifo {
    places: u32,
    max_queued: u32,
    queue: VecDeque<(WorkId, Class)>,
    inside: HashSet<WorkId>,
    leaving: bool,
    endpoint_down: bool,
}

impl Fifo {
    /// Creates a policy for an idle engine.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            places: cfg.max_places,
            max_queued: cfg.max_queued_online.saturating_add(cfg.max_queued_batch),
            queue: VecDeque::new(),
            inside: HashSet::new(),
            leaving: false,
            endpoint_down: false,
        }
    }

    fn on_arrive(&mut self, id: WorkId, class: Class, out: &mut Vec<AdmissionAction>) {
        if self.leaving {
            out.push(AdmissionAction::Refuse { id, reason: RefuseReason::Leaving });
        } else if self.endpoint_down || self.queue.len() >= self.max_queued as usize {
            out.push(AdmissionAction::Refuse { id, reason: RefuseReason::Busy });
        } else {
            self.queue.push_back((id, class));
        }
    }

    fn dispatch(&mut self, out: &mut Vec<AdmissionAction>) {
        while !self.endpoint_down && self.inside.len() < self.places as usize {
            let Some((id, _)) = self.queue.pop_front() else { return };
            self.inside.insert(id);
            out.push(AdmissionAction::Forward { id });
        }
    }

    fn free_places(&self) -> u32 {
        let used = u32::try_from(self.inside.len() + self.queue.len()).unwrap_or(u32::MAX);
        if self.leaving || self.endpoint_down { 0 } else { self.places.saturating_sub(used) }
    }
}

impl AdmissionPolicy for Fifo {
    fn handle(&mut self, _now: Timestamp, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        match event {
            AdmissionEvent::Arrive { id, class, .. } => self.on_arrive(id, class, out),
            AdmissionEvent::Finished { id } => _ = self.inside.remove(&id),
            AdmissionEvent::Withdrawn { id } => self.queue.retain(|(queued, _)| *queued != id),
            AdmissionEvent::Leaving => self.leaving = true,
            AdmissionEvent::EndpointDown => {
                self.endpoint_down = true;
                let reason = RefuseReason::Busy;
                out.extend(
                    self.queue.drain(..).map(|(id, _)| AdmissionAction::Refuse { id, reason }),
                );
            }
            AdmissionEvent::EndpointUp => self.endpoint_down = false,
            AdmissionEvent::FirstToken { .. }
            | AdmissionEvent::Progress { .. }
            | AdmissionEvent::Tick => (),
        }
        self.dispatch(out);
    }

    fn free_online(&self) -> u32 {
        self.free_places()
    }

    fn free_batch(&self) -> u32 {
        self.free_places()
    }

    fn queued_online(&self) -> u32 {
        let online = self.queue.iter().filter(|(_, class)| *class == Class::Online);
        u32::try_from(online.count()).unwrap_or(u32::MAX)
    }
}
