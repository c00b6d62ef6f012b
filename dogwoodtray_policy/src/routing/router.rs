//! Router that uses its own observations of the endpoints.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::Rng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

use super::EndpointKey;
use super::RoutePolicy;
use super::RouteRequest;
use super::RouterConfig;
use super::affinity;
use super::endpoint::Endpoint;
use crate::Class;
use crate::Cost;

/// Lower bound of the median time per token. With a median of zero, the slowness of an endpoint
/// would hide its load.
const MIN_GAP_SECONDS: f64 = 1e-4;

/// An endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: EndpointKey,
    load: f64,
    /// Time per token as a multiple of the median over the endpoints of the model.
    slowness: f64,
}

impl Candidate {
    /// Returns the relative expected time of one more request.
    fn expected_time(&self) -> f64 {
        (self.load + 1.0) * self.slowness
    }
}

/// A routing policy that picks the less loaded of two random endpoints.
///
/// It prefers the endpoint that a shared prefix maps to, excludes slow endpoints while others are
/// available, and probes slow endpoints from time to time.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_coord::{Name, Timestamp};
/// use dogwoodtray_policy::{Cost, RoutePolicy, RouteRequest, Router, RouterConfig};
/// use rand::SeedableRng;
/// use rand::rngs::StdRng;
///
/// let mut router = Router::new(RouterConfig::default());
/// let model: Name = Arc::from("m");
/// let key = router.add(&[model.clone()], &Arc::from("dc-1"));
/// let request = RouteRequest::new(model, Cost { prompt_tokens: 10, output_tokens: 10 });
/// let mut rng = StdRng::seed_from_u64(1);
/// assert_eq!(router.pick(Timestamp::ZERO, &request, &mut rng), Some(key));
/// router.set_available(key, false);
/// assert_eq!(router.pick(Timestamp::ZERO, &request, &mut rng), None);
/// ```
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Buffer that is reused between picks.
    candidates: Vec<Candidate>,
    /// Buffer that is reused between computations of the median.
    gaps: Vec<f64>,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(cfg: RouterConfig) -> Self {
        Self { cfg, endpoints: SlotMap::with_key(), candidates: Vec::new(), gaps: Vec::new() }
    }

    /// Returns the median time per token of the available endpoints for a model.
    fn median_gap(&mut self, model: &Name) -> Option<f64> {
        self.gaps.clear();
        let peers = self.endpoints.values().filter(|e| e.available && e.serves(model));
        self.gaps.extend(peers.filter_map(Endpoint::mean_gap));
        median(&mut self.gaps).map(|median| median.max(MIN_GAP_SECONDS))
    }

    /// Collects the endpoints that a request may be sent to.
    fn collect_candidates(&mut self, now: Timestamp, request: &RouteRequest) {
        let median = self.median_gap(&request.model);
        self.candidates.clear();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.available
                || !endpoint.serves(&request.model)
                || request.exclude.contains(&key)
            {
                continue;
            }
            if request.suspect && endpoint.suspects > 0 {
                continue;
            }
            let slowness =
                endpoint.mean_gap().zip(median).map_or(1.0, |(gap, median)| gap / median);
            self.candidates.push(Candidate { key, load: endpoint.load(now), slowness });
        }
    }

    /// Returns a slow candidate that was not observed for `interval`, and records the probe.
    fn take_due_probe(&mut self, now: Timestamp, interval: Duration) -> Option<EndpointKey> {
        for candidate in &self.candidates {
            let endpoint = &mut self.endpoints[candidate.key];
            if candidate.slowness >= self.cfg.slow_ratio
                && endpoint.time_unobserved(now) >= interval
            {
                endpoint.last_probe = now;
                return Some(candidate.key);
            }
        }
        None
    }

    /// Removes the slow candidates, unless all candidates are slow.
    fn remove_slow(&mut self) {
        let slow_ratio = self.cfg.slow_ratio;
        if self.candidates.iter().any(|c| c.slowness < slow_ratio) {
            self.candidates.retain(|c| c.slowness < slow_ratio);
        }
    }

    /// Returns the endpoint that the prefix maps to, unless its load exceeds the bound.
    fn affinity_endpoint(&self, prefix: u64) -> Option<EndpointKey> {
        if !self.cfg.affinity || prefix == 0 {
            return None;
        }
        let total: f64 = self.candidates.iter().map(|c| c.load).sum();
        let mean = (total + 1.0) / self.candidates.len() as f64;
        let best = self.candidates.iter().max_by_key(|c| affinity::rank(prefix, c.key))?;
        (best.load + 1.0 <= (mean * self.cfg.affinity_load_bound).ceil()).then_some(best.key)
    }

    /// Returns the better of two random candidates.
    fn pick_of_two(&self, rng: &mut StdRng) -> Option<EndpointKey> {
        let count = self.candidates.len();
        if count <= 1 {
            return self.candidates.first().map(|c| c.key);
        }
        let first = rng.random_range(0..count);
        let second = (first + rng.random_range(1..count)) % count;
        let (first, second) = (self.candidates[first], self.candidates[second]);
        Some(if second.expected_time() < first.expected_time() { second.key } else { first.key })
    }
}

/// Returns the median of the values and reorders them.
fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

impl RoutePolicy for Router {
    fn add(&mut self, models: &[Name], _data_centre: &Name) -> EndpointKey {
        self.endpoints.insert(Endpoint::new(models))
    }

    fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
    }

    fn set_available(&mut self, key: EndpointKey, available: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.available = available;
        }
    }

    fn pick(
        &mut self,
        now: Timestamp,
        request: &RouteRequest,
        rng: &mut StdRng,
    ) -> Option<EndpointKey> {
        self.collect_candidates(now, request);
        let interval = match request.class {
            Class::Online => self.cfg.online_probe_interval,
            Class::Batch => self.cfg.probe_interval,
        };
        if let Some(key) = self.take_due_probe(now, interval) {
            return Some(key);
        }
        self.remove_slow();
        self.affinity_endpoint(request.prefix).or_else(|| self.pick_of_two(rng))
    }

    fn record_sent(&mut self, _now: Timestamp, key: EndpointKey, class: Class, _cost: Cost) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_sent(class);
        }
    }

    fn record_first_token(&mut self, _now: Timestamp, _key: EndpointKey, _took: Duration) {}

    fn record_token_gap(&mut self, now: Timestamp, key: EndpointKey, gap: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_token_gap(now, gap);
        }
    }

    fn record_finished(
        &mut self,
        _now: Timestamp,
        key: EndpointKey,
        class: Class,
        _: Cost,
        _ok: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_finished(class);
        }
    }

    fn record_load_report(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        free_online: u32,
        _free_batch: u32,
        queued_online: u32,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_report(now, free_online, queued_online);
        }
    }

    fn due_probe(&mut self, now: Timestamp, request: &RouteRequest) -> Option<EndpointKey> {
        self.collect_candidates(now, request);
        self.take_due_probe(now, self.cfg.probe_interval)
    }

    fn is_slow(&mut self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else { return false };
        let Some(gap) = endpoint.mean_gap() else { return false };
        let Some(model) = endpoint.models.first().cloned() else { return false };
        self.median_gap(&model).is_some_and(|median| gap / median >= self.cfg.slow_ratio)
    }

    fn record_suspect_sent(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspects += 1;
        }
    }

    fn record_suspect_finished(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspects = endpoint.suspects.saturating_sub(1);
        }
    }
}
