//! Services of requests that wait for a place, as the configuration and the endpoints change.
//!
//! The service of a request is selected before it waits. A wait that depends on the selection ends
//! as soon as the selection no longer holds.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::future::Future;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::EndpointPlaces;
use tokio::sync::watch;

use crate::model::Route;
use crate::node::Node;

/// What selects the route of a request.
#[derive(Clone, Debug)]
pub(crate) struct RouteKey {
    host: Name,
    path: Name,
}

impl RouteKey {
    /// Returns the key of a request to this path, whose query is ignored.
    pub(crate) fn new(host: &str, path: &str) -> Self {
        let path = path.split('?').next().unwrap_or_default();
        Self { host: Name::from(host), path: Name::from(path) }
    }
}

/// Service that was selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct RoutedService {
    pub(crate) key: RouteKey,
    pub(crate) name: Name,
}

/// Result of the selection of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// The request may run at this service.
    Service(Name),
    /// No route matches the request.
    NoRoute,
    /// There is no configuration yet.
    NoConfig,
}

impl fmt::Display for Selection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => f.write_str(name),
            Self::NoRoute => f.write_str("no route"),
            Self::NoConfig => f.write_str("no configuration"),
        }
    }
}

/// Services with endpoints, and notification of everything that the selection of a service depends on.
#[derive(Debug)]
pub(crate) struct Routing {
    /// Services with an endpoint that accepts requests.
    served: RefCell<HashSet<Name>>,
    changed: watch::Sender<()>,
}

impl Routing {
    pub(crate) fn new() -> Self {
        Self { served: RefCell::new(HashSet::new()), changed: watch::Sender::new(()) }
    }

    /// Ends the waits that depend on the configuration, so that they compare it again.
    pub(crate) fn on_config(&self) {
        self.changed.send_replace(());
    }

    /// Records which services have endpoints that accept requests.
    pub(crate) fn set_endpoints(&self, list: &[EndpointPlaces]) {
        let served: HashSet<Name> =
            list.iter().map(|places| Name::clone(&places.service)).collect();
        if *self.served.borrow() != served {
            self.served.replace(served);
            self.changed.send_replace(());
        }
    }

    /// Returns `true` if a service has an endpoint that accepts requests.
    pub(crate) fn is_served(&self, service: &str) -> bool {
        self.served.borrow().contains(service)
    }

    /// Selects a service by weight among those with endpoints, or among all if none has any.
    pub(crate) fn select(&self, route: &Route) -> Option<Name> {
        let point = rand::random();
        let selected = route.pick_service_if(point, |service| self.is_served(service));
        selected.or_else(|| route.pick_service(point)).cloned()
    }

    /// Returns `true` if requests of a route may wait for this service.
    fn allows(&self, route: &Route, service: &Name) -> bool {
        let mut targets = route.services.iter().filter(|(_, weight)| *weight > 0);
        let is_target = targets.clone().any(|(name, _)| name == service);
        is_target && (self.is_served(service) || !targets.any(|(name, _)| self.is_served(name)))
    }
}

/// # Services of requests
impl Node {
    /// Selects the service of a request by the current configuration and endpoints.
    pub(crate) fn select_service(&self, key: &RouteKey) -> Selection {
        let Some(config) = self.directory.borrow().config().cloned() else {
            return Selection::NoConfig;
        };
        let route = config.route(&key.host, &key.path);
        let service = route.and_then(|route| self.routing.select(route));
        service.map_or(Selection::NoRoute, Selection::Service)
    }

    /// Returns the new selection if a request must not wait for this service any longer.
    fn reselect_service(&self, service: &RoutedService) -> Option<Selection> {
        let config = self.directory.borrow().config().cloned()?;
        let route = config.route(&service.key.host, &service.key.path);
        if route.is_some_and(|route| self.routing.allows(route, &service.name)) {
            return None;
        }
        let next = self.select_service(&service.key);
        (next != Selection::Service(Name::clone(&service.name))).then_some(next)
    }

    /// Waits for an output as long as a request may wait for this service.
    ///
    /// # Errors
    ///
    /// Returns the new selection if the service is no longer selected, and `ends` accepts the new one.
    /// The output is dropped then.
    pub(crate) async fn while_selected<T>(
        &self,
        service: &RoutedService,
        ends: impl Fn(&Selection) -> bool,
        output: impl Future<Output = T>,
    ) -> Result<T, Selection> {
        let mut changed = self.routing.changed.subscribe();
        let next_selection = async {
            loop {
                if let Some(next) = self.reselect_service(service).filter(&ends) {
                    return next;
                }
                if changed.changed().await.is_err() {
                    // Not reached: the sender lives as long as the process.
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::select! {
            biased;
            next = next_selection => {
                metrics::counter!("dogwoodtray_rerouted_waits_total").increment(1);
                Err(next)
            }
            output = output => Ok(output),
        }
    }
}
