//! Retirement plan objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

use super::Kind;
use super::UtcTime;

/// A plan for the retirement of a model or a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetirementPlan {
    /// Name, unique among retirement plans.
    pub name: Name,
    /// Model that retires; exactly one of `model` and `route` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Route that retires; exactly one of `model` and `route` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Name>,
    /// Time from which on no request or job is served.
    pub last_day: UtcTime,
    /// Time from which on results can no longer be read.
    pub results_until: UtcTime,
    /// Model or route that callers can move to, of the same kind as the one that retires.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<Name>,
}

impl RetirementPlan {
    /// Returns the model or route that retires, or `None` unless exactly one of `model` and `route`
    /// is set.
    #[must_use]
    pub fn subject(&self) -> Option<Subject<'_>> {
        match (&self.model, &self.route) {
            (Some(model), None) => Some(Subject::Model(model)),
            (None, Some(route)) => Some(Subject::Route(route)),
            _ => None,
        }
    }
}

/// The model or route that a retirement plan applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject<'a> {
    /// The model with this name.
    Model(&'a str),
    /// The route with this name.
    Route(&'a str),
}

impl Subject<'_> {
    /// Returns the kind of the object that retires.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Model(_) => Kind::Model,
            Self::Route(_) => Kind::Route,
        }
    }

    /// Returns the name of the object that retires.
    #[must_use]
    pub const fn name(&self) -> &str {
        match self {
            Self::Model(name) | Self::Route(name) => name,
        }
    }
}
