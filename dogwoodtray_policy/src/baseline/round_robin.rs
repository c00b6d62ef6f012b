//! Round-robin routing.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::rngs::StdRng;

use super::endpoints::BaselineEndpoints;
use crate::Class;
use crate::Cost;
use crate::EndpointKey;
use crate::RoutePolicy;
use crate::RouteRequest;

/// A routing policy that picks the endpoints in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    endpoints: BaselineEndpoints,
    pick_count: usize,
}

impl RoundRobin {
    /// Creates a policy without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl RoutePolicy for RoundRobin {
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
        _rng: &mut StdRng,
    ) -> Option<EndpointKey> {
        let count = self.endpoints.candidates(request).count();
        if count == 0 {
            return None;
        }
        self.pick_count = self.pick_count.wrapping_add(1);
        self.endpoints.candidates(request).nth(self.pick_count % count).map(|(key, _)| key)
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
