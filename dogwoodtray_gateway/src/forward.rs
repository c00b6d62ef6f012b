//! Forwarding of place requests and job reads for gateways that cannot reach a driver.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobAdmitStatus;
use dogwoodtray_wire::messages::JobReadStatus;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::task::spawn_local;

use crate::driver::WATCHERS_KEY;
use crate::node::Node;
use crate::node::NodeRole;
use crate::places::PlaceError;
use crate::places::PlaceParams;
use crate::places::PlacePermit;
use crate::places::cost_from_wire;
use crate::places::organization_from_wire;
use crate::places::outcome_from_wire;
use crate::places::refusal;
use crate::places::trial_from_wire;
use crate::task::TaskGuard;

/// Time that a read may take in addition to its wait time.
const READ_MARGIN: Duration = Duration::from_millis(300);

/// Time that the admission of a job may take.
const ADMISSION_TIME: Duration = Duration::from_millis(900);

/// Place that is requested or held on behalf of another process.
#[derive(Debug)]
pub(crate) enum ForwardedPlace {
    /// The request is waiting for a place.
    Pending(#[allow(dead_code, reason = "aborts its task when dropped")] TaskGuard),
    /// The place is held.
    Held(PlacePermit),
}

impl Node {
    /// Handles a frame from another gateway. Returns the frame if it is not one to forward.
    pub(crate) fn forward_frame(
        self: &Rc<Self>,
        incarnation: u64,
        link: &LinkHandle,
        kind: Kind,
    ) -> Option<Kind> {
        match kind {
            // Without a driver, this gateway can do no more than the sender itself.
            Kind::PlaceAsk(_) if self.dispatcher().is_none() => {}
            Kind::PlaceAsk(request) => self.forward_place_request(incarnation, link, &request),
            Kind::PlaceReturn(place) => {
                let id = PlaceId { holder: incarnation, number: place.ask };
                let forwarded = self.forwarded_places.borrow_mut().remove(&id);
                if let Some(ForwardedPlace::Held(mut permit)) = forwarded {
                    permit.set_outcome(outcome_from_wire(place.outcome()));
                    permit.set_may_have_run(!place.not_run);
                }
            }
            Kind::PlaceSlow(slow) => {
                let id = PlaceId { holder: incarnation, number: slow.ask };
                if let Some(ForwardedPlace::Held(permit)) = self.forwarded_places.borrow().get(&id)
                {
                    if slow.streaming {
                        permit.report_slow_stream();
                    } else {
                        permit.report_slow();
                    }
                }
            }
            // Places that were acquired without a driver are not reported to drivers.
            Kind::PlacesHeld(_) => {}
            Kind::JobRead(read) => self.forward_job_read(link, read),
            Kind::JobItemRead(read) => self.forward_item_read(link, read),
            Kind::JobAdmit(admit) => self.forward_job_admission(link, admit),
            Kind::JobAccepted(accepted) => {
                if let Some(driver_link) = self.driver_link(&accepted.job) {
                    driver_link.send(accepted);
                }
            }
            Kind::JobCancelled(cancelled) => {
                let drivers = self.peers.driver_links();
                self.announce_cancellation(Name::from(cancelled.job), &drivers);
            }
            Kind::EndpointLeaving(leaving) => {
                self.on_endpoint_leaving(&leaving, NodeRole::Gateway);
            }
            Kind::CrashReport(report) => self.forward_report(&report.into()),
            Kind::SoundRunReport(report) => self.forward_report(&report.into()),
            Kind::TrialReport(report) => self.forward_report(&report.into()),
            kind => return Some(kind),
        }
        None
    }

    fn forward_place_request(
        self: &Rc<Self>,
        incarnation: u64,
        link: &LinkHandle,
        request: &messages::PlaceAsk,
    ) {
        let now = self.now();
        let id = PlaceId { holder: incarnation, number: request.ask };
        let due = now + Duration::from_millis(request.due_within_ms.into());
        let params = PlaceParams {
            service: Name::from(request.service.as_str()),
            class: Class::Online,
            start_by: now + Duration::from_millis(request.start_within_ms.into()),
            due,
            expires_at: due,
            repeatable: request.repeatable,
            excluded: request.excluded.iter().map(|name| Name::from(name.as_str())).collect(),
            trial: trial_from_wire(request),
            organization: organization_from_wire(request),
            priority: request.priority,
            counted: request.counted,
            cost: cost_from_wire(request),
        };
        link.send(messages::PlaceQueued { ask: request.ask });
        let (node, link) = (Rc::clone(self), link.clone());
        let task = spawn_local(async move {
            let place = node.acquire_place(&params).await;
            let number = id.number;
            match place {
                Ok(mut permit) => {
                    let endpoint = permit.endpoint.to_string();
                    // If the other process is lost, its request may have run.
                    permit.set_may_have_run(true);
                    link.send(messages::PlaceGrant { ask: number, endpoint });
                    // Drops the previous entry, which aborts this task; nothing is left to run.
                    node.forwarded_places.borrow_mut().insert(id, ForwardedPlace::Held(permit));
                }
                Err(PlaceError::Refused { retry_after }) => {
                    link.send(refusal(number, retry_after, false));
                }
                Err(PlaceError::OverLimit { retry_after }) => {
                    link.send(refusal(number, retry_after, true));
                }
                Err(PlaceError::Expired) => {}
            }
        });
        self.forwarded_places
            .borrow_mut()
            .insert(id, ForwardedPlace::Pending(TaskGuard::new(task.abort_handle())));
    }

    fn forward_job_read(self: &Rc<Self>, link: &LinkHandle, read: messages::JobRead) {
        let (node, link) = (Rc::clone(self), link.clone());
        spawn_local(async move {
            let limit = Duration::from_millis(read.wait_ms.into()) + READ_MARGIN;
            let message = |call| messages::JobRead { call, ..read.clone() };
            let reply = node.call_driver(&read.job, limit, message).await;
            let mut page = messages::JobPage { call: read.call, ..messages::JobPage::default() };
            page.set_status(JobReadStatus::Unavailable);
            if let Some(Kind::JobPage(found)) = reply {
                page = messages::JobPage { call: read.call, ..found };
            }
            link.send(page);
        });
    }

    fn forward_item_read(self: &Rc<Self>, link: &LinkHandle, read: messages::JobItemRead) {
        let (node, link) = (Rc::clone(self), link.clone());
        spawn_local(async move {
            let message = |call| messages::JobItemRead { call, ..read.clone() };
            let reply = node.call_driver(&read.job, READ_MARGIN, message).await;
            let mut body = messages::JobItemBody { call: read.call, ..Default::default() };
            body.set_status(JobReadStatus::Unavailable);
            if let Some(Kind::JobItemBody(found)) = reply {
                body = messages::JobItemBody { call: read.call, ..found };
            }
            link.send(body);
        });
    }

    fn forward_job_admission(self: &Rc<Self>, link: &LinkHandle, admit: messages::JobAdmit) {
        let (node, link) = (Rc::clone(self), link.clone());
        spawn_local(async move {
            let message = |call| messages::JobAdmit { call, ..admit.clone() };
            let reply = node.call_driver(WATCHERS_KEY, ADMISSION_TIME, message).await;
            let mut admitted = messages::JobAdmitted { call: admit.call, ..Default::default() };
            admitted.set_status(JobAdmitStatus::Unavailable);
            if let Some(Kind::JobAdmitted(decided)) = reply {
                admitted = messages::JobAdmitted { call: admit.call, ..decided };
            }
            link.send(admitted);
        });
    }

    /// Returns the link to the preferred driver for a key. A frame from a gateway is never forwarded to a
    /// gateway, because two gateways may relay for each other.
    fn driver_link(&self, key: &str) -> Option<LinkHandle> {
        self.dispatcher()?;
        self.peers.preferred_link(self, key)
    }

    async fn call_driver<M: Into<messages::Frame>>(
        &self,
        key: &str,
        limit: Duration,
        message: impl FnOnce(u64) -> M,
    ) -> Option<Kind> {
        let link = self.driver_link(key)?;
        self.call(&link, limit, message).await
    }

    /// Releases the places that are requested or held for a process whose link closed.
    pub(crate) fn drop_forwarded_places(&self, incarnation: u64) {
        let dropped: Vec<ForwardedPlace> = {
            let mut places = self.forwarded_places.borrow_mut();
            let ids: Vec<PlaceId> =
                places.keys().filter(|id| id.holder == incarnation).copied().collect();
            ids.iter().filter_map(|id| places.remove(id)).collect()
        };
        // Releasing a place may grant it to another request, so the map must not be borrowed here.
        drop(dropped);
    }
}
