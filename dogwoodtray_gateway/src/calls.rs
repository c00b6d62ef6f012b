//! Request/reply calls between processes over links.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::CreateResult;
use dogwoodtray_platform::GetResult;
use dogwoodtray_platform::Object;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::StoreCreateStatus;
use dogwoodtray_wire::messages::StoreReadStatus;
use dogwoodtray_wire::messages::frame::Kind;
use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::driver::BATCH_KINDS;
use crate::driver::JOBS_KIND;
use crate::driver::WATCHERS_KEY;
use crate::node::Node;
use crate::node::NodeRole;

/// Timeout of a store call that a driver executes for another process. Exceeds the duration of a
/// slow store call.
const DELEGATED_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of drivers tried in turn for one store call. The store may reject calls of some
/// of them as well.
const MAX_DELEGATES: usize = 2;

/// Calls that are waiting for a reply.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    last_call: Cell<u64>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Kind>>>,
}

impl Node {
    /// Sends a call and waits for its reply. Returns `None` if the call cannot be sent or no reply
    /// arrives within `limit`.
    pub(crate) async fn call<M: Into<Frame>>(
        &self,
        link: &LinkHandle,
        limit: Duration,
        message: impl FnOnce(u64) -> M,
    ) -> Option<Kind> {
        let call = self.calls.last_call.get() + 1;
        self.calls.last_call.set(call);
        let (tx, rx) = oneshot::channel();
        self.calls.pending.borrow_mut().insert(call, tx);
        let sent = link.send(message(call));
        let reply = if sent { timeout(limit, rx).await.ok().and_then(Result::ok) } else { None };
        self.calls.pending.borrow_mut().remove(&call);
        reply
    }

    pub(crate) fn on_call_reply(&self, kind: Kind) {
        let call = match &kind {
            Kind::JobPage(page) => page.call,
            Kind::JobItemBody(body) => body.call,
            Kind::StoreCreated(created) => created.call,
            Kind::StoreObject(object) => object.call,
            Kind::JobAdmitted(admitted) => admitted.call,
            _ => return,
        };
        if let Some(tx) = self.calls.pending.borrow_mut().remove(&call) {
            // The receiver is dropped if the call has timed out.
            let _ = tx.send(kind);
        }
    }

    /// Handles a frame from a process that dialed this one.
    pub(crate) fn on_peer_frame(self: &Rc<Self>, incarnation: u64, link: &LinkHandle, kind: Kind) {
        let kind = match self.cfg.role {
            NodeRole::Driver => self.on_place_frame(incarnation, kind),
            NodeRole::Gateway => self.forward_frame(incarnation, link, kind),
        };
        let Some(kind) = kind else { return };
        let node = Rc::clone(self);
        let link = link.clone();
        match kind {
            Kind::ConfigFetch(_) => self.on_config_fetch(&link),
            Kind::ConfigCheck(check) => self.config_age.on_check(&check, &link),
            Kind::EndpointFetch(_) => self.send_endpoints(&link),
            Kind::JobRead(read) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    link.send(driver.read_results(&node, read).await);
                });
            }
            Kind::JobItemRead(read) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    link.send(driver.read_item(&node, read).await);
                });
            }
            Kind::JobAccepted(accepted) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    driver.on_accepted(&node, &Name::from(accepted.job)).await;
                });
            }
            Kind::JobCancelled(cancelled) => {
                if let Some(driver) = self.driver.get() {
                    driver.cancel_job(self, Name::from(cancelled.job));
                }
            }
            Kind::JobAdmit(admit) => {
                let Some(driver) = self.driver.get().map(Rc::clone) else { return };
                spawn_local(async move {
                    link.send(driver.admit(&node, admit).await);
                });
            }
            Kind::TokensHeld(report) => {
                if let Some(driver) = self.driver.get() {
                    driver.on_tokens_held(&report);
                }
            }
            Kind::LearnedCosts(learned) => self.on_learned_costs(&learned),
            Kind::ItemProgress(progress) => {
                if let Some(driver) = self.driver.get() {
                    driver.on_item_progress(self, progress);
                }
            }
            Kind::CrashReport(report) => self.on_crash_report(report),
            Kind::SoundRunReport(report) => self.on_sound_run_report(&report),
            Kind::TrialReport(report) => self.on_trial_report(&report),
            Kind::EndpointLeaving(leaving) => {
                self.on_endpoint_leaving(&leaving, NodeRole::Gateway);
            }
            // Frames of processes that dialed this one are not relayed further.
            Kind::BlockSet(set) => self.on_block_set(set, NodeRole::Gateway),
            Kind::StoreRead(read) => {
                spawn_local(async move {
                    link.send(node.read_for_peer(read).await);
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
        let created = match delegable_kind(&create.kind) {
            Some(kind) => self.store.create(kind, &Name::from(create.name), create.spec).await,
            None => CreateResult::Unavailable,
        };
        let status = match created {
            CreateResult::Done => StoreCreateStatus::Created,
            CreateResult::Exists => StoreCreateStatus::Exists,
            CreateResult::Unavailable => StoreCreateStatus::Unavailable,
            CreateResult::Unknown => StoreCreateStatus::Unknown,
            CreateResult::TooLarge => StoreCreateStatus::TooLarge,
        };
        messages::StoreCreated { call: create.call, status: status.into() }
    }

    async fn read_for_peer(&self, read: messages::StoreRead) -> messages::StoreObject {
        let found = match delegable_kind(&read.kind) {
            Some(kind) => self.store.get(kind, &Name::from(read.name.as_str())).await,
            None => GetResult::Unavailable,
        };
        let mut object = messages::StoreObject { call: read.call, ..Default::default() };
        let outcome = match found {
            GetResult::Found(found) => {
                object.revision = found.revision.0;
                object.spec = found.spec.get().to_owned();
                object.status = found.status.get().to_owned();
                StoreReadStatus::Found
            }
            GetResult::Missing => StoreReadStatus::Missing,
            GetResult::Unavailable => match self.known_job(&read) {
                Some((spec, status)) => {
                    object.spec = spec;
                    object.status = status;
                    StoreReadStatus::Found
                }
                None => StoreReadStatus::Unavailable,
            },
        };
        object.set_outcome(outcome);
        object
    }
}

/// # Copies of submissions
impl Node {
    /// Returns the submission of a job from the memory of this process. It never changes.
    fn known_job(&self, read: &messages::StoreRead) -> Option<(String, String)> {
        if read.kind != JOBS_KIND {
            return None;
        }
        self.driver.get()?.job_object(&Name::from(read.name.as_str()))
    }
}

/// # Store calls with drivers as fallback
impl Node {
    /// Creates an object. If the store is unavailable to this process, drivers create it instead.
    pub(crate) async fn create(
        &self,
        kind: &'static str,
        name: &Name,
        spec: String,
    ) -> CreateResult {
        let mut created = self.store.create(kind, name, spec.clone()).await;
        for link in self.delegates(name) {
            if !matches!(created, CreateResult::Unavailable | CreateResult::Unknown) {
                return created;
            }
            let message = |call| messages::StoreCreate {
                call,
                kind: kind.to_owned(),
                name: name.to_string(),
                spec: spec.clone(),
            };
            let reply = self.call(&link, DELEGATED_CALL_TIMEOUT, message).await;
            created = match reply {
                Some(Kind::StoreCreated(reply)) => match reply.status() {
                    StoreCreateStatus::Created => CreateResult::Done,
                    StoreCreateStatus::Exists => CreateResult::Exists,
                    StoreCreateStatus::TooLarge => CreateResult::TooLarge,
                    // The outcome stays unknown if an earlier call may have created the object.
                    StoreCreateStatus::Unavailable => created,
                    StoreCreateStatus::Unknown | StoreCreateStatus::Unspecified => {
                        CreateResult::Unknown
                    }
                },
                _ => CreateResult::Unknown,
            };
        }
        created
    }

    /// Reads the current version of an object. If the store is unavailable to this process, drivers
    /// read it instead.
    pub(crate) async fn read(&self, kind: &'static str, name: &Name) -> GetResult {
        let read = self.store.get(kind, name).await;
        if !matches!(read, GetResult::Unavailable) {
            return read;
        }
        // The drivers that watch the jobs hold copies of them.
        let key = if kind == JOBS_KIND { WATCHERS_KEY } else { name };
        for link in self.delegates(key) {
            let message =
                |call| messages::StoreRead { call, kind: kind.to_owned(), name: name.to_string() };
            let reply = self.call(&link, DELEGATED_CALL_TIMEOUT, message).await;
            let Some(Kind::StoreObject(object)) = reply else { continue };
            match object.outcome() {
                StoreReadStatus::Found => {
                    if let Some(object) = decode_object(name, object) {
                        return GetResult::Found(object);
                    }
                }
                StoreReadStatus::Missing => return GetResult::Missing,
                StoreReadStatus::Unavailable | StoreReadStatus::Unspecified => {}
            }
        }
        GetResult::Unavailable
    }

    fn delegates(&self, key: &str) -> Vec<LinkHandle> {
        let ranked = self.peers.ranked(self, key);
        let links = ranked.iter().filter_map(|driver| self.peers.link_to(driver));
        links.take(MAX_DELEGATES).collect()
    }
}

fn delegable_kind(kind: &str) -> Option<&'static str> {
    BATCH_KINDS.into_iter().find(|known| *known == kind)
}

fn decode_object(name: &Name, object: messages::StoreObject) -> Option<Object> {
    let raw = |text: String| {
        RawValue::from_string(text)
            .inspect_err(|err| log::error!("failed to decode peer object {name}: {err}"))
            .ok()
    };
    Some(Object {
        name: Name::clone(name),
        revision: Version(object.revision),
        spec: raw(object.spec)?,
        status: raw(object.status)?,
    })
}
