//! Routing to the endpoint with the fewest outstanding requests.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::Rng;
use rand::rngs::StdRng;

use super::endpoints::BaselineEndpoints;
use crate::Class;
use crate::Cost;
use crate::EndpointKey;
use crate::RoutePolicy;
use crate::RouteRequest;

/// A routing policy that picks the endpoint with the fewest outstanding requests of this router, at
/// random in case of a tie.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    endpoints: BaselineEndpoints,
}

impl LeastOutstanding {
    /// Creates a policy without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl RoutePolicy for LeastOutstanding {
    fn add(&mut self, models: &[Name], _data_centre: &Name) -> EndpointKey {
        self.endpoints.add(models)
    }

    fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
    }

    fn set_available(&mut self, key: EndpointKey, available: bool) {
        self.endpoints.set_available(key, available);
    }

    fn pick(
        &mut self,
        _now: Timestamp,
        request: &RouteRequest,
        rng: &mut StdRng,
    ) -> Option<EndpointKey> {
        let least = self.endpoints.candidates(request).map(|(_, outstanding)| outstanding).min()?;
        let least_loaded = || self.endpoints.candidates(request).filter(|(_, n)| *n == least);
        let index = rng.random_range(0..least_loaded().count());
        least_loaded().nth(index).map(|(key, _)| key)
    }

    fn record_sent(&mut self, _now: Timestamp, key: EndpointKey, _class: Class, _cost: Cost) {
        self.endpoints.record_sent(key);
    }

    fn record_first_token(&mut self, _now: Timestamp, _key: EndpointKey, _took: Duration) {}

    fn record_token_gap(&mut self, _now: Timestamp, _key: EndpointKey, _gap: Duration) {}

    fn record_finished(&mut self, _now: Timestamp, key: EndpointKey, _: Class, _: Cost, _ok: bool) {
        self.endpoints.record_finished(key);
    }

    fn record_load_report(&mut self, _now: Timestamp, _key: EndpointKey, _: u32, _: u32, _: u32) {}

    fn record_suspect_sent(&mut self, key: EndpointKey) {
        self.endpoints.record_suspect_sent(key);
    }

    fn record_suspect_finished(&mut self, key: EndpointKey) {
        self.endpoints.record_suspect_finished(key);
    }
}
