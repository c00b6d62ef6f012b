//! Requests for places, and the places that are held.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::LimitTolerance;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_policy::PlaceRequest;
use dogwoodtray_policy::UsualGap;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::gap_monitor::GapMonitor;
use super::limits::OrganizationLimits;
use super::limits::Spending;
use super::wire::class_to_wire;
use super::wire::outcome_to_wire;
use super::wire::refusal;
use super::wire::trial_to_wire;
use crate::node::Node;
use crate::peers::DISPATCHER_KEY;
use crate::trial::TrialKey;

/// Time in which a driver must respond to a place request. A round trip takes 1 ms and processing
/// far less; the rest allows for a driver that is waiting for CPU time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval at which waiting requests are checked for endpoints that may be retried.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a request for a place.
#[derive(Clone, Debug)]
pub(crate) struct PlaceParams {
    pub(crate) service: Name,
    pub(crate) class: Class,
    /// Latest time at which the request can start and still meet its latency objective.
    pub(crate) start_by: Timestamp,
    /// Time at which the whole request is due.
    pub(crate) due: Timestamp,
    /// Time at which the wait for a place ends with `PlaceError::Expired`.
    pub(crate) expires_at: Timestamp,
    /// Whether the request may be sent again after an endpoint has failed it.
    pub(crate) repeatable: bool,
    pub(crate) excluded: Vec<Name>,
    /// Trial of blocked contents, if the request runs as one.
    pub(crate) trial: Option<TrialKey>,
    /// Organization of the caller, if the configuration names any.
    pub(crate) organization: Option<Name>,
    /// Rank of the request among those that wait; 0 is the highest.
    pub(crate) priority: u32,
    /// Whether the request spends no token of its organization's limit: it has spent one, or it is
    /// an item of a job.
    pub(crate) counted: bool,
    pub(crate) cost: PlaceCost,
}

/// Reason why no place was assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceError {
    /// The request would miss its objective.
    Refused { retry_after: Duration },
    /// The limit of the organization is reached.
    OverLimit { retry_after: Duration },
    /// No place became free in time.
    Expired,
}

/// Event that is delivered to the task that holds or requests a place.
#[derive(Debug)]
pub(super) enum PlaceEvent {
    Grant(Name),
    Queued,
    Refuse(Duration),
    OverLimit(Duration),
    Preempt,
    /// The request has to be sent to another process, or again.
    Reassigned,
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
    pub(super) last_number: Cell<u64>,
    pub(super) dispatcher: RefCell<Dispatcher>,
    pub(super) records: RefCell<HashMap<u64, PlaceRecord>>,
    /// Link on which each driver received the list of places held by this process.
    pub(super) synced_links: RefCell<HashMap<Name, LinkId>>,
    /// Notified when the dispatcher has waiting requests.
    pub(super) queue_filled: Notify,
    pub(super) limits: OrganizationLimits,
    /// Usual gaps between the events of the streams of each service.
    pub(super) usual_gaps: RefCell<HashMap<Name, UsualGap>>,
    /// What was sent last on each link to a driver about learned costs.
    pub(super) learned_sent: RefCell<HashMap<LinkId, messages::LearnedCosts>>,
}

impl Places {
    pub(crate) fn new(incarnation: Incarnation, tolerance: LimitTolerance, now: Timestamp) -> Self {
        Self {
            holder: incarnation.0,
            last_number: Cell::new(0),
            dispatcher: RefCell::new(Dispatcher::new(DispatcherConfig::default())),
            records: RefCell::new(HashMap::new()),
            synced_links: RefCell::new(HashMap::new()),
            queue_filled: Notify::new(),
            limits: OrganizationLimits::new(tolerance, now),
            usual_gaps: RefCell::new(HashMap::new()),
            learned_sent: RefCell::new(HashMap::new()),
        }
    }

    /// Returns the usual gap between the events of the streams of a service.
    pub(super) fn usual_gap(&self, service: &Name) -> UsualGap {
        self.usual_gaps.borrow().get(service).copied().unwrap_or_default()
    }

    /// Returns the incarnation of this process.
    pub(crate) const fn holder(&self) -> u64 {
        self.holder
    }

    pub(super) const fn id(&self, number: u64) -> PlaceId {
        PlaceId { holder: self.holder, number }
    }
}

/// Place at an endpoint, which is released when the permit is dropped.
#[derive(Debug)]
pub(crate) struct PlacePermit {
    node: Rc<Node>,
    number: u64,
    service: Name,
    pub(crate) endpoint: Name,
    rx: UnboundedReceiver<PlaceEvent>,
    outcome: PlaceOutcome,
    /// Whether the endpoint may have run the request.
    may_have_run: bool,
}

impl PlacePermit {
    /// Records whether the endpoint may have run the request. Otherwise the token that the request
    /// spent is given back.
    pub(crate) const fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Sets the outcome that is reported when the place is released. Defaults to `Withdrawn`.
    pub(crate) const fn set_outcome(&mut self, outcome: PlaceOutcome) {
        self.outcome = outcome;
    }

    /// Reports that the request is queued inside its endpoint.
    pub(crate) fn report_slow(&self) {
        self.node.report_slow_place(self.number);
    }

    /// Reports that the events of the request are later than usual.
    pub(crate) fn report_slow_stream(&self) {
        self.node.report_slow_stream(self.number);
    }

    /// Returns an observer of the gaps between the events of the request.
    pub(crate) fn gap_monitor(&self) -> GapMonitor {
        GapMonitor::new(&self.node, self.number, &self.service)
    }

    /// Waits until the place is preempted.
    pub(crate) async fn preempted(&mut self) {
        loop {
            match self.rx.recv().await {
                Some(PlaceEvent::Preempt) => return,
                Some(_) => {}
                // Not reached: the sender is kept until the permit is dropped.
                None => std::future::pending().await,
            }
        }
    }
}

impl Drop for PlacePermit {
    fn drop(&mut self) {
        self.node.release_place(self.number, self.outcome, !self.may_have_run);
    }
}

/// Guard that withdraws a place request when it is dropped before a place is granted.
struct WithdrawGuard<'a> {
    node: &'a Rc<Node>,
    number: u64,
    granted: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if !self.granted {
            self.node.release_place(self.number, PlaceOutcome::Withdrawn, true);
        }
    }
}

/// # Requesting places
impl Node {
    /// Requests a place at an endpoint and waits for it.
    pub(crate) async fn acquire_place(
        self: &Rc<Self>,
        params: &PlaceParams,
    ) -> Result<PlacePermit, PlaceError> {
        let places = &self.places;
        let number = places.last_number.get() + 1;
        places.last_number.set(number);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let record = PlaceRecord {
            tx,
            service: Name::clone(&params.service),
            class: params.class,
            endpoint: None,
            informed_links: Vec::new(),
        };
        places.records.borrow_mut().insert(number, record);
        let mut guard = WithdrawGuard { node: self, number, granted: false };
        loop {
            let driver = self.request_from_driver(number, params);
            if driver.is_none() {
                self.request_locally(number, params);
            }
            match self.wait_for_place(&mut rx, driver, params).await {
                Ok(Some(endpoint)) => {
                    guard.granted = true;
                    let node = Rc::clone(self);
                    return Ok(PlacePermit {
                        node,
                        number,
                        service: Name::clone(&params.service),
                        endpoint,
                        rx,
                        outcome: PlaceOutcome::Withdrawn,
                        may_have_run: false,
                    });
                }
                Ok(None) => self.withdraw(number),
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
        params: &PlaceParams,
    ) -> Result<Option<Name>, PlaceError> {
        loop {
            let left = params.expires_at - self.now();
            if left.is_zero() {
                return Err(PlaceError::Expired);
            }
            let limit = if unconfirmed.is_some() { left.min(REQUEST_TIMEOUT) } else { left };
            match timeout(limit, rx.recv()).await {
                Ok(Some(PlaceEvent::Grant(endpoint))) => return Ok(Some(endpoint)),
                Ok(Some(PlaceEvent::Refuse(retry_after))) => {
                    return Err(PlaceError::Refused { retry_after });
                }
                Ok(Some(PlaceEvent::OverLimit(retry_after))) => {
                    return Err(PlaceError::OverLimit { retry_after });
                }
                // The driver has queued the request; a closed link reports its loss.
                Ok(Some(PlaceEvent::Queued)) => unconfirmed = None,
                Ok(Some(PlaceEvent::Reassigned)) => return Ok(None),
                Ok(Some(PlaceEvent::Preempt)) => {}
                Ok(None) => return Err(PlaceError::Expired),
                Err(_) => match &unconfirmed {
                    Some(name) => {
                        self.peers.mark_suspect(self, name);
                        return Ok(None);
                    }
                    None => return Err(PlaceError::Expired),
                },
            }
        }
    }

    /// Sends a place request to the driver that assigns places. Returns its name, or `None` if that
    /// driver is this process or cannot be reached.
    fn request_from_driver(&self, number: u64, params: &PlaceParams) -> Option<Name> {
        let name = self.peers.ranked(self, DISPATCHER_KEY).into_iter().next()?;
        if name == self.cfg.node {
            return None;
        }
        let link = self.peers.link_to(&name)?;
        if params.organization.is_some() {
            self.announce_changed_driver();
        }
        self.send_held_places(&name, &link);
        let now = self.now();
        let message = messages::PlaceAsk {
            ask: number,
            service: params.service.to_string(),
            class: class_to_wire(params.class).into(),
            start_within_ms: millis(params.start_by - now),
            due_within_ms: millis(params.due - now),
            repeatable: params.repeatable,
            excluded: params.excluded.iter().map(ToString::to_string).collect(),
            organization: params.organization.as_ref().map(ToString::to_string).unwrap_or_default(),
            priority: params.priority,
            counted: params.counted,
            prompt_tokens: params.cost.prompt_tokens,
            expected_output_tokens: params.cost.expected_output_tokens,
            max_output_tokens: params.cost.max_output_tokens,
            route: params.cost.route,
            prefix: params.cost.prefix,
            ..params.trial.as_ref().map(trial_to_wire).unwrap_or_default()
        };
        if !link.send(message) {
            return None;
        }
        let mut records = self.places.records.borrow_mut();
        records.get_mut(&number)?.informed_links.push(link);
        Some(name)
    }

    /// Sends the places held by this process to a driver before the first request on a link.
    fn send_held_places(&self, name: &Name, link: &LinkHandle) {
        let known = self.places.synced_links.borrow_mut().insert(Name::clone(name), link.id());
        if known == Some(link.id()) {
            return;
        }
        let mut places = Vec::new();
        for (number, record) in self.places.records.borrow_mut().iter_mut() {
            let Some(endpoint) = &record.endpoint else { continue };
            places.push(messages::HeldPlace {
                ask: *number,
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

    fn request_locally(&self, number: u64, params: &PlaceParams) {
        let id = self.places.id(number);
        let organization = params.organization.as_ref();
        let spending = Spending { id, organization, counted: params.counted };
        if let Err(refusal) = self.spend_token(spending) {
            return self.deliver(number, refusal);
        }
        if let Err(retry_after) = self.request_trial(id, params.trial.as_ref()) {
            self.end_spend(id, true);
            return self.deliver(number, PlaceEvent::Refuse(retry_after));
        }
        let request = PlaceRequest {
            id,
            service: Name::clone(&params.service),
            class: params.class,
            start_by: params.start_by,
            due: params.due,
            repeatable: params.repeatable,
            excluded: params.excluded.clone(),
            organization: params.organization.clone(),
            priority: params.priority,
            cost: params.cost,
        };
        self.dispatch(|dispatcher, now, out| dispatcher.request_place(now, request, out));
    }

    /// Sends the waiting place requests again whose process does not assign places any more. It may
    /// not know of endpoints and places that others do.
    pub(crate) fn reassign_place_requests(&self) {
        let records = self.places.records.borrow();
        let mut waiting = records.values().filter(|record| record.endpoint.is_none()).peekable();
        if waiting.peek().is_none() {
            return;
        }
        // A request that waits in this process has no link.
        let link_of = |name: &Name| self.peers.link_to(name).map(|link| link.id());
        let assigners: Vec<Option<LinkId>> =
            self.peers.place_assigners(self).iter().map(link_of).collect();
        let requested_on = |record: &PlaceRecord| record.informed_links.last().map(LinkHandle::id);
        for record in waiting.filter(|record| !assigners.contains(&requested_on(record))) {
            // The task may already have dropped its receiver.
            let _ = record.tx.send(PlaceEvent::Reassigned);
        }
    }

    fn withdraw(&self, number: u64) {
        let informed = {
            let mut records = self.places.records.borrow_mut();
            records.get_mut(&number).map(|record| std::mem::take(&mut record.informed_links))
        };
        let informed = informed.unwrap_or_default();
        self.report_place_outcome(number, informed, PlaceOutcome::Withdrawn, true);
    }

    fn release_place(&self, number: u64, outcome: PlaceOutcome, not_run: bool) {
        let Some(record) = self.places.records.borrow_mut().remove(&number) else { return };
        self.report_place_outcome(number, record.informed_links, outcome, not_run);
    }

    /// Reports the outcome of a place or request to all drivers that were informed of it.
    fn report_place_outcome(
        &self,
        number: u64,
        informed: Vec<LinkHandle>,
        outcome: PlaceOutcome,
        not_run: bool,
    ) {
        let wire_outcome = outcome_to_wire(outcome).into();
        for link in informed {
            link.send(messages::PlaceReturn { ask: number, outcome: wire_outcome, not_run });
        }
        let id = self.places.id(number);
        self.end_spend(id, not_run);
        self.on_place_released(id);
        self.dispatch(|dispatcher, now, out| {
            dispatcher.release_place(now, id, outcome, out);
        });
    }

    fn report_slow_place(&self, number: u64) {
        self.send_slow_report(number, false);
        let id = self.places.id(number);
        self.places.dispatcher.borrow_mut().record_internal_queue(self.now(), id);
    }

    pub(super) fn report_slow_stream(&self, number: u64) {
        self.send_slow_report(number, true);
        let id = self.places.id(number);
        self.places.dispatcher.borrow_mut().record_slow_stream(self.now(), id);
    }

    fn send_slow_report(&self, number: u64, streaming: bool) {
        let records = self.places.records.borrow();
        for link in records.get(&number).iter().flat_map(|record| &record.informed_links) {
            link.send(messages::PlaceSlow { ask: number, streaming });
        }
    }

    /// Passes the current list of endpoints to the dispatcher.
    pub(crate) fn refresh_places(&self) {
        let list = self.directory.borrow().places();
        self.routing.set_endpoints(&list);
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
                if node.places.dispatcher.borrow().has_queued() {
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
        let has_queued = {
            let mut dispatcher = self.places.dispatcher.borrow_mut();
            decide(&mut dispatcher, now, &mut out);
            dispatcher.has_queued()
        };
        if has_queued {
            self.places.queue_filled.notify_one();
        }
        for action in out {
            self.perform(action);
        }
    }

    fn perform(&self, action: PlaceAction) {
        let (id, event) = match action {
            PlaceAction::Grant { id, endpoint } => match self.start_granted(id) {
                Ok(()) => (id, PlaceEvent::Grant(endpoint)),
                Err(refusal) => {
                    self.dispatch(|dispatcher, now, out| {
                        dispatcher.release_place(now, id, PlaceOutcome::Withdrawn, out);
                    });
                    (id, refusal)
                }
            },
            PlaceAction::Queued { id } => (id, PlaceEvent::Queued),
            PlaceAction::Refuse { id, retry_after } => {
                self.end_spend(id, true);
                (id, PlaceEvent::Refuse(retry_after))
            }
            PlaceAction::Preempt { id } => (id, PlaceEvent::Preempt),
        };
        self.send_place_event(id, event);
    }

    /// Sends an event to the process that holds or requests a place.
    pub(super) fn send_place_event(&self, id: PlaceId, event: PlaceEvent) {
        if id.holder == self.places.holder {
            self.deliver(id.number, event);
            return;
        }
        // The process has disconnected, and its places are dropped after a delay.
        let Some(link) = self.peers.link_of_incarnation(id.holder) else { return };
        let number = id.number;
        match event {
            PlaceEvent::Grant(endpoint) => {
                link.send(messages::PlaceGrant { ask: number, endpoint: endpoint.to_string() })
            }
            PlaceEvent::Queued => link.send(messages::PlaceQueued { ask: number }),
            PlaceEvent::Refuse(retry_after) => link.send(refusal(number, retry_after, false)),
            PlaceEvent::OverLimit(retry_after) => link.send(refusal(number, retry_after, true)),
            PlaceEvent::Preempt => link.send(messages::PlacePreempt { ask: number }),
            PlaceEvent::Reassigned => true,
        };
    }

    /// Checks whether a request that is granted a place may start.
    fn start_granted(&self, id: PlaceId) -> Result<(), PlaceEvent> {
        self.start_spend(id)?;
        self.start_trial(id).map_err(|retry_after| {
            self.end_spend(id, true);
            PlaceEvent::Refuse(retry_after)
        })
    }

    pub(super) fn deliver(&self, number: u64, event: PlaceEvent) {
        let mut records = self.places.records.borrow_mut();
        let Some(record) = records.get_mut(&number) else { return };
        if let PlaceEvent::Grant(endpoint) = &event {
            record.endpoint = Some(Name::clone(endpoint));
        }
        // The task may already have dropped its receiver.
        let _ = record.tx.send(event);
    }
}
