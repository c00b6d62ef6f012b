//! Routes and limits of the configuration.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;

use super::Organizations;

/// Terms under which a route accepts batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTerms {
    /// Time after submission by which all results are due.
    pub completion_target: Duration,
    /// Time after submission at which an incomplete item may be abandoned.
    pub retention: Duration,
    /// Maximum number of tokens of unfinished items on the route, over all processes; 0 for no
    /// limit.
    pub max_waiting_tokens: u64,
}

/// Kind of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The response is an event stream.
    Streaming {
        /// Whether an interrupted stream may be resumed at another endpoint.
        resumable: bool,
    },
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// Requests submit batch jobs.
    Batch(BatchTerms),
}

impl RouteKind {
    /// Returns `true` if a request may be sent again after an endpoint may have run it.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Streaming { resumable } => resumable,
            Self::Idempotent | Self::Batch(_) => true,
            Self::NonIdempotent => false,
        }
    }
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host of the request.
    pub host: Name,
    /// Prefix of the paths that the route matches.
    pub path_prefix: Name,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target latency of a response, or of the first event of a stream.
    pub latency_objective: Duration,
    /// Maximum number of endpoints tried for one request.
    pub max_attempts: u32,
    /// Services with their weights.
    pub services: Vec<(Name, u32)>,
    /// Whether its requests need no key.
    pub anonymous: bool,
    /// Rank of its requests; 0 is the highest.
    pub priority: u32,
}

impl Route {
    /// Returns `true` if it accepts batch jobs without a key, which then have no owner.
    #[must_use]
    pub const fn has_anonymous_jobs(&self) -> bool {
        self.anonymous && matches!(self.kind, RouteKind::Batch(_))
    }

    /// Selects a service by weight. `point` is in `0.0..1.0`.
    #[must_use]
    pub fn pick_service(&self, point: f64) -> Option<&Name> {
        self.pick_service_if(point, |_| true)
            .or_else(|| self.services.last().map(|(service, _)| service))
    }

    /// Selects a service by weight among those that match. `point` is in `0.0..1.0`.
    #[must_use]
    pub fn pick_service_if(&self, point: f64, matches: impl Fn(&str) -> bool) -> Option<&Name> {
        let candidates =
            || self.services.iter().filter(|(name, weight)| *weight > 0 && matches(name));
        let total: f64 = candidates().map(|(_, weight)| f64::from(*weight)).sum();
        let mut remaining = point * total;
        for (service, weight) in candidates() {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        // The sum may be rounded.
        candidates().last().map(|(service, _)| service)
    }
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
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
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Generation, which increases with each version.
    pub generation: Generation,
    /// Limits on connections and requests of callers.
    pub limits: Limits,
    organizations: Organizations,
    routes: Vec<Route>,
    /// Indices of the routes of each host, longest prefix first. A configuration may contain
    /// thousands of routes, and every request needs a lookup.
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
        Self { generation, limits, organizations: Organizations::default(), routes, by_host }
    }

    /// Sets the organizations. Without any, requests need no key.
    #[must_use]
    pub fn with_organizations(mut self, organizations: Organizations) -> Self {
        self.organizations = organizations;
        self
    }

    /// Returns the organizations.
    #[must_use]
    pub const fn organizations(&self) -> &Organizations {
        &self.organizations
    }

    /// Returns `true` if a batch route of this host needs no key, so that its jobs have no owner.
    #[must_use]
    pub fn has_anonymous_jobs(&self, host: &str) -> bool {
        let indices = self.by_host.get(host).map_or(&[][..], Vec::as_slice);
        let mut routes = indices.iter().map(|index| &self.routes[*index]);
        routes.any(Route::has_anonymous_jobs)
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of a host with the longest prefix that matches a path.
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
