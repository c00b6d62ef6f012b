//! Requests for places, and the places that are held.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceAsk;
use dogwoodtray_policy::PlaceEnd;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_wire::messages;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::wire::class_to_wire;
use super::wire::end_to_wire;
use super::wire::millis;
use crate::node::Node;
use crate::peers::DISPATCHER_KEY;

/// Time in which a driver must respond to a place request. A round trip takes 1 ms and processing
/// far less; the rest allows for a driver that is waiting for CPU time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval at which waiting requests are checked for endpoints that may be retried.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a request for a place.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub(crate) service: Name,
    pub(crate) class: Class,
    /// Latest time at which the request can start and still meet its latency objective.
    pub(crate) start_by: Timestamp,
    /// Time at which the whole request is due.
    pub(crate) due: Timestamp,
    /// Time at which the wait for a place ends with `NoPlace::Expired`.
    pub(crate) give_up_at: Timestamp,
    pub(crate) excluded: Vec<Name>,
}

/// Reason why no place was assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// The request would miss its objective.
    Refused { retry_after: Duration },
    /// No place became free in time.
    Expired,
}

/// Event that is delivered to the task that holds or requests a place.
#[derive(Debug)]
pub(super) enum PlaceEvent {
    Grant(Name),
    Queued,
    Refuse(Duration),
    Preempt,
    LinkLost,
}

/// State of a place that is held or requested.
#[derive(Debug)]
pub(super) struct PlaceRecord {
    pub(super) tx: UnboundedSender<PlaceEvent>,
    pub(super) service: Name,
    pub(super) class: Class,
    pub(super) endpoint: Option<Name>,
    /// Links to the drivers that were informed of the place or request.
    pub(super) informed_links: Vec<LinkHandle>,
}

/// Places and place requests of a process.
#[derive(Debug)]
pub(crate) struct Places {
    /// Incarnation of this process, which identifies it in place ids.
    pub(super) holder: u64,
    pub(super) last_ask: Cell<u64>,
    pub(super) dispatcher: RefCell<Dispatcher>,
    pub(super) records: RefCell<HashMap<u64, PlaceRecord>>,
    /// Link on which each driver received the list of places held by this process.
    pub(super) synced_links: RefCell<HashMap<Name, LinkId>>,
    /// Notified when the dispatcher has waiting requests.
    pub(super) queue_filled: Notify,
}

impl Places {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            holder: incarnation.0,
            last_ask: Cell::new(0),
            dispatcher: RefCell::new(Dispatcher::new(DispatcherConfig::default())),
            records: RefCell::new(HashMap::new()),
            synced_links: RefCell::new(HashMap::new()),
            queue_filled: Notify::new(),
        }
    }

    pub(super) const fn id(&self, ask: u64) -> PlaceId {
        PlaceId { holder: self.holder, ask }
    }
}

/// Place at an endpoint, which is released when the lease is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    node: Rc<Node>,
    ask: u64,
    pub(crate) endpoint: Name,
    rx: UnboundedReceiver<PlaceEvent>,
    end: PlaceEnd,
}

impl Lease {
    /// Sets the outcome that is reported when the place is released. Defaults to `Withdrawn`.
    pub(crate) const fn ended(&mut self, end: PlaceEnd) {
        self.end = end;
    }

    /// Reports that the request is queued inside its endpoint.
    pub(crate) fn slow(&self) {
        self.node.report_slow_place(self.ask);
    }

    /// Waits until the place is preempted.
    pub(crate) async fn preempted(&mut self) {
        loop {
            match self.rx.recv().await {
                Some(PlaceEvent::Preempt) => return,
                Some(_) => {}
                // Not reached: the sender is kept until the lease is dropped.
                None => std::future::pending().await,
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.node.release_place(self.ask, self.end);
    }
}

/// Guard that withdraws a place request when it is dropped before a place is granted.
struct WithdrawGuard<'a> {
    node: &'a Rc<Node>,
    ask: u64,
    granted: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if !self.granted {
            self.node.release_place(self.ask, PlaceEnd::Withdrawn);
        }
    }
}

/// # Requesting places
impl Node {
    /// Requests a place at an endpoint and waits for it.
    pub(crate) async fn place(self: &Rc<Self>, want: &Want) -> Result<Lease, NoPlace> {
        let places = &self.places;
        let ask = places.last_ask.get() + 1;
        places.last_ask.set(ask);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let record = PlaceRecord {
            tx,
            service: Name::clone(&want.service),
            class: want.class,
            endpoint: None,
            informed_links: Vec::new(),
        };
        places.records.borrow_mut().insert(ask, record);
        let mut guard = WithdrawGuard { node: self, ask, granted: false };
        loop {
            let driver = self.request_from_driver(ask, want);
            if driver.is_none() {
                self.request_locally(ask, want);
            }
            match self.wait_for_place(&mut rx, driver, want).await {
                Ok(Some(endpoint)) => {
                    guard.granted = true;
                    let node = Rc::clone(self);
                    return Ok(Lease { node, ask, endpoint, rx, end: PlaceEnd::Withdrawn });
                }
                Ok(None) => self.withdraw(ask),
                Err(err) => return Err(err),
            }
        }
    }

    /// Waits for the reply to a place request. Returns `Ok(None)` if the request must be sent to
    /// another driver. `unconfirmed` names the driver that has not yet confirmed the request.
    async fn wait_for_place(
        &self,
        rx: &mut UnboundedReceiver<PlaceEvent>,
        mut unconfirmed: Option<Name>,
        want: &Want,
    ) -> Result<Option<Name>, NoPlace> {
        loop {
            let left = want.give_up_at - self.now();
            if left.is_zero() {
                return Err(NoPlace::Expired);
            }
            let limit = if unconfirmed.is_some() { left.min(REQUEST_TIMEOUT) } else { left };
            match timeout(limit, rx.recv()).await {
                Ok(Some(PlaceEvent::Grant(endpoint))) => return Ok(Some(endpoint)),
                Ok(Some(PlaceEvent::Refuse(retry_after))) => {
                    return Err(NoPlace::Refused { retry_after });
                }
                // The driver has queued the request; a closed link reports its loss.
                Ok(Some(PlaceEvent::Queued)) => unconfirmed = None,
                Ok(Some(PlaceEvent::LinkLost)) => return Ok(None),
                Ok(Some(PlaceEvent::Preempt)) => {}
                Ok(None) => return Err(NoPlace::Expired),
                Err(_) => match &unconfirmed {
                    Some(name) => {
                        self.peers.suspect(self, name);
                        return Ok(None);
                    }
                    None => return Err(NoPlace::Expired),
                },
            }
        }
    }

    /// Sends a place request to the driver that assigns places. Returns its name, or `None` if that
    /// driver is this process or cannot be reached.
    fn request_from_driver(&self, ask: u64, want: &Want) -> Option<Name> {
        let name = self.peers.ranked(self, DISPATCHER_KEY).into_iter().next()?;
        if name == self.cfg.node {
            return None;
        }
        let link = self.peers.link_to(&name)?;
        self.send_held_places(&name, &link);
        let now = self.now();
        let message = messages::PlaceAsk {
            ask,
            service: want.service.to_string(),
            class: class_to_wire(want.class).into(),
            start_within_ms: millis(want.start_by - now),
            due_within_ms: millis(want.due - now),
            excluded: want.excluded.iter().map(ToString::to_string).collect(),
        };
        if !link.send(message) {
            return None;
        }
        let mut records = self.places.records.borrow_mut();
        records.get_mut(&ask)?.informed_links.push(link);
        Some(name)
    }

    /// Sends the places held by this process to a driver before the first request on a link.
    fn send_held_places(&self, name: &Name, link: &LinkHandle) {
        let known = self.places.synced_links.borrow_mut().insert(Name::clone(name), link.id());
        if known == Some(link.id()) {
            return;
        }
        let mut places = Vec::new();
        for (ask, record) in self.places.records.borrow_mut().iter_mut() {
            let Some(endpoint) = &record.endpoint else { continue };
            places.push(messages::HeldPlace {
                ask: *ask,
                service: record.service.to_string(),
                endpoint: endpoint.to_string(),
                class: class_to_wire(record.class).into(),
            });
            record.informed_links.push(link.clone());
        }
        if !places.is_empty() {
            link.send(messages::PlacesHeld { places });
        }
    }

    fn request_locally(&self, ask: u64, want: &Want) {
        let ask = PlaceAsk {
            id: self.places.id(ask),
            service: Name::clone(&want.service),
            class: want.class,
            start_by: want.start_by,
            due: want.due,
            excluded: want.excluded.clone(),
        };
        self.dispatch(|dispatcher, now, out| dispatcher.ask(now, ask, out));
    }

    fn withdraw(&self, ask: u64) {
        let informed = {
            let mut records = self.places.records.borrow_mut();
            records.get_mut(&ask).map(|record| std::mem::take(&mut record.informed_links))
        };
        self.report_place_end(ask, informed.unwrap_or_default(), PlaceEnd::Withdrawn);
    }

    fn release_place(&self, ask: u64, end: PlaceEnd) {
        let Some(record) = self.places.records.borrow_mut().remove(&ask) else { return };
        self.report_place_end(ask, record.informed_links, end);
    }

    /// Reports the end of a place or request to all drivers that were informed of it.
    fn report_place_end(&self, ask: u64, informed: Vec<LinkHandle>, end: PlaceEnd) {
        let outcome = end_to_wire(end).into();
        for link in informed {
            link.send(messages::PlaceReturn { ask, outcome });
        }
        let id = self.places.id(ask);
        self.dispatch(|dispatcher, now, out| {
            dispatcher.end(now, id, end, out);
        });
    }

    fn report_slow_place(&self, ask: u64) {
        {
            let records = self.places.records.borrow();
            for link in records.get(&ask).iter().flat_map(|record| &record.informed_links) {
                link.send(messages::PlaceSlow { ask });
            }
        }
        let id = self.places.id(ask);
        self.places.dispatcher.borrow_mut().on_slow(self.now(), id);
    }

    /// Passes the current list of endpoints to the dispatcher.
    pub(crate) fn refresh_places(&self) {
        let list = self.directory.borrow().places();
        self.dispatch(|dispatcher, now, out| {
            dispatcher.set_endpoints(&list);
            dispatcher.tick(now, out);
        });
    }

    /// Starts the task that checks waiting requests periodically.
    pub(crate) fn spawn_place_ticks(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                if node.places.dispatcher.borrow().is_waiting() {
                    sleep(TICK_INTERVAL).await;
                    node.dispatch(Dispatcher::tick);
                } else {
                    node.places.queue_filled.notified().await;
                }
            }
        });
    }

    pub(super) fn dispatch(
        &self,
        decide: impl FnOnce(&mut Dispatcher, Timestamp, &mut Vec<PlaceAction>),
    ) {
        let now = self.now();
        let mut out = Vec::new();
        let is_waiting = {
            let mut dispatcher = self.places.dispatcher.borrow_mut();
            decide(&mut dispatcher, now, &mut out);
            dispatcher.is_waiting()
        };
        if is_waiting {
            self.places.queue_filled.notify_one();
        }
        for action in out {
            self.perform(action);
        }
    }

    fn perform(&self, action: PlaceAction) {
        let (id, event) = match action {
            PlaceAction::Grant { id, endpoint } => (id, PlaceEvent::Grant(endpoint)),
            PlaceAction::Queued { id } => (id, PlaceEvent::Queued),
            PlaceAction::Refuse { id, retry_after } => (id, PlaceEvent::Refuse(retry_after)),
            PlaceAction::Preempt { id } => (id, PlaceEvent::Preempt),
        };
        if id.holder == self.places.holder {
            self.deliver(id.ask, event);
            return;
        }
        // The process has disconnected, and its places are dropped after a delay.
        let Some(link) = self.peers.link_of_incarnation(id.holder) else { return };
        let ask = id.ask;
        match event {
            PlaceEvent::Grant(endpoint) => {
                link.send(messages::PlaceGrant { ask, endpoint: endpoint.to_string() })
            }
            PlaceEvent::Queued => link.send(messages::PlaceQueued { ask }),
            PlaceEvent::Refuse(retry_after) => {
                link.send(messages::PlaceRefused { ask, retry_after_ms: millis(retry_after) })
            }
            PlaceEvent::Preempt => link.send(messages::PlacePreempt { ask }),
            PlaceEvent::LinkLost => true,
        };
    }

    pub(super) fn deliver(&self, ask: u64, event: PlaceEvent) {
        let mut records = self.places.records.borrow_mut();
        let Some(record) = records.get_mut(&ask) else { return };
        if let PlaceEvent::Grant(endpoint) = &event {
            record.endpoint = Some(Name::clone(endpoint));
        }
        // The task may already have dropped its receiver.
        let _ = record.tx.send(event);
    }
}
