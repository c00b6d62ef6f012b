//! Predicted work of requests, in seconds at an endpoint of usual speed.

mod average;
mod outlived;
mod slope;

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

pub(super) use self::average::Average;
use self::outlived::OutlivedRuns;
pub(super) use self::slope::Slope;
use super::PlaceRequest;
use crate::Class;

/// Bounds of a prediction. Callers state lengths, which may be any number.
const MIN_WORK: f64 = 0.001;
const MAX_WORK: f64 = 7.0 * 24.0 * 3_600.0;

/// Maximum factor by which one observation may differ from its prediction.
const MAX_SURPRISE: f64 = 20.0;

/// Samples of the service that count as much as one of the route, the organization or the prompt
/// part: a mean of a few samples is uncertain by about its own size.
const ROUTE_SHRINKAGE: f64 = 2.0;
const REFINEMENT_SHRINKAGE: f64 = 8.0;

/// Exponent of a stated length before the first observation: the median statement is right, but many
/// are far off.
const INITIAL_STATEMENT_TRUST: f64 = 0.5;

/// Maximum number of routes, and of organizations and prompt parts, that have entries.
const MAX_ROUTES: usize = 256;
const MAX_REFINEMENTS: usize = 1_024;

/// Number of observations from which predictions replace the mean of the service.
const MIN_SAMPLES: u64 = 20;

/// Samples of a route from which its requests tell about the speed of endpoints.
const COMPARABLE_SAMPLES: f64 = 10.0;

/// Weight of a new observation in the moving average of the prediction error.
const ERROR_WEIGHT: f64 = 0.02;

/// What a request says about its cost.
#[derive(Clone, Debug)]
pub(super) struct CostFeatures {
    class: Class,
    route: u32,
    prefix: u32,
    organization: Option<Name>,
    expected_tokens: u32,
    prompt_tokens: u32,
    /// Run time of a batch item as its driver expects it.
    stated: Duration,
}

impl CostFeatures {
    pub(super) fn of(request: &PlaceRequest) -> Self {
        let cost = &request.cost;
        let expected_tokens = match cost.max_output_tokens {
            0 => cost.expected_output_tokens,
            max => cost.expected_output_tokens.min(max),
        };
        Self {
            class: request.class,
            route: cost.route,
            prefix: cost.prefix,
            organization: request.organization.clone(),
            expected_tokens,
            prompt_tokens: cost.prompt_tokens,
            stated: request.due - request.start_by,
        }
    }

    const fn route_key(&self) -> RouteKey {
        RouteKey { class: self.class, route: self.route }
    }

    /// Returns the keys under which the organization and the prompt part are learned.
    fn refinements(&self) -> impl Iterator<Item = RefinementKey> {
        let route = self.route;
        let organization = self.organization.clone();
        let organization = organization.map(|name| RefinementKey::Organization(route, name));
        let prefix = (self.prefix != 0).then_some(RefinementKey::Prefix(route, self.prefix));
        organization.into_iter().chain(prefix)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RouteKey {
    class: Class,
    route: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RefinementKey {
    Organization(u32, Name),
    Prefix(u32, u32),
}

/// What was learned about a route.
#[derive(Debug)]
struct RouteCost {
    /// Mean work of its requests; for batch items, the mean ratio of the work to the stated run time.
    mean: Average,
    /// Dependence of the work on the stated output length, and on the prompt.
    by_expected: Slope,
    by_prompt: Slope,
}

impl Default for RouteCost {
    fn default() -> Self {
        Self {
            mean: Average::default(),
            by_expected: Slope::new(INITIAL_STATEMENT_TRUST),
            by_prompt: Slope::new(0.0),
        }
    }
}

/// Learned mean work of the online requests of a route, as it is passed on to other dispatchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedRoute {
    /// Hash of the route.
    pub route: u32,
    /// Mean work in seconds at an endpoint of usual speed.
    pub seconds: f64,
    /// Number of samples that the mean counts as.
    pub samples: f64,
}

/// Predicts the work of the requests of one service from the answered ones.
#[derive(Debug)]
pub(super) struct CostModel {
    initial: f64,
    /// Mean work of the online requests of the service.
    service: Average,
    routes: HashMap<RouteKey, RouteCost>,
    /// Ratios of the work of an organization's requests, or of those with a prompt part, to the
    /// prediction without it.
    refinements: HashMap<RefinementKey, Average>,
    outlived: OutlivedRuns,
    samples: u64,
    error: f64,
}

impl CostModel {
    pub(super) fn new(initial: Duration) -> Self {
        Self {
            initial: initial.as_secs_f64(),
            service: Average::default(),
            routes: HashMap::new(),
            refinements: HashMap::new(),
            outlived: OutlivedRuns::default(),
            samples: 0,
            error: 0.0,
        }
    }

    /// Returns the predicted work of a request in seconds.
    pub(super) fn predict(&self, features: &CostFeatures) -> f64 {
        let mut work = self.route_mean(features) * self.statement_factor(features);
        for key in features.refinements() {
            work *= self.refinement(&key);
        }
        bounded(work)
    }

    /// Returns `true` if there are enough samples of the route of a request to compare endpoints by it.
    /// Before, a ratio of observed to predicted work says more about the route.
    pub(super) fn knows_route(&self, features: &CostFeatures) -> bool {
        let route = self.routes.get(&features.route_key());
        route.is_some_and(|route| route.mean.samples() >= COMPARABLE_SAMPLES)
    }

    /// Returns the mean work of the requests of the route, or for a batch item its corrected statement.
    fn route_mean(&self, features: &CostFeatures) -> f64 {
        let route = self.routes.get(&features.route_key()).map(|route| &route.mean);
        match features.class {
            Class::Batch => {
                let factor = route.map_or(1.0, |mean| mean.shrunk_to(1.0, ROUTE_SHRINKAGE));
                features.stated.as_secs_f64() * factor.clamp(0.2, 5.0)
            }
            Class::Online => {
                let service = self.service.shrunk_to(self.initial, 1.0);
                route.map_or(service, |mean| mean.shrunk_to(service, ROUTE_SHRINKAGE))
            }
        }
    }

    /// Returns the factor by which the stated lengths change the mean of the route.
    fn statement_factor(&self, features: &CostFeatures) -> f64 {
        if features.class == Class::Batch {
            return 1.0;
        }
        self.routes.get(&features.route_key()).map_or(1.0, |route| {
            route.by_expected.factor(log_of(features.expected_tokens))
                * route.by_prompt.factor(log_of(features.prompt_tokens))
        })
    }

    fn refinement(&self, key: &RefinementKey) -> f64 {
        self.refinements.get(key).map_or(1.0, |ratio| ratio.shrunk_to(1.0, REFINEMENT_SHRINKAGE))
    }

    /// Records the work of an answered request, of which `predicted` was expected.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        features: &CostFeatures,
        predicted: f64,
        work: f64,
    ) {
        let predicted = bounded(predicted);
        let work = bounded(work.clamp(predicted / MAX_SURPRISE, predicted * MAX_SURPRISE));
        self.error += ERROR_WEIGHT * ((work / predicted - 1.0).abs() - self.error);
        self.outlived.observe(work / predicted);
        self.samples += 1;
        self.observe_refinements(now, features, work);
        let mean = bounded(self.route_mean(features));
        let key = features.route_key();
        make_room(&mut self.routes, &key, MAX_ROUTES, |route| route.mean.observed_at());
        let route = self.routes.entry(key).or_default();
        if features.class == Class::Batch {
            let stated = bounded(features.stated.as_secs_f64());
            return route.mean.observe(now, (work / stated).clamp(0.1, 10.0));
        }
        let (expected, prompt) = (log_of(features.expected_tokens), log_of(features.prompt_tokens));
        let surprise = (work / mean).ln();
        let by_expected = route.by_expected.factor(expected);
        route.by_expected.observe(expected, surprise);
        let by_prompt = route.by_prompt.factor(prompt);
        route.by_prompt.observe(prompt, surprise - by_expected.ln());
        let mean_work = work / (by_expected * by_prompt);
        route.mean.observe(now, mean_work);
        self.service.observe(now, mean_work);
    }

    fn observe_refinements(&mut self, now: Timestamp, features: &CostFeatures, work: f64) {
        let mut expected = bounded(self.route_mean(features) * self.statement_factor(features));
        for key in features.refinements() {
            let ratio = (work / expected).clamp(0.1, 10.0);
            expected = bounded(expected * self.refinement(&key));
            make_room(&mut self.refinements, &key, MAX_REFINEMENTS, Average::observed_at);
            self.refinements.entry(key).or_default().observe(now, ratio);
        }
    }

    /// Returns the expected remaining work of a run with this prediction that has done `done`, both
    /// in seconds.
    pub(super) fn remaining(&self, predicted: f64, done: f64) -> f64 {
        let predicted = bounded(predicted);
        bounded(predicted * self.outlived.remaining(done.max(0.0) / predicted))
    }

    /// Returns `true` if there are enough observations to predict waits.
    pub(super) const fn is_reliable(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the mean work of the online requests of the service in seconds.
    pub(super) fn mean_work(&self) -> f64 {
        self.service.shrunk_to(self.initial, 1.0)
    }

    pub(super) const fn samples(&self) -> u64 {
        self.samples
    }

    /// Returns the moving average of the relative error of predictions.
    pub(super) const fn error(&self) -> f64 {
        self.error
    }

    /// Returns the learned means of the routes with the most samples, at most `max`.
    pub(super) fn learned_routes(&self, max: usize) -> Vec<LearnedRoute> {
        let online = self.routes.iter().filter(|(key, _)| key.class == Class::Online);
        let mut routes: Vec<_> = online
            .map(|(key, cost)| LearnedRoute {
                route: key.route,
                seconds: cost.mean.mean(),
                samples: cost.mean.samples(),
            })
            .collect();
        routes.sort_by(|a, b| b.samples.total_cmp(&a.samples).then(a.route.cmp(&b.route)));
        routes.truncate(max);
        routes
    }

    /// Replaces what is known of routes by what another dispatcher has learned.
    pub(super) fn apply_learned(&mut self, now: Timestamp, learned: &[LearnedRoute]) {
        for route in learned.iter().filter(|route| route.seconds.is_finite()) {
            let key = RouteKey { class: Class::Online, route: route.route };
            make_room(&mut self.routes, &key, MAX_ROUTES, |route| route.mean.observed_at());
            let mean = Average::of(now, bounded(route.seconds), route.samples);
            self.service.merge(now, &mean);
            self.routes.entry(key).or_default().mean = mean;
        }
    }
}

/// Evicts the least recently used quarter of the entries if `key` needs one and there are `max`.
fn make_room<K: Eq + Hash + Clone, V>(
    entries: &mut HashMap<K, V>,
    key: &K,
    max: usize,
    used_at: impl Fn(&V) -> Timestamp,
) {
    if entries.len() < max || entries.contains_key(key) {
        return;
    }
    let mut ages: Vec<Timestamp> = entries.values().map(&used_at).collect();
    let (_, limit, _) = ages.select_nth_unstable(max / 4);
    let limit = *limit;
    entries.retain(|_, entry| used_at(entry) > limit);
}

fn bounded(seconds: f64) -> f64 {
    if seconds.is_finite() { seconds.clamp(MIN_WORK, MAX_WORK) } else { MAX_WORK }
}

/// Returns the logarithm of a stated number of tokens, if it is stated.
fn log_of(tokens: u32) -> Option<f64> {
    (tokens > 0).then(|| f64::from(tokens).ln())
}
