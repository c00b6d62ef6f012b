//! Objects and their identifiers.

use std::fmt;

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

use super::Adapter;
use super::BatchPolicy;
use super::Model;
use super::ModelVersion;
use super::RetirementPlan;
use super::Route;

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Model`].
    Model,
    /// [`ModelVersion`].
    Version,
    /// [`Adapter`].
    Adapter,
    /// [`Route`].
    Route,
    /// [`BatchPolicy`].
    BatchPolicy,
    /// [`RetirementPlan`].
    RetirementPlan,
}

impl Kind {
    /// Returns the name of the kind in TOML files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Version => "version",
            Self::Adapter => "adapter",
            Self::Route => "route",
            Self::BatchPolicy => "batch_policy",
            Self::RetirementPlan => "retirement_plan",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Kind and name of an object, which identify it within a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: Name,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// A configuration object of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A model.
    Model(Model),
    /// A version of a model.
    Version(ModelVersion),
    /// An adapter.
    Adapter(Adapter),
    /// A route.
    Route(Route),
    /// A batch policy.
    BatchPolicy(BatchPolicy),
    /// A retirement plan.
    RetirementPlan(RetirementPlan),
}

impl Object {
    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Model(_) => Kind::Model,
            Self::Version(_) => Kind::Version,
            Self::Adapter(_) => Kind::Adapter,
            Self::Route(_) => Kind::Route,
            Self::BatchPolicy(_) => Kind::BatchPolicy,
            Self::RetirementPlan(_) => Kind::RetirementPlan,
        }
    }

    /// Returns the name.
    #[must_use]
    pub const fn name(&self) -> &Name {
        match self {
            Self::Model(model) => &model.name,
            Self::Version(version) => &version.name,
            Self::Adapter(adapter) => &adapter.name,
            Self::Route(route) => &route.name,
            Self::BatchPolicy(policy) => &policy.name,
            Self::RetirementPlan(plan) => &plan.name,
        }
    }

    /// Returns the kind and the name.
    #[must_use]
    pub fn id(&self) -> ObjectId {
        ObjectId { kind: self.kind(), name: self.name().clone() }
    }
}
