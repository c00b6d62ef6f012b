//! Resolution of public names to models and services.

use std::time::Duration;

use dogwoodtray_config::Retirement;
use dogwoodtray_config::RouteTarget;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::Clock;
use hyper::StatusCode;

use super::error::ApiError;
use crate::shell::EntryState;

/// Model or service behind a public name, with the settings of its route.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRoute {
    /// Name of the model or service at the endpoints.
    pub(crate) model: Name,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    /// Default time from submission to the due time of a job.
    pub(crate) default_due: Option<Duration>,
    /// Time at which the route closes, in milliseconds since the Unix epoch.
    pub(crate) closes_unix_ms: Option<u64>,
}

/// Resolves a public name to a model or service.
///
/// Until a configuration is published, each model that a connected endpoint serves is a public
/// name.
pub(crate) fn resolve(
    shared: &EntryState,
    name: &str,
    path: &str,
    organization: &str,
    expect_service: bool,
) -> Result<ResolvedRoute, ApiError> {
    let unknown =
        || ApiError::not_found("unknown_model", format!("no model or service is named {name}"));
    let view = shared.view();
    if view.routes().next().is_none() {
        let models = shared.models();
        let model = models.iter().find(|model| ***model == *name).ok_or_else(unknown)?;
        return Ok(ResolvedRoute {
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
    if is_service != expect_service {
        return Err(unknown());
    }
    Ok(ResolvedRoute {
        model: Name::from(model),
        idempotent: route.is_idempotent(path),
        timeout: Duration::from_millis(route.default_deadline_ms),
        default_due: view.batch_policy(route).map(|p| Duration::from_secs(p.default_due_s)),
        closes_unix_ms: retirement.plan().map(|plan| plan.last_day.unix_ms()),
    })
}
