//! Dispatcher that assigns endpoint places to requests.

use std::collections::HashMap;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::DispatcherConfig;
use super::EndpointPlaces;
use super::LearnedService;
use super::PlaceAction;
use super::PlaceId;
use super::PlaceOutcome;
use super::PlaceRequest;
use super::PlacementMetrics;
use super::served::worst_tenth;
use super::service::ServicePlaces;
use crate::Class;

/// Maximum number of services, routes and speeds that are passed on to other dispatchers; about 40 kB.
const MAX_LEARNED_SERVICES: usize = 64;
const MAX_LEARNED_ROUTES: usize = 256;
const MAX_LEARNED_SPEEDS: usize = 1_024;

/// Assigns the places of endpoints to requests.
///
/// Online streams are short and their rate can jump within seconds; batch streams are long but can
/// be cancelled and resumed. Batch work therefore uses the places that online requests leave free
/// and is preempted one place at a time as online requests arrive. An online request that would
/// miss its latency objective is refused on arrival, so that its caller can retry in time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodtray_coord::Name;
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::Class;
/// use dogwoodtray_policy::Dispatcher;
/// use dogwoodtray_policy::DispatcherConfig;
/// use dogwoodtray_policy::EndpointPlaces;
/// use dogwoodtray_policy::PlaceAction;
/// use dogwoodtray_policy::PlaceCost;
/// use dogwoodtray_policy::PlaceRequest;
/// use dogwoodtray_policy::PlaceId;
///
/// let service = Name::from("kegtalk");
/// let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
/// let endpoint = EndpointPlaces { name: Name::from("e1"), service: service.clone(), slots: 1 };
/// dispatcher.set_endpoints(&[endpoint]);
///
/// let now = Timestamp::ZERO;
/// let id = PlaceId { holder: 1, number: 1 };
/// let start_by = now + Duration::from_millis(200);
/// let request = PlaceRequest {
///     id,
///     service,
///     class: Class::Online,
///     start_by,
///     due: start_by,
///     repeatable: false,
///     excluded: vec![],
///     organization: None,
///     priority: 0,
///     cost: PlaceCost::default(),
/// };
/// let mut out = Vec::new();
/// dispatcher.request_place(now, request, &mut out);
/// assert_eq!(out, [PlaceAction::Grant { id, endpoint: Name::from("e1") }]);
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    services: HashMap<Name, ServicePlaces>,
    service_by_id: HashMap<PlaceId, Name>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    #[must_use]
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self { cfg, services: HashMap::new(), service_by_id: HashMap::new() }
    }

    /// Replaces the list of endpoints that accept requests.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointPlaces]) {
        let mut by_service: HashMap<&Name, Vec<&EndpointPlaces>> = HashMap::new();
        for endpoint in endpoints {
            by_service.entry(&endpoint.service).or_default().push(endpoint);
        }
        for (service, places) in &mut self.services {
            if !by_service.contains_key(service) {
                places.set_endpoints(&[]);
            }
        }
        for (service, list) in by_service {
            self.service_places(service).set_endpoints(&list);
        }
        self.services.retain(|_, places| !places.is_unused());
    }

    /// Requests a place: grants, queues or refuses it.
    pub fn request_place(
        &mut self,
        now: Timestamp,
        request: PlaceRequest,
        out: &mut Vec<PlaceAction>,
    ) {
        let before = out.len();
        let id = request.id;
        let service = Name::clone(&request.service);
        let cfg = self.cfg;
        self.service_by_id.insert(id, Name::clone(&service));
        self.service_places(&service).request_place(now, request, &cfg, out);
        // A queued request may be displaced by this one.
        for action in &out[before..] {
            if let PlaceAction::Refuse { id, .. } = action {
                self.service_by_id.remove(id);
            }
        }
    }

    /// Records a place that another dispatcher granted.
    pub fn record_granted_place(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        service: &Name,
        endpoint: &str,
        class: Class,
    ) {
        self.service_by_id.insert(id, Name::clone(service));
        self.service_places(service).record_granted_place(now, id, endpoint, class);
    }

    /// Removes a queued request or releases its place. Returns `false` if the id is unknown.
    pub fn release_place(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        outcome: PlaceOutcome,
        out: &mut Vec<PlaceAction>,
    ) -> bool {
        let Some(service) = self.service_by_id.remove(&id) else { return false };
        let cfg = &self.cfg;
        let Some(places) = self.services.get_mut(&service) else { return false };
        places.release_place(now, id, outcome, cfg, out)
    }

    /// Removes all queued requests and places of a process that has terminated.
    pub fn remove_holder(&mut self, now: Timestamp, holder: u64, out: &mut Vec<PlaceAction>) {
        self.service_by_id.retain(|id, _| id.holder != holder);
        for places in self.services.values_mut() {
            places.remove_holder(now, holder, &self.cfg, out);
        }
    }

    /// Records that a request is queued inside its endpoint. The endpoint then runs work that this
    /// dispatcher does not track, such as requests of a VM that was lost.
    pub fn record_internal_queue(&mut self, now: Timestamp, id: PlaceId) {
        let Some(service) = self.service_by_id.get(&id) else { return };
        if let Some(places) = self.services.get_mut(service) {
            places.record_internal_queue(now, id, &self.cfg);
        }
    }

    /// Records that the events of a stream that holds a place come later than usual. Its endpoint is
    /// used less for a moment, but is not excluded.
    pub fn record_slow_stream(&mut self, now: Timestamp, id: PlaceId) {
        let Some(service) = self.service_by_id.get(&id) else { return };
        if let Some(places) = self.services.get_mut(service) {
            places.record_slow_stream(now, id);
        }
    }

    /// Returns what was learned about speeds and costs, bounded in size.
    #[must_use]
    pub fn learned(&self) -> Vec<LearnedService> {
        let mut names: Vec<&Name> = self.services.keys().collect();
        names.sort();
        names.truncate(MAX_LEARNED_SERVICES);
        let share = names.len().max(1);
        let (routes, speeds) = (MAX_LEARNED_ROUTES / share, MAX_LEARNED_SPEEDS / share);
        let learned = names.iter().map(|name| self.services[*name].learned(name, routes, speeds));
        learned.filter(|service| !service.speeds.is_empty() || !service.routes.is_empty()).collect()
    }

    /// Takes over what the dispatcher that assigns places has learned.
    pub fn apply_learned(&mut self, now: Timestamp, learned: &[LearnedService]) {
        for service in learned {
            // A service without endpoints has nothing to apply it to.
            if let Some(places) = self.services.get_mut(&service.service) {
                places.apply_learned(now, service);
            }
        }
    }

    /// Returns the metrics of predictions and speeds.
    #[must_use]
    pub fn metrics(&self, now: Timestamp) -> PlacementMetrics {
        let mut metrics = PlacementMetrics::default();
        self.services.values().for_each(|places| places.add_metrics(now, &mut metrics));
        metrics
    }

    /// Records that an endpoint was unreachable.
    pub fn on_failure(&mut self, now: Timestamp, service: &str, endpoint: &str) {
        if let Some(places) = self.services.get_mut(service) {
            places.on_failure(now, endpoint, &self.cfg);
        }
    }

    /// Assigns places at endpoints whose backoff has elapsed.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<PlaceAction>) {
        for places in self.services.values_mut().filter(|places| places.has_queued()) {
            places.assign_places(now, &self.cfg, out);
        }
    }

    /// Returns `true` if any request is queued, so that [`tick`](Self::tick) has to be called.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        self.services.values().any(ServicePlaces::has_queued)
    }

    /// Returns the held places, the queued online requests and the total places of a service.
    #[must_use]
    pub fn load(&self, service: &str) -> (usize, usize, u32) {
        self.services.get(service).map_or((0, 0, 0), |places| {
            (places.held_places(), places.queued_online(), places.total_slots())
        })
    }

    /// Returns the share of the online requests that got a place lately, of the organization that is
    /// worse served than nine tenths of them. Returns `None` without organizations.
    #[must_use]
    pub fn worst_tenth_served(&self, now: Timestamp) -> Option<f64> {
        worst_tenth(self.services.values().flat_map(|places| places.served_shares(now)).collect())
    }

    fn service_places(&mut self, service: &Name) -> &mut ServicePlaces {
        if !self.services.contains_key(service) {
            self.services.insert(Name::clone(service), ServicePlaces::new(&self.cfg));
        }
        self.services.get_mut(service).unwrap_or_else(|| unreachable!("inserted above"))
    }
}
