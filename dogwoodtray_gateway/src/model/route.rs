//! Routes and limits of the configuration in force.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;

/// Terms under which a route accepts batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTerms {
    /// Time after submission in which all results are due.
    pub completion_target: Duration,
    /// Time after submission at which an item may be given up.
    pub retention: Duration,
}

/// What a request of a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The answer is a stream of events.
    Streaming {
        /// Whether a broken stream may go on at another endpoint.
        resumable: bool,
    },
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// Requests submit batch jobs.
    Batch(BatchTerms),
}

/// Route from a host and a path to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that the caller names.
    pub host: Name,
    /// Beginning of the paths that the route covers.
    pub path_prefix: Name,
    /// What its requests allow.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer, or the first event of a stream, is worth most.
    pub latency_objective: Duration,
    /// Endpoints that may run one request.
    pub max_attempts: u32,
    /// Services with their weights.
    pub services: Vec<(Name, u32)>,
}

impl Route {
    /// Chooses a service by weight. `point` lies in `0.0..1.0`.
    #[must_use]
    pub fn service_at(&self, point: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = point * f64::from(total);
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request head.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Time that a caller may take to send a request head.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteConfig {
    /// Grows with each version.
    pub generation: Generation,
    /// Limits on callers.
    pub limits: Limits,
    routes: Vec<Route>,
    /// Indices of the routes of each host, longest prefix first. A configuration may hold
    /// thousands of routes, and every request looks for one.
    by_host: HashMap<Name, Vec<usize>>,
}

impl SiteConfig {
    /// Creates a version of the configuration.
    #[must_use]
    pub fn new(generation: Generation, routes: Vec<Route>, limits: Limits) -> Self {
        let mut by_host: HashMap<Name, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(Name::clone(&route.host)).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| Reverse(routes[*index].path_prefix.len()));
        }
        Self { generation, limits, routes, by_host }
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route with the longest prefix that covers a path of a host.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodtray_gateway::SiteConfig;
    ///
    /// assert!(SiteConfig::default().route("counter.example", "/slips/7").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.by_host.get(host)?;
        let mut routes = indices.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&*route.path_prefix))
    }
}
