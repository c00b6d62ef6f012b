//! The dispatcher.

use std::collections::HashMap;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::DispatcherConfig;
use super::EndpointPlaces;
use super::PlaceAction;
use super::PlaceAsk;
use super::PlaceEnd;
use super::PlaceId;
use super::service::ServicePlaces;
use crate::Class;

/// Gives the places of endpoints to requests.
///
/// It answers the load of short online streams whose rate jumps within seconds, beside long batch
/// streams that can be cut off and resumed: batch work fills what online requests leave, and gives
/// its places back one by one as they arrive. An online request that would miss its objective is
/// refused when it arrives, so that its caller can return in time.
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
/// use dogwoodtray_policy::PlaceAsk;
/// use dogwoodtray_policy::PlaceId;
///
/// let service = Name::from("kegtalk");
/// let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
/// let endpoint = EndpointPlaces { name: Name::from("e1"), service: service.clone(), slots: 1 };
/// dispatcher.set_endpoints(&[endpoint]);
///
/// let now = Timestamp::ZERO;
/// let id = PlaceId { holder: 1, ask: 1 };
/// let start_by = now + Duration::from_millis(200);
/// let class = Class::Online;
/// let ask = PlaceAsk { id, service, class, start_by, due: start_by, excluded: Vec::new() };
/// let mut out = Vec::new();
/// dispatcher.ask(now, ask, &mut out);
/// assert_eq!(out, [PlaceAction::Grant { id, endpoint: Name::from("e1") }]);
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    services: HashMap<Name, ServicePlaces>,
    service_of: HashMap<PlaceId, Name>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    #[must_use]
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self { cfg, services: HashMap::new(), service_of: HashMap::new() }
    }

    /// Replaces the list of endpoints that take requests.
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
            self.service(service).set_endpoints(&list);
        }
        self.services.retain(|_, places| !places.is_unused());
    }

    /// Takes an ask for a place.
    pub fn ask(&mut self, now: Timestamp, ask: PlaceAsk, out: &mut Vec<PlaceAction>) {
        let before = out.len();
        let id = ask.id;
        let service = Name::clone(&ask.service);
        let cfg = self.cfg;
        self.service_of.insert(id, Name::clone(&service));
        self.service(&service).ask(now, ask, &cfg, out);
        let refused =
            |action: &PlaceAction| matches!(action, PlaceAction::Refuse { id: r, .. } if *r == id);
        if out[before..].iter().any(refused) {
            self.service_of.remove(&id);
        }
    }

    /// Notes a place that another dispatcher gave.
    pub fn hold(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        service: &Name,
        endpoint: &str,
        class: Class,
    ) {
        self.service_of.insert(id, Name::clone(service));
        self.service(service).hold(now, id, endpoint, class);
    }

    /// Ends an ask, whether it waits or holds a place. Returns `false` if it is not known.
    pub fn end(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        end: PlaceEnd,
        out: &mut Vec<PlaceAction>,
    ) -> bool {
        let Some(service) = self.service_of.remove(&id) else { return false };
        let cfg = &self.cfg;
        let Some(places) = self.services.get_mut(&service) else { return false };
        places.end(now, id, end, cfg, out)
    }

    /// Drops all asks and places of a process that is gone.
    pub fn drop_holder(&mut self, now: Timestamp, holder: u64, out: &mut Vec<PlaceAction>) {
        self.service_of.retain(|id, _| id.holder != holder);
        for places in self.services.values_mut() {
            places.drop_holder(now, holder, &self.cfg, out);
        }
    }

    /// Notes that a request waits inside its endpoint: something that this dispatcher does not
    /// know of runs there, such as the requests of a VM that was lost.
    pub fn on_slow(&mut self, now: Timestamp, id: PlaceId) {
        let Some(service) = self.service_of.get(&id) else { return };
        if let Some(places) = self.services.get_mut(service) {
            places.on_slow(now, id, &self.cfg);
        }
    }

    /// Notes that an endpoint could not be reached.
    pub fn on_failure(&mut self, now: Timestamp, service: &str, endpoint: &str) {
        if let Some(places) = self.services.get_mut(service) {
            places.on_failure(now, endpoint, &self.cfg);
        }
    }

    /// Handles the passing of time: endpoints that were avoided are tried again.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<PlaceAction>) {
        for places in self.services.values_mut().filter(|places| places.is_waiting()) {
            places.fill(now, &self.cfg, out);
        }
    }

    /// Tells whether any ask waits, so that the passing of time matters.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.services.values().any(ServicePlaces::is_waiting)
    }

    /// Returns the places held, the online requests that wait and all places of a service.
    #[must_use]
    pub fn load(&self, service: &str) -> (usize, usize, u32) {
        self.services
            .get(service)
            .map_or((0, 0, 0), |places| (places.held(), places.queued(), places.slots()))
    }

    fn service(&mut self, service: &Name) -> &mut ServicePlaces {
        if !self.services.contains_key(service) {
            self.services.insert(Name::clone(service), ServicePlaces::new(&self.cfg));
        }
        self.services.get_mut(service).unwrap_or_else(|| unreachable!("inserted above"))
    }
}
