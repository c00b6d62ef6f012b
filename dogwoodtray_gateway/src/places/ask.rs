//! Asks for places, and the places that are held.

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

/// Time in which a driver answers an ask. A round trip takes 1 ms and its work far less; the rest
/// covers a driver that waits for its share of the processor.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval at which waiting asks are looked at for endpoints that are tried again.
const TICK: Duration = Duration::from_millis(20);

/// Request for a place.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub(crate) service: Name,
    pub(crate) class: Class,
    /// Latest time at which the request can start and meet its objective.
    pub(crate) start_by: Timestamp,
    /// Time at which it is due as a whole.
    pub(crate) due: Timestamp,
    /// Time after which the place is of no use.
    pub(crate) give_up_at: Timestamp,
    pub(crate) excluded: Vec<Name>,
}

/// Reason why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// The request would miss its objective.
    Refused { retry_after: Duration },
    /// No place came up in time.
    Expired,
}

/// News for the request that asked.
#[derive(Debug)]
pub(super) enum Note {
    Grant(Name),
    Queued,
    Refuse(Duration),
    Preempt,
    LinkLost,
}

/// Place that is held or waited for.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) tx: UnboundedSender<Note>,
    pub(super) service: Name,
    pub(super) class: Class,
    pub(super) endpoint: Option<Name>,
    /// Links whose drivers know of it.
    pub(super) told: Vec<LinkHandle>,
}

/// Places and asks of a process.
#[derive(Debug)]
pub(crate) struct Places {
    pub(super) me: u64,
    pub(super) next: Cell<u64>,
    pub(super) dispatcher: RefCell<Dispatcher>,
    pub(super) records: RefCell<HashMap<u64, Record>>,
    /// Link on which each driver was told of all places held here.
    pub(super) synced: RefCell<HashMap<Name, LinkId>>,
    pub(super) waiting: Notify,
}

impl Places {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            me: incarnation.0,
            next: Cell::new(0),
            dispatcher: RefCell::new(Dispatcher::new(DispatcherConfig::default())),
            records: RefCell::new(HashMap::new()),
            synced: RefCell::new(HashMap::new()),
            waiting: Notify::new(),
        }
    }

    pub(super) const fn id(&self, ask: u64) -> PlaceId {
        PlaceId { holder: self.me, ask }
    }
}

/// Place at an endpoint. It is returned when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    node: Rc<Node>,
    ask: u64,
    pub(crate) endpoint: Name,
    rx: UnboundedReceiver<Note>,
    end: PlaceEnd,
}

impl Lease {
    /// Says how the place was used; `Withdrawn` if it is not called.
    pub(crate) const fn ended(&mut self, end: PlaceEnd) {
        self.end = end;
    }

    /// Says that the request waits inside its endpoint.
    pub(crate) fn slow(&self) {
        self.node.slow_place(self.ask);
    }

    /// Waits until the place is taken back.
    pub(crate) async fn preempted(&mut self) {
        loop {
            match self.rx.recv().await {
                Some(Note::Preempt) => return,
                Some(_) => {}
                // The sender lives until the lease is dropped.
                None => std::future::pending().await,
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.node.end_place(self.ask, self.end);
    }
}

/// Withdraws an ask whose request went away while it waited.
struct Asking<'a> {
    node: &'a Rc<Node>,
    ask: u64,
    granted: bool,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        if !self.granted {
            self.node.end_place(self.ask, PlaceEnd::Withdrawn);
        }
    }
}

/// # Asking
impl Node {
    /// Waits for a place at an endpoint.
    pub(crate) async fn place(self: &Rc<Self>, want: &Want) -> Result<Lease, NoPlace> {
        let places = &self.places;
        let ask = places.next.get() + 1;
        places.next.set(ask);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let record = Record {
            tx,
            service: Name::clone(&want.service),
            class: want.class,
            endpoint: None,
            told: Vec::new(),
        };
        places.records.borrow_mut().insert(ask, record);
        let mut asking = Asking { node: self, ask, granted: false };
        loop {
            let remote = self.ask_driver(ask, want);
            if remote.is_none() {
                self.ask_here(ask, want);
            }
            match self.wait_for_place(&mut rx, remote, want).await {
                Ok(Some(endpoint)) => {
                    asking.granted = true;
                    let node = Rc::clone(self);
                    return Ok(Lease { node, ask, endpoint, rx, end: PlaceEnd::Withdrawn });
                }
                Ok(None) => self.withdraw(ask),
                Err(none) => return Err(none),
            }
        }
    }

    /// Waits for the reply to an ask. `Ok(None)` means that another driver is to be asked.
    async fn wait_for_place(
        &self,
        rx: &mut UnboundedReceiver<Note>,
        mut remote: Option<Name>,
        want: &Want,
    ) -> Result<Option<Name>, NoPlace> {
        loop {
            let left = want.give_up_at - self.now();
            if left.is_zero() {
                return Err(NoPlace::Expired);
            }
            let limit = if remote.is_some() { left.min(ASK_TIMEOUT) } else { left };
            match timeout(limit, rx.recv()).await {
                Ok(Some(Note::Grant(endpoint))) => return Ok(Some(endpoint)),
                Ok(Some(Note::Refuse(retry_after))) => {
                    return Err(NoPlace::Refused { retry_after });
                }
                // The driver knows of the ask; the link tells when it is gone.
                Ok(Some(Note::Queued)) => remote = None,
                Ok(Some(Note::LinkLost)) => return Ok(None),
                Ok(Some(Note::Preempt)) => {}
                Ok(None) => return Err(NoPlace::Expired),
                Err(_) => match &remote {
                    Some(name) => {
                        self.peers.suspect(self, name);
                        return Ok(None);
                    }
                    None => return Err(NoPlace::Expired),
                },
            }
        }
    }

    /// Sends an ask to the driver that gives the places of the service. Returns its name, or
    /// nothing if that is this process or no driver can be asked.
    fn ask_driver(&self, ask: u64, want: &Want) -> Option<Name> {
        let name = self.peers.ranked(self, DISPATCHER_KEY).into_iter().next()?;
        if name == self.cfg.node {
            return None;
        }
        let link = self.peers.link_to(&name)?;
        self.sync_places(&name, &link);
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
        records.get_mut(&ask)?.told.push(link);
        Some(name)
    }

    /// Tells a driver of all places held here before it is asked for the first time.
    fn sync_places(&self, name: &Name, link: &LinkHandle) {
        let known = self.places.synced.borrow_mut().insert(Name::clone(name), link.id());
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
            record.told.push(link.clone());
        }
        if !places.is_empty() {
            link.send(messages::PlacesHeld { places });
        }
    }

    fn ask_here(&self, ask: u64, want: &Want) {
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
        let told = {
            let mut records = self.places.records.borrow_mut();
            records.get_mut(&ask).map(|record| std::mem::take(&mut record.told))
        };
        self.return_place(ask, told.unwrap_or_default(), PlaceEnd::Withdrawn);
    }

    fn end_place(&self, ask: u64, end: PlaceEnd) {
        let Some(record) = self.places.records.borrow_mut().remove(&ask) else { return };
        self.return_place(ask, record.told, end);
    }

    /// Tells everyone who knows of a place or an ask how it ended.
    fn return_place(&self, ask: u64, told: Vec<LinkHandle>, end: PlaceEnd) {
        let outcome = end_to_wire(end).into();
        for link in told {
            link.send(messages::PlaceReturn { ask, outcome });
        }
        let id = self.places.id(ask);
        self.dispatch(|dispatcher, now, out| {
            dispatcher.end(now, id, end, out);
        });
    }

    fn slow_place(&self, ask: u64) {
        {
            let records = self.places.records.borrow();
            for link in records.get(&ask).iter().flat_map(|record| &record.told) {
                link.send(messages::PlaceSlow { ask });
            }
        }
        let id = self.places.id(ask);
        self.places.dispatcher.borrow_mut().on_slow(self.now(), id);
    }

    /// Takes the current list of endpoints over.
    pub(crate) fn refresh_places(&self) {
        let list = self.directory.borrow().places();
        self.dispatch(|dispatcher, now, out| {
            dispatcher.set_endpoints(&list);
            dispatcher.tick(now, out);
        });
    }

    /// Looks at waiting asks from time to time.
    pub(crate) fn spawn_place_ticks(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                if node.places.dispatcher.borrow().is_waiting() {
                    sleep(TICK).await;
                    node.dispatch(Dispatcher::tick);
                } else {
                    node.places.waiting.notified().await;
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
        let waiting = {
            let mut dispatcher = self.places.dispatcher.borrow_mut();
            decide(&mut dispatcher, now, &mut out);
            dispatcher.is_waiting()
        };
        if waiting {
            self.places.waiting.notify_one();
        }
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&self, action: PlaceAction) {
        let (id, note) = match action {
            PlaceAction::Grant { id, endpoint } => (id, Note::Grant(endpoint)),
            PlaceAction::Queued { id } => (id, Note::Queued),
            PlaceAction::Refuse { id, retry_after } => (id, Note::Refuse(retry_after)),
            PlaceAction::Preempt { id } => (id, Note::Preempt),
        };
        if id.holder == self.places.me {
            self.note(id.ask, note);
            return;
        }
        // Without a link the process is gone, and its places are dropped soon.
        let Some(link) = self.peers.link_of_incarnation(id.holder) else { return };
        let ask = id.ask;
        match note {
            Note::Grant(endpoint) => {
                link.send(messages::PlaceGrant { ask, endpoint: endpoint.to_string() })
            }
            Note::Queued => link.send(messages::PlaceQueued { ask }),
            Note::Refuse(retry_after) => {
                link.send(messages::PlaceRefused { ask, retry_after_ms: millis(retry_after) })
            }
            Note::Preempt => link.send(messages::PlacePreempt { ask }),
            Note::LinkLost => true,
        };
    }

    pub(super) fn note(&self, ask: u64, note: Note) {
        let mut records = self.places.records.borrow_mut();
        let Some(record) = records.get_mut(&ask) else { return };
        if let Note::Grant(endpoint) = &note {
            record.endpoint = Some(Name::clone(endpoint));
        }
        // The receiver is dropped with the record at the latest.
        let _ = record.tx.send(note);
    }
}
