//! Finds what serves a public name.

use std::time::Duration;

use dogwoodtray_config::Retirement;
use dogwoodtray_config::RouteTarget;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::Clock;
use hyper::StatusCode;

use super::error::ApiError;
use crate::shell::Shared;

/// What serves a public name.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Model or service, as endpoints name it.
    pub(crate) model: Name,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    /// Time after submission at which a job is due that names none.
    pub(crate) default_due: Option<Duration>,
    /// When the route closes, in milliseconds since the Unix epoch.
    pub(crate) closes_unix_ms: Option<u64>,
}

/// Finds what serves a public name.
///
/// Before anything is published, each model that a live endpoint serves is a public name.
pub(crate) fn resolve(
    shared: &Shared,
    name: &str,
    path: &str,
    organization: &str,
    service: bool,
) -> Result<Target, ApiError> {
    let unknown =
        || ApiError::not_found("unknown_model", format!("no model or service is named {name}"));
    let view = shared.view();
    if view.routes().next().is_none() {
        let models = shared.models();
        let model = models.iter().find(|model| ***model == *name).ok_or_else(unknown)?;
        return Ok(Target {
            model: Name::clone(model),
            idempotent: true,
            timeout: shared.settings.default_timeout,
            default_due: None,
            closes_unix_ms: None,
        });
    }
    let route = view.route(name).ok_or_else(unknown)?;
    if !route.allows(organization) {
        return Err(ApiError::not_run(
            StatusCode::FORBIDDEN,
            "not_allowed",
            "the organization may not use this model",
        ));
    }
    let retirement = view.route_retirement(route, Clock::unix_ms());
    if !matches!(retirement, Retirement::Open(_)) {
        return Err(ApiError::not_run(
            StatusCode::GONE,
            "service_closed",
            format!("{name} was retired"),
        ));
    }
    let target = route.target().ok_or_else(unknown)?;
    let (model, is_service) = match target {
        RouteTarget::Model { model, .. } => (model, false),
        RouteTarget::Service(service) => (service, true),
    };
    if is_service != service {
        return Err(unknown());
    }
    Ok(Target {
        model: Name::from(model),
        idempotent: route.is_idempotent(path),
        timeout: Duration::from_millis(route.default_deadline_ms),
        default_due: view.batch_policy(route).map(|p| Duration::from_secs(p.default_due_s)),
        closes_unix_ms: retirement.plan().map(|plan| plan.last_day.unix_ms()),
    })
}
