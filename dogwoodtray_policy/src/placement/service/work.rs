//! Predicted work of requests, and what is learned when they release their places.

use std::cell::Cell;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::EndpointKey;
use super::HeldRequest;
use super::ServicePlaces;
use super::pick::run_time_at;
use super::pick::seconds;
use crate::Class;
use crate::placement::LearnedService;
use crate::placement::LearnedSpeed;
use crate::placement::PlaceId;
use crate::placement::PlaceOutcome;
use crate::placement::PlaceRequest;
use crate::placement::PlacementMetrics;
use crate::placement::cost::CostFeatures;
use crate::placement::endpoint::Endpoint;

/// Interval at which the speeds of idle endpoints are renewed.
const SPEED_RENEWAL: Duration = Duration::from_millis(250);

/// Time for which an estimate of the hold time is used; it grows with the held places.
const HOLD_ESTIMATE_TIME: Duration = Duration::from_millis(20);

/// Shortest hold time that a speed is learned from; the clock and the links add about 1 ms.
const MIN_OBSERVED: Duration = Duration::from_millis(5);

/// Prediction of a run that holds a place.
#[derive(Debug)]
pub(super) struct PredictedRun {
    features: CostFeatures,
    /// Seconds at an endpoint of usual speed.
    work: f64,
    /// Lasting speed of the endpoint, and the share of its places in use, when the place was granted.
    speed: f64,
    occupancy: f64,
    /// Whether the run tells about the speed of the endpoint.
    is_comparable: bool,
    /// Expected end in seconds.
    ends_at: f64,
}

impl PredictedRun {
    /// Returns a run time at the endpoint of this run.
    pub(super) fn scaled(&self, usual: Duration) -> Duration {
        run_time_at(self.speed, usual)
    }
}

impl HeldRequest {
    /// Returns the speed of the endpoint; 1 is usual.
    pub(super) fn speed(&self) -> f64 {
        self.predicted.as_ref().map_or(1.0, |predicted| predicted.speed)
    }
}

/// Estimate of the time that online requests hold their places, and when it was made.
#[derive(Debug, Default)]
pub(super) struct HoldEstimate(Cell<Option<(Timestamp, Duration)>>);

/// # Predicted work
impl ServicePlaces {
    /// Returns the time that a request is expected to hold a place at an endpoint of usual speed.
    pub(super) fn predicted_work(&self, request: &PlaceRequest) -> Duration {
        Duration::from_secs_f64(self.costs.predict(&CostFeatures::of(request)))
    }

    /// Returns the mean time for which the online requests that hold places now will have held them.
    /// Without enough observations, this is the moving average of the answered ones.
    pub(super) fn expected_hold_time(&self, now: Timestamp) -> Duration {
        if !self.by_cost || !self.costs.is_reliable() {
            return self.mean_hold_time;
        }
        if let Some((at, estimate)) = self.hold_estimate.0.get()
            && now - at < HOLD_ESTIMATE_TIME
        {
            return estimate;
        }
        // Places become free at the sum of the reciprocal hold times.
        let (mut count, mut rate) = (0.0, 0.0);
        for held in self.held.values().filter(|held| held.class == Class::Online) {
            let Some(predicted) = &held.predicted else { continue };
            let held_for = (now - held.granted_at).as_secs_f64();
            let left = self.costs.remaining(predicted.work, held_for * predicted.speed);
            count += 1.0;
            rate += 1.0 / (held_for + left / predicted.speed);
        }
        let estimate =
            if rate > 0.0 { Duration::from_secs_f64(count / rate) } else { self.mean_hold_time };
        self.hold_estimate.0.set(Some((now, estimate)));
        estimate
    }

    /// Records that a run starts at an endpoint.
    pub(super) fn start_predicted_run(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        key: EndpointKey,
    ) -> PredictedRun {
        let features = CostFeatures::of(request);
        let work = self.costs.predict(&features);
        let is_comparable = self.costs.knows_route(&features);
        let endpoint = &mut self.endpoints[key];
        let speed = if self.by_cost { endpoint.speed.lasting() } else { 1.0 };
        let occupancy = f64::from(endpoint.in_use + 1) / f64::from(endpoint.slots.max(1));
        let ends_at = seconds(now) + work / speed;
        endpoint.predicted_runs += 1;
        endpoint.predicted_ends += ends_at;
        PredictedRun { features, work, speed, occupancy, is_comparable, ends_at }
    }

    /// Records that a run released its place, and learns from it if it was answered.
    pub(super) fn end_predicted_run(
        &mut self,
        now: Timestamp,
        held: &HeldRequest,
        outcome: PlaceOutcome,
    ) {
        let Some(predicted) = &held.predicted else { return };
        let endpoint = held.endpoint.and_then(|key| self.endpoints.get_mut(key));
        let mut speed = predicted.speed;
        let observed = now - held.granted_at;
        let is_evidence = outcome == PlaceOutcome::Answered && observed >= MIN_OBSERVED;
        if let Some(endpoint) = endpoint {
            endpoint.predicted_runs = endpoint.predicted_runs.saturating_sub(1);
            endpoint.predicted_ends -= predicted.ends_at;
            if endpoint.predicted_runs == 0 {
                // Differences of rounding do not add up.
                endpoint.predicted_ends = 0.0;
            }
            if is_evidence && predicted.is_comparable {
                let was_uneven = endpoint.speed.is_uneven();
                let ratio = observed.as_secs_f64() / predicted.work;
                endpoint.speed.observe(now, ratio, predicted.occupancy, &mut self.speed);
                if was_uneven != endpoint.speed.is_uneven() {
                    self.uneven_endpoints = if was_uneven {
                        self.uneven_endpoints.saturating_sub(1)
                    } else {
                        self.uneven_endpoints + 1
                    };
                }
                // The speed is known better than when the run started.
                speed = endpoint.speed.lasting();
            }
        }
        if is_evidence {
            let work = observed.as_secs_f64() * speed;
            self.costs.observe(now, &predicted.features, predicted.work, work);
        }
    }
}

/// # Speeds
impl ServicePlaces {
    /// Reduces the deviations of idle endpoints at intervals.
    pub(super) fn renew_speeds(&mut self, now: Timestamp) {
        let elapsed = now - self.speeds_renewed_at;
        if elapsed < SPEED_RENEWAL {
            return;
        }
        self.speeds_renewed_at = now;
        if self.uneven_endpoints == 0 {
            return;
        }
        for endpoint in self.endpoints.values_mut().filter(|e| e.speed.is_uneven()) {
            endpoint.speed.fade(now, elapsed);
        }
        self.count_uneven_endpoints();
    }

    pub(super) fn count_uneven_endpoints(&mut self) {
        self.uneven_endpoints = self.endpoints.values().filter(|e| e.speed.is_uneven()).count();
    }

    /// Returns the mean lasting speed of the free places.
    pub(super) fn mean_free_speed(&self, now: Timestamp) -> f64 {
        if !self.by_cost || self.uneven_endpoints == 0 {
            return 1.0;
        }
        let free = |e: &Endpoint| f64::from(e.free_places(now));
        let count: f64 = self.endpoints.values().map(free).sum();
        let speeds: f64 = self.endpoints.values().map(|e| free(e) * e.speed.lasting()).sum();
        if count > 0.0 { speeds / count } else { 1.0 }
    }

    /// Records that the events of a stream are later than usual.
    pub(in crate::placement) fn record_slow_stream(&mut self, now: Timestamp, id: PlaceId) {
        let key = self.held.get(&id).and_then(|held| held.endpoint);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) {
            endpoint.speed.record_slow_stream(now);
            self.slow_until = self.slow_until.max(endpoint.speed.slow_until());
        }
    }

    /// Returns what was learned, with at most this many routes and speeds.
    pub(in crate::placement) fn learned(
        &self,
        service: &Name,
        max_routes: usize,
        max_speeds: usize,
    ) -> LearnedService {
        let uneven = self.endpoints.values().filter(|e| e.speed.is_uneven());
        let mut speeds: Vec<_> = uneven
            .map(|e| LearnedSpeed { endpoint: Name::clone(&e.name), speed: e.speed.lasting() })
            .collect();
        // The ones that differ most matter most.
        let difference = |learned: &LearnedSpeed| learned.speed.ln().abs();
        speeds.sort_by(|a, b| {
            difference(b).total_cmp(&difference(a)).then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        speeds.truncate(max_speeds);
        let routes = self.costs.learned_routes(max_routes);
        LearnedService { service: Name::clone(service), speeds, routes }
    }

    /// Takes over what another dispatcher learned.
    pub(in crate::placement) fn apply_learned(&mut self, now: Timestamp, learned: &LearnedService) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.speed.reset();
        }
        for speed in &learned.speeds {
            if let Some(key) = self.by_name.get(&speed.endpoint) {
                self.endpoints[*key].speed.adopt(now, speed.speed);
            }
        }
        self.costs.apply_learned(now, &learned.routes);
        self.count_uneven_endpoints();
    }

    /// Adds the metrics of this service.
    pub(in crate::placement) fn add_metrics(&self, now: Timestamp, metrics: &mut PlacementMetrics) {
        let is_slow = |e: &&Endpoint| e.speed.lasting() < 1.0 || e.speed.is_briefly_slow(now);
        metrics.slow_endpoints += self.endpoints.values().filter(is_slow).count();
        metrics.add_error(self.costs.samples(), self.costs.error());
    }
}
