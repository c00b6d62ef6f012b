//! Frames about places: replies of drivers, and requests of other processes.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceRequest;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::frame::Kind;

use super::acquire::PlaceEvent;
use super::limits::Spending;
use super::wire::class_from_wire;
use super::wire::cost_from_wire;
use super::wire::organization_from_wire;
use super::wire::outcome_from_wire;
use super::wire::trial_from_wire;
use crate::node::Node;

/// # Links
impl Node {
    /// Handles a driver's reply to a place request or call.
    pub(crate) fn on_place_reply(&self, link: LinkId, kind: Kind) {
        match kind {
            Kind::PlaceGrant(grant) => self.on_grant(link, &grant),
            Kind::PlaceQueued(queued) => self.deliver(queued.ask, PlaceEvent::Queued),
            Kind::PlaceRefused(refused) => {
                let retry_after = Duration::from_millis(refused.retry_after_ms.into());
                let event = if refused.over_limit {
                    PlaceEvent::OverLimit(retry_after)
                } else {
                    PlaceEvent::Refuse(retry_after)
                };
                self.deliver(refused.ask, event);
            }
            Kind::PlacePreempt(preempt) => self.deliver(preempt.ask, PlaceEvent::Preempt),
            kind => self.on_call_reply(kind),
        }
    }

    fn on_grant(&self, link: LinkId, grant: &messages::PlaceGrant) {
        let endpoint = Name::from(grant.endpoint.as_str());
        let current = {
            let records = self.places.records.borrow();
            records.get(&grant.ask).and_then(|record| {
                let is_requested =
                    record.informed_links.last().is_some_and(|informed| informed.id() == link);
                (is_requested && record.endpoint.is_none())
                    .then(|| (Name::clone(&record.service), record.class))
            })
        };
        // A late grant is ignored: its request was withdrawn, and the driver has been informed.
        let Some((service, class)) = current else { return };
        let id = self.places.id(grant.ask);
        let now = self.now();
        self.places
            .dispatcher
            .borrow_mut()
            .record_granted_place(now, id, &service, &endpoint, class);
        self.deliver(grant.ask, PlaceEvent::Grant(endpoint));
    }

    /// Removes a closed link. Requests that wait for its driver are sent to another one.
    pub(crate) fn on_place_link_lost(&self, link: LinkId) {
        for record in self.places.records.borrow_mut().values_mut() {
            let is_waiting = record.endpoint.is_none()
                && record.informed_links.last().is_some_and(|informed| informed.id() == link);
            record.informed_links.retain(|informed| informed.id() != link);
            if is_waiting {
                // The task may already have dropped its receiver.
                let _ = record.tx.send(PlaceEvent::Reassigned);
            }
        }
    }

    /// Handles a frame about places from another process.
    pub(crate) fn on_place_frame(&self, incarnation: u64, kind: Kind) -> Option<Kind> {
        match kind {
            Kind::PlaceAsk(request) => {
                let now = self.now();
                let id = PlaceId { holder: incarnation, number: request.ask };
                let class = class_from_wire(request.class());
                let trial = trial_from_wire(&request);
                let organization = organization_from_wire(&request);
                if organization.is_some() && self.peers.on_place_request(self, incarnation) {
                    self.on_gateway_changed();
                }
                let counted = request.counted;
                let spending = Spending { id, organization: organization.as_ref(), counted };
                if let Err(event) = self.spend_token(spending) {
                    self.send_place_event(id, event);
                    return None;
                }
                if let Err(retry_after) = self.request_trial(id, trial.as_ref()) {
                    self.end_spend(id, true);
                    self.send_place_event(id, PlaceEvent::Refuse(retry_after));
                    return None;
                }
                let cost = cost_from_wire(&request);
                let request = PlaceRequest {
                    id,
                    service: Name::from(request.service.as_str()),
                    class,
                    start_by: now + Duration::from_millis(request.start_within_ms.into()),
                    due: now + Duration::from_millis(request.due_within_ms.into()),
                    repeatable: request.repeatable,
                    excluded: request
                        .excluded
                        .iter()
                        .map(|name| Name::from(name.as_str()))
                        .collect(),
                    organization,
                    priority: request.priority,
                    cost,
                };
                self.dispatch(|dispatcher, now, out| dispatcher.request_place(now, request, out));
            }
            Kind::PlaceReturn(place) => {
                let id = PlaceId { holder: incarnation, number: place.ask };
                let outcome = outcome_from_wire(place.outcome());
                self.end_spend(id, place.not_run);
                self.on_place_released(id);
                self.dispatch(|dispatcher, now, out| {
                    dispatcher.release_place(now, id, outcome, out);
                });
            }
            Kind::PlaceSlow(slow) => {
                let id = PlaceId { holder: incarnation, number: slow.ask };
                let mut dispatcher = self.places.dispatcher.borrow_mut();
                if slow.streaming {
                    dispatcher.record_slow_stream(self.now(), id);
                } else {
                    dispatcher.record_internal_queue(self.now(), id);
                }
            }
            Kind::PlacesHeld(held) => {
                let now = self.now();
                let mut dispatcher = self.places.dispatcher.borrow_mut();
                for place in &held.places {
                    let id = PlaceId { holder: incarnation, number: place.ask };
                    let service = Name::from(place.service.as_str());
                    let class = class_from_wire(place.class());
                    dispatcher.record_granted_place(now, id, &service, &place.endpoint, class);
                }
            }
            kind => return Some(kind),
        }
        None
    }

    pub(crate) fn remove_places_of(&self, incarnation: u64) {
        self.on_places_removed(incarnation);
        self.remove_spends_of(incarnation);
        self.dispatch(|dispatcher, now, out| dispatcher.remove_holder(now, incarnation, out));
    }
}
