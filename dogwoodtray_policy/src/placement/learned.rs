//! What a dispatcher has learned, as it is passed on to others.

use dogwoodtray_coord::Name;

use super::cost::LearnedRoute;

/// Speed of an endpoint in comparison with the usual one of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedSpeed {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// 1 is usual, more is faster.
    pub speed: f64,
}

/// What was learned about a service.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedService {
    /// Name of the service.
    pub service: Name,
    /// Endpoints whose speed is not the usual one.
    pub speeds: Vec<LearnedSpeed>,
    /// Mean work of the requests of routes.
    pub routes: Vec<LearnedRoute>,
}

/// Metrics of predictions and speeds over all services.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementMetrics {
    /// Mean relative error of predictions, weighted by the answered requests of the services.
    pub prediction_error: f64,
    /// Endpoints that are regarded as slower than usual.
    pub slow_endpoints: usize,
    samples: u64,
}

impl PlacementMetrics {
    pub(super) fn add_error(&mut self, samples: u64, error: f64) {
        self.samples += samples;
        if self.samples > 0 {
            let weight = samples as f64 / self.samples as f64;
            self.prediction_error += (error - self.prediction_error) * weight;
        }
    }
}
