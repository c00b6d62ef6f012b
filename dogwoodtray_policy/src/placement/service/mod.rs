//! Places and queues of one service.

mod batch;
mod online;
mod pick;
mod work;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use slotmap::SlotMap;
use slotmap::new_key_type;

use self::work::HoldEstimate;
use self::work::PredictedRun;
use super::DispatcherConfig;
use super::EndpointPlaces;
use super::PlaceAction;
use super::PlaceId;
use super::PlaceOutcome;
use super::PlaceRequest;
use super::batch_plan::BatchPlan;
use super::cost::CostModel;
use super::endpoint::Endpoint;
use super::queue::OnlineQueue;
use super::returns::Flow;
use super::returns::Returns;
use super::served::ServedShares;
use super::speed::ServiceSpeed;
use crate::Class;

/// Weight of a new observation in the moving average of the time that a place is held.
const HOLD_TIME_WEIGHT: f64 = 0.05;

new_key_type! {
    /// Identifies an endpoint within one service.
    struct EndpointKey;
}

/// Weight of a new answer in the moving average of the share of errors of the service.
const SERVICE_ERROR_WEIGHT: f64 = 0.01;

/// A request that holds a place.
#[derive(Debug)]
struct HeldRequest {
    /// `None` if the endpoint has been removed or was never listed.
    endpoint: Option<EndpointKey>,
    class: Class,
    /// Priority and organization of a batch item, if the configuration names organizations. It is
    /// boxed because all held requests are visited in each decision.
    flow: Option<Box<Flow>>,
    granted_at: Timestamp,
    due: Timestamp,
    /// Run time that was expected when the place was granted; `None` if another dispatcher granted
    /// it.
    run_time: Option<Duration>,
    /// Whether a preemption was issued and the place has not been released yet.
    preempting: bool,
    /// Prediction of the run; `None` if another dispatcher granted the place.
    predicted: Option<PredictedRun>,
}

impl HeldRequest {
    /// Returns the expected remaining run time, if it is known.
    fn left(&self, now: Timestamp) -> Option<Duration> {
        self.run_time.map(|run_time| run_time.saturating_sub(now - self.granted_at))
    }

    /// Returns `true` if the request cannot be completed by its due time.
    fn is_late(&self, now: Timestamp) -> bool {
        now + self.left(now).unwrap_or_default() > self.due
    }
}

/// Endpoints, held places and queued requests of one service.
#[derive(Debug)]
pub(super) struct ServicePlaces {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: HashMap<Name, EndpointKey>,
    held: HashMap<PlaceId, HeldRequest>,
    online: OnlineQueue,
    /// Refused callers that were told to return.
    returns: Returns,
    /// Share of the online requests of each organization that got a place.
    served: ServedShares,
    /// Queued batch items, ordered by their latest start.
    batch: BTreeMap<(Timestamp, PlaceId), PlaceRequest>,
    /// Order in which the queued batch items get places.
    plan: BatchPlan,
    /// Moving average of the time that an answered online request held its place.
    mean_hold_time: Duration,
    /// Moving average of the share of errors among the answers of all endpoints.
    error_share: f64,
    /// Counter of grants, from which ties between endpoints are broken.
    round_robin_start: usize,
    costs: CostModel,
    speed: ServiceSpeed,
    /// Whether placement considers costs and speeds.
    by_cost: bool,
    /// Number of endpoints whose lasting speed is not the usual one.
    uneven_endpoints: usize,
    /// Time until which some endpoint is regarded as briefly slow.
    slow_until: Timestamp,
    /// Time at which the speeds of idle endpoints were last renewed.
    speeds_renewed_at: Timestamp,
    /// Last estimate of the time that online requests hold their places.
    hold_estimate: HoldEstimate,
}

impl ServicePlaces {
    pub(super) fn new(cfg: &DispatcherConfig) -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            by_name: HashMap::new(),
            held: HashMap::new(),
            online: OnlineQueue::default(),
            returns: Returns::default(),
            served: ServedShares::default(),
            batch: BTreeMap::new(),
            plan: BatchPlan::default(),
            mean_hold_time: cfg.initial_hold_time,
            error_share: 0.0,
            round_robin_start: 0,
            costs: CostModel::new(cfg.initial_hold_time),
            speed: ServiceSpeed::default(),
            by_cost: cfg.cost_based,
            uneven_endpoints: 0,
            slow_until: Timestamp::ZERO,
            speeds_renewed_at: Timestamp::ZERO,
            hold_estimate: HoldEstimate::default(),
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        self.endpoints.is_empty() && self.held.is_empty() && !self.has_queued()
    }

    pub(super) fn has_queued(&self) -> bool {
        !self.online.is_empty() || !self.batch.is_empty()
    }

    pub(super) fn held_places(&self) -> usize {
        self.held.len()
    }

    pub(super) fn queued_online(&self) -> usize {
        self.online.len()
    }

    /// Returns the share of the online requests of each organization that got a place lately.
    pub(super) fn served_shares(&self, now: Timestamp) -> impl Iterator<Item = f64> {
        self.served.shares(now)
    }

    pub(super) fn total_slots(&self) -> u32 {
        sum(self.endpoints.values().map(|endpoint| endpoint.slots))
    }

    /// Returns the slots of the endpoints that are not on trial after failures or errors.
    fn healthy_slots(&self) -> u32 {
        let healthy = self.endpoints.values().filter(|endpoint| endpoint.is_healthy());
        sum(healthy.map(|endpoint| endpoint.slots))
    }
}

/// # Endpoints
impl ServicePlaces {
    /// Replaces the list of endpoints. Requests at removed endpoints keep their places, but free no
    /// capacity when they release them.
    pub(super) fn set_endpoints(&mut self, list: &[&EndpointPlaces]) {
        let removed: Vec<Name> = self
            .by_name
            .keys()
            .filter(|name| !list.iter().any(|places| places.name == **name))
            .cloned()
            .collect();
        for name in removed {
            let Some(key) = self.by_name.remove(&name) else { continue };
            self.endpoints.remove(key);
            for held in self.held.values_mut().filter(|held| held.endpoint == Some(key)) {
                held.endpoint = None;
            }
        }
        for places in list {
            if let Some(key) = self.by_name.get(&places.name) {
                self.endpoints[*key].slots = places.slots;
                continue;
            }
            let endpoint = Endpoint::new(Name::clone(&places.name), places.slots);
            let key = self.endpoints.insert(endpoint);
            self.by_name.insert(Name::clone(&places.name), key);
        }
        self.count_uneven_endpoints();
    }

    pub(super) fn record_internal_queue(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        cfg: &DispatcherConfig,
    ) {
        let key = self.held.get(&id).and_then(|held| held.endpoint);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) {
            endpoint.back_off_until(now + cfg.slow_backoff);
        }
    }

    /// Updates the share of errors of the service, and ejects an endpoint that fails far more
    /// requests than the others. Failing fast, it would otherwise always have free places and draw
    /// most of the requests.
    fn record_answer(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        outcome: PlaceOutcome,
        cfg: &DispatcherConfig,
    ) {
        let is_error = match outcome {
            PlaceOutcome::Answered => 0.0,
            PlaceOutcome::Errored => 1.0,
            _ => return,
        };
        self.error_share += SERVICE_ERROR_WEIGHT * (is_error - self.error_share);
        let ejected = self.endpoints.values().filter(|e| !e.is_healthy()).count();
        let count = self.endpoints.len();
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        // At most half of the endpoints: if more fail, the cause lies elsewhere.
        let may_eject = !endpoint.is_healthy() || (ejected + 1) * 2 <= count;
        let threshold = cfg.eject_error_share.max(cfg.eject_error_ratio * self.error_share);
        if outcome == PlaceOutcome::Errored && may_eject && endpoint.error_share() >= threshold {
            endpoint.eject(now, cfg);
        }
    }

    pub(super) fn on_failure(&mut self, now: Timestamp, endpoint: &str, cfg: &DispatcherConfig) {
        if let Some(key) = self.by_name.get(endpoint) {
            self.endpoints[*key].record_outcome(now, PlaceOutcome::Failed, cfg);
        }
    }
}

/// # Requests
impl ServicePlaces {
    pub(super) fn request_place(
        &mut self,
        now: Timestamp,
        request: PlaceRequest,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        let id = request.id;
        self.online.observe(&request);
        if request.class == Class::Batch {
            self.plan.push((request.start_by, id));
            self.batch.insert((request.start_by, id), request);
            self.assign_places(now, cfg, out);
            if !self.held.contains_key(&id) {
                out.push(PlaceAction::Queued { id });
            }
            return;
        }
        if self.endpoints.is_empty() {
            self.served.record(now, request.organization.as_ref(), false);
            out.push(PlaceAction::Refuse { id, retry_after: cfg.max_retry_after });
            return;
        }
        if self.online.is_empty()
            && let Some(endpoint) = self.pick_endpoint(now, &request)
        {
            self.returns.claim(now, &(request.priority, request.organization.clone()));
            self.online.record_granted(now, &request, self.predicted_work(&request));
            self.served.record(now, request.organization.as_ref(), true);
            self.grant(now, &request, endpoint, out);
            return;
        }
        if self.online.names_organizations() {
            return self.request_shared_place(now, request, cfg, out);
        }
        let wait = self.expected_wait(now);
        if now + wait > request.start_by {
            let retry_after = wait.clamp(cfg.min_retry_after, cfg.max_retry_after);
            out.push(PlaceAction::Refuse { id, retry_after });
            return;
        }
        let work = self.predicted_work(&request);
        self.online.push(now, request, work);
        out.push(PlaceAction::Queued { id });
        self.preempt(now, out);
    }

    pub(super) fn record_granted_place(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        endpoint: &str,
        class: Class,
    ) {
        if self.held.contains_key(&id) {
            return;
        }
        let key = self.by_name.get(endpoint).copied();
        if let Some(key) = key {
            self.endpoints[key].in_use += 1;
        }
        let held = HeldRequest {
            endpoint: key,
            class,
            flow: None,
            granted_at: now,
            due: now,
            run_time: None,
            preempting: false,
            predicted: None,
        };
        self.held.insert(id, held);
    }

    /// Removes a queued request or releases its place. Returns `false` if the id is unknown.
    pub(super) fn release_place(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        outcome: PlaceOutcome,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) -> bool {
        if let Some(held) = self.held.remove(&id) {
            if let Some(endpoint) = held.endpoint.and_then(|key| self.endpoints.get_mut(key)) {
                endpoint.in_use = endpoint.in_use.saturating_sub(1);
                endpoint.record_outcome(now, outcome, cfg);
            }
            if let Some(key) = held.endpoint {
                self.record_answer(now, key, outcome, cfg);
            }
            self.end_predicted_run(now, &held, outcome);
            if outcome == PlaceOutcome::Answered && held.class == Class::Online {
                let observed = (now - held.granted_at).as_secs_f64();
                let mean = self.mean_hold_time.as_secs_f64();
                self.mean_hold_time =
                    Duration::from_secs_f64(mean + HOLD_TIME_WEIGHT * (observed - mean));
            }
            self.assign_places(now, cfg, out);
            return true;
        }
        let queued = self.online.len() + self.batch.len();
        let late = self.online.iter().find(|e| e.request.id == id && e.request.start_by < now);
        if let Some(entry) = late {
            self.served.record(now, entry.request.organization.as_ref(), false);
        }
        self.online.retain(|request| request.id != id);
        self.batch.retain(|(_, other), _| *other != id);
        queued != self.online.len() + self.batch.len()
    }

    pub(super) fn remove_holder(
        &mut self,
        now: Timestamp,
        holder: u64,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        self.online.retain(|request| request.id.holder != holder);
        self.batch.retain(|(_, id), _| id.holder != holder);
        let ids: Vec<PlaceId> =
            self.held.keys().filter(|id| id.holder == holder).copied().collect();
        for id in ids {
            self.release_place(now, id, PlaceOutcome::Withdrawn, cfg, out);
        }
    }

    /// Assigns free places in this order: online requests that can still meet their objective,
    /// online requests that are already late, batch items that can be completed in time, other
    /// batch items.
    pub(super) fn assign_places(
        &mut self,
        now: Timestamp,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        if self.endpoints.is_empty() {
            return self.refuse_online(now, cfg, out);
        }
        self.assign_all_online(now, out);
        if self.online.is_empty() {
            self.assign_batch(now, cfg, out);
        }
        self.preempt(now, out);
    }

    /// Refuses all queued online requests, as an online request is refused on arrival while the
    /// service has no endpoints. Batch items stay queued.
    fn refuse_online(
        &mut self,
        now: Timestamp,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        while let Some(entry) = self.online.withdraw(0) {
            self.served.record(now, entry.request.organization.as_ref(), false);
            let retry_after = cfg.max_retry_after;
            out.push(PlaceAction::Refuse { id: entry.request.id, retry_after });
        }
    }

    /// Assigns free places to online requests, first to those that can still meet their objective.
    fn assign_all_online(&mut self, now: Timestamp, out: &mut Vec<PlaceAction>) {
        self.assign_online(now, out, |request| request.start_by >= now);
        self.assign_online(now, out, |_| true);
    }

    fn assign_online(
        &mut self,
        now: Timestamp,
        out: &mut Vec<PlaceAction>,
        eligible: impl Fn(&PlaceRequest) -> bool,
    ) {
        let mut index = 0;
        while index < self.online.len() {
            if !eligible(self.online.get(index)) {
                index += 1;
                continue;
            }
            let Some(endpoint) = self.pick_endpoint(now, self.online.get(index)) else {
                index += 1;
                if self.free_places(now) == 0 {
                    return;
                }
                continue;
            };
            if let Some(request) = self.online.grant(now, index) {
                self.served.record(now, request.organization.as_ref(), true);
                self.grant(now, &request, endpoint, out);
            }
        }
    }

    /// Returns the expected wait of the next online request: the number of queued requests that can
    /// still meet their objective and this one, less the places that batch work can return, divided
    /// by the rate at which places become free.
    fn expected_wait(&self, now: Timestamp) -> Duration {
        let ahead = self.online.iter().filter(|entry| entry.request.start_by >= now).count();
        let excess = (ahead + 1).saturating_sub(self.batch_places());
        self.expected_hold_time(now).mul_f64(excess as f64 / f64::from(self.healthy_slots().max(1)))
    }

    /// Returns the number of places that batch work can return.
    fn batch_places(&self) -> usize {
        let held = self.held.values();
        held.filter(|held| held.class == Class::Batch && held.endpoint.is_some()).count()
    }

    fn free_places(&self, now: Timestamp) -> u32 {
        sum(self.endpoints.values().map(|endpoint| endpoint.free_places(now)))
    }

    fn grant(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        key: EndpointKey,
        out: &mut Vec<PlaceAction>,
    ) {
        self.round_robin_start = self.round_robin_start.wrapping_add(1);
        self.renew_speeds(now);
        let predicted = self.start_predicted_run(now, request, key);
        let has_flow = request.class == Class::Batch && self.online.names_organizations();
        let flow = has_flow.then(|| Box::new((request.priority, request.organization.clone())));
        let endpoint = &mut self.endpoints[key];
        endpoint.in_use += 1;
        let name = Name::clone(&endpoint.name);
        let held = HeldRequest {
            endpoint: Some(key),
            class: request.class,
            flow,
            granted_at: now,
            due: request.due,
            run_time: Some(predicted.scaled(request.due - request.start_by)),
            preempting: false,
            predicted: Some(predicted),
        };
        self.held.insert(request.id, held);
        out.push(PlaceAction::Grant { id: request.id, endpoint: name });
    }
}

/// Adds up numbers that endpoints state.
fn sum(numbers: impl Iterator<Item = u32>) -> u32 {
    numbers.fold(0, u32::saturating_add)
}
