//! Endpoint state of the baseline routing policies.

use dogwoodtray_coord::Name;
use slotmap::SlotMap;

use crate::EndpointKey;
use crate::RouteRequest;

/// State of one endpoint.
#[derive(Debug)]
struct BaselineEndpoint {
    models: Vec<Name>,
    available: bool,
    outstanding: u32,
    suspects: u32,
}

/// Endpoints with their availability and counts of outstanding and suspect work.
#[derive(Debug, Default)]
pub(super) struct BaselineEndpoints {
    endpoints: SlotMap<EndpointKey, BaselineEndpoint>,
}

impl BaselineEndpoints {
    pub(super) fn add(&mut self, models: &[Name]) -> EndpointKey {
        let models = models.to_vec();
        let endpoint = BaselineEndpoint { models, available: true, outstanding: 0, suspects: 0 };
        self.endpoints.insert(endpoint)
    }

    pub(super) fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
    }

    pub(super) fn set_available(&mut self, key: EndpointKey, available: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.available = available;
        }
    }

    pub(super) fn record_sent(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.outstanding += 1;
        }
    }

    pub(super) fn record_finished(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    pub(super) fn record_suspect_sent(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspects += 1;
        }
    }

    pub(super) fn record_suspect_finished(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspects = endpoint.suspects.saturating_sub(1);
        }
    }

    /// Returns the endpoints that a request may be sent to, with their outstanding requests.
    pub(super) fn candidates(
        &self,
        request: &RouteRequest,
    ) -> impl Iterator<Item = (EndpointKey, u32)> {
        let allowed = |(key, endpoint): &(EndpointKey, &BaselineEndpoint)| {
            endpoint.available
                && endpoint.models.contains(&request.model)
                && !request.exclude.contains(key)
                && !(request.suspect && endpoint.suspects > 0)
        };
        self.endpoints.iter().filter(allowed).map(|(key, endpoint)| (key, endpoint.outstanding))
    }
}
