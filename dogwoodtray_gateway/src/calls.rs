//! Calls between processes over links.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::Created;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::StoreCreateStatus;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::driver::BATCH_KINDS;
use crate::node::Node;

/// Time in which a driver carries out a write for another process: longer than the store takes
/// when it is slow.
const CREATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Calls that wait for a reply.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Kind>>>,
}

impl Node {
    /// Sends a call and waits for its reply.
    pub(crate) async fn call<M: Into<Frame>>(
        &self,
        link: &LinkHandle,
        limit: Duration,
        message: impl FnOnce(u64) -> M,
    ) -> Option<Kind> {
        let call = self.calls.next.get() + 1;
        self.calls.next.set(call);
        let (tx, rx) = oneshot::channel();
        self.calls.waiting.borrow_mut().insert(call, tx);
        let sent = link.send(message(call));
        let reply = if sent { timeout(limit, rx).await.ok().and_then(Result::ok) } else { None };
        self.calls.waiting.borrow_mut().remove(&call);
        reply
    }

    pub(crate) fn on_call_reply(&self, kind: Kind) {
        let call = match &kind {
            Kind::JobPage(page) => page.call,
            Kind::JobItemBody(body) => body.call,
            Kind::StoreCreated(created) => created.call,
            _ => return,
        };
        if let Some(tx) = self.calls.waiting.borrow_mut().remove(&call) {
            // A caller that gave up dropped its receiver.
            let _ = tx.send(kind);
        }
    }

    /// Handles a frame from a process that dialled this one.
    pub(crate) fn on_peer_frame(self: &Rc<Self>, incarnation: u64, link: &LinkHandle, kind: Kind) {
        let Some(kind) = self.on_place_frame(incarnation, kind) else { return };
        let node = Rc::clone(self);
        let link = link.clone();
        match kind {
            Kind::JobRead(read) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    link.send(driver.read(&node, read).await);
                });
            }
            Kind::JobItemRead(read) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    link.send(driver.read_item(&node, read).await);
                });
            }
            Kind::StoreCreate(create) => {
                spawn_local(async move {
                    link.send(node.create_for_peer(create).await);
                });
            }
            _ => {}
        }
    }

    async fn create_for_peer(&self, create: messages::StoreCreate) -> messages::StoreCreated {
        let kind = BATCH_KINDS.iter().find(|kind| **kind == create.kind);
        let created = match kind {
            Some(kind) => self.store.create(kind, &Name::from(create.name), create.spec).await,
            None => Created::Unavailable,
        };
        let status = match created {
            Created::Done => StoreCreateStatus::Created,
            Created::Exists => StoreCreateStatus::Exists,
            Created::Unavailable => StoreCreateStatus::Unavailable,
            Created::Unknown => StoreCreateStatus::Unknown,
            Created::TooLarge => StoreCreateStatus::TooLarge,
        };
        messages::StoreCreated { call: create.call, status: status.into() }
    }

    /// Creates an object; if the store turns this process away, a driver does it instead.
    pub(crate) async fn create(&self, kind: &'static str, name: &Name, spec: String) -> Created {
        let created = self.store.create(kind, name, spec.clone()).await;
        if !matches!(created, Created::Unavailable | Created::Unknown) {
            return created;
        }
        let Some(driver) = self.peers.ranked(self, name).into_iter().next() else {
            return created;
        };
        let Some(link) = self.peers.link_to(&driver) else { return created };
        let reply = self
            .call(&link, CREATE_TIMEOUT, |call| messages::StoreCreate {
                call,
                kind: kind.to_owned(),
                name: name.to_string(),
                spec,
            })
            .await;
        let Some(Kind::StoreCreated(reply)) = reply else { return Created::Unknown };
        match reply.status() {
            StoreCreateStatus::Created => Created::Done,
            StoreCreateStatus::Exists => Created::Exists,
            StoreCreateStatus::TooLarge => Created::TooLarge,
            // Only if neither call had an effect is it certain that there is none.
            StoreCreateStatus::Unavailable => created,
            StoreCreateStatus::Unknown | StoreCreateStatus::Unspecified => Created::Unknown,
        }
    }
}
