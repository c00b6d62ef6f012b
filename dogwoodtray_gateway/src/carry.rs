//! Asks that a gateway passes on for one that reaches no driver.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobReadStatus;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;

use crate::node::Node;
use crate::places::Lease;
use crate::places::NoPlace;
use crate::places::Want;
use crate::places::end_from_wire;
use crate::places::millis;

/// Time that a read may take beyond its wait.
const READ_GRACE: Duration = Duration::from_millis(300);

/// Place that is asked for or held for another process.
#[derive(Debug)]
pub(crate) enum Carried {
    /// The ask waits.
    Waiting(#[allow(dead_code, reason = "aborts its task when dropped")] Waiting),
    /// The place is held.
    Held(Lease),
}

/// Task that waits for a place. It is aborted when dropped.
#[derive(Debug)]
pub(crate) struct Waiting {
    task: AbortHandle,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Node {
    /// Handles a frame from another gateway. Returns it if a driver alone can handle it.
    pub(crate) fn carry(
        self: &Rc<Self>,
        incarnation: u64,
        link: &LinkHandle,
        kind: Kind,
    ) -> Option<Kind> {
        match kind {
            // Without a driver this gateway can do no more than the one that asks.
            Kind::PlaceAsk(_) if self.dispatcher().is_none() => {}
            Kind::PlaceAsk(ask) => self.carry_ask(incarnation, link, &ask),
            Kind::PlaceReturn(place) => {
                let id = PlaceId { holder: incarnation, ask: place.ask };
                let carried = self.carried.borrow_mut().remove(&id);
                if let Some(Carried::Held(mut lease)) = carried {
                    lease.ended(end_from_wire(place.outcome()));
                }
            }
            Kind::PlaceSlow(slow) => {
                let id = PlaceId { holder: incarnation, ask: slow.ask };
                if let Some(Carried::Held(lease)) = self.carried.borrow().get(&id) {
                    lease.slow();
                }
            }
            // Places that were taken without a driver are not known to the drivers.
            Kind::PlacesHeld(_) => {}
            Kind::JobRead(read) => self.carry_read(link, read),
            Kind::JobItemRead(read) => self.carry_item_read(link, read),
            Kind::JobAccepted(accepted) => {
                if let Some(owner) = self.owner(&accepted.job) {
                    owner.send(accepted);
                }
            }
            Kind::JobCancelled(cancelled) => {
                for driver in self.peers.driver_links() {
                    driver.send(cancelled.clone());
                }
            }
            kind => return Some(kind),
        }
        None
    }

    fn carry_ask(self: &Rc<Self>, incarnation: u64, link: &LinkHandle, ask: &messages::PlaceAsk) {
        let now = self.now();
        let id = PlaceId { holder: incarnation, ask: ask.ask };
        let due = now + Duration::from_millis(ask.due_within_ms.into());
        let want = Want {
            service: Name::from(ask.service.as_str()),
            class: Class::Online,
            start_by: now + Duration::from_millis(ask.start_within_ms.into()),
            due,
            give_up_at: due,
            excluded: ask.excluded.iter().map(|name| Name::from(name.as_str())).collect(),
        };
        link.send(messages::PlaceQueued { ask: ask.ask });
        let (node, link) = (Rc::clone(self), link.clone());
        let task = spawn_local(async move {
            let place = node.place(&want).await;
            let ask = id.ask;
            match place {
                Ok(lease) => {
                    let endpoint = lease.endpoint.to_string();
                    link.send(messages::PlaceGrant { ask, endpoint });
                    // This replaces the entry that aborts this task, which has nothing left to do.
                    node.carried.borrow_mut().insert(id, Carried::Held(lease));
                }
                Err(NoPlace::Refused { retry_after }) => {
                    let retry_after_ms = millis(retry_after);
                    link.send(messages::PlaceRefused { ask, retry_after_ms });
                }
                Err(NoPlace::Expired) => {}
            }
        });
        self.carried
            .borrow_mut()
            .insert(id, Carried::Waiting(Waiting { task: task.abort_handle() }));
    }

    fn carry_read(self: &Rc<Self>, link: &LinkHandle, read: messages::JobRead) {
        let (node, link) = (Rc::clone(self), link.clone());
        spawn_local(async move {
            let limit = Duration::from_millis(read.wait_ms.into()) + READ_GRACE;
            let message = |call| messages::JobRead { call, ..read.clone() };
            let reply = node.call_owner(&read.job, limit, message).await;
            let mut page = messages::JobPage { call: read.call, ..messages::JobPage::default() };
            page.set_status(JobReadStatus::Unavailable);
            if let Some(Kind::JobPage(found)) = reply {
                page = messages::JobPage { call: read.call, ..found };
            }
            link.send(page);
        });
    }

    fn carry_item_read(self: &Rc<Self>, link: &LinkHandle, read: messages::JobItemRead) {
        let (node, link) = (Rc::clone(self), link.clone());
        spawn_local(async move {
            let message = |call| messages::JobItemRead { call, ..read.clone() };
            let reply = node.call_owner(&read.job, READ_GRACE, message).await;
            let mut body = messages::JobItemBody { call: read.call, ..Default::default() };
            body.set_status(JobReadStatus::Unavailable);
            if let Some(Kind::JobItemBody(found)) = reply {
                body = messages::JobItemBody { call: read.call, ..found };
            }
            link.send(body);
        });
    }

    /// Returns the link to the driver of a job. What another gateway sent goes to a driver or
    /// nowhere, as that gateway may stand in for the drivers here.
    fn owner(&self, job: &str) -> Option<LinkHandle> {
        self.dispatcher()?;
        self.peers.first_link(self, job)
    }

    async fn call_owner<M: Into<messages::Frame>>(
        &self,
        job: &str,
        limit: Duration,
        message: impl FnOnce(u64) -> M,
    ) -> Option<Kind> {
        let link = self.owner(job)?;
        self.call(&link, limit, message).await
    }

    /// Returns the places that were held for a process whose link ended.
    pub(crate) fn drop_carried(&self, incarnation: u64) {
        let dropped: Vec<Carried> = {
            let mut carried = self.carried.borrow_mut();
            let ids: Vec<PlaceId> =
                carried.keys().filter(|id| id.holder == incarnation).copied().collect();
            ids.iter().filter_map(|id| carried.remove(id)).collect()
        };
        // Returning a place may grant it to another ask, so nothing is borrowed here.
        drop(dropped);
    }
}
