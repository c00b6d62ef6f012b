//! Indexed snapshot for lookups by daemons.

use std::collections::HashMap;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;

use crate::objects::Adapter;
use crate::objects::BatchPolicy;
use crate::objects::Model;
use crate::objects::ModelVersion;
use crate::objects::Object;
use crate::objects::RetirementPlan;
use crate::objects::Route;
use crate::objects::RouteTarget;
use crate::objects::Subject;
use crate::snapshot::Snapshot;

/// The objects of one generation, indexed by name.
#[derive(Clone, Debug, Default)]
pub struct View {
    generation: Generation,
    models: Vec<Model>,
    versions: HashMap<Name, ModelVersion>,
    adapters: HashMap<Name, Adapter>,
    routes: HashMap<Name, Route>,
    batch_policies: Vec<BatchPolicy>,
    plans: Vec<RetirementPlan>,
}

/// Retirement state of a model or a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retirement<'a> {
    /// Requests and jobs are served. The plan, if any, contains the last day.
    Open(Option<&'a RetirementPlan>),
    /// The last day has passed, but results can still be read.
    Closed(&'a RetirementPlan),
    /// The last day has passed and results can no longer be read.
    ResultsExpired(&'a RetirementPlan),
}

impl View {
    /// Indexes the objects of a snapshot.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut view = Self { generation: snapshot.generation(), ..Self::default() };
        for object in snapshot.objects().iter().cloned() {
            view.insert(object);
        }
        view
    }

    fn insert(&mut self, object: Object) {
        let name = object.name().clone();
        match object {
            Object::Model(model) => self.models.push(model),
            Object::Version(version) => drop(self.versions.insert(name, version)),
            Object::Adapter(adapter) => drop(self.adapters.insert(name, adapter)),
            Object::Route(route) => drop(self.routes.insert(name, route)),
            Object::BatchPolicy(policy) => self.batch_policies.push(policy),
            Object::RetirementPlan(plan) => self.plans.push(plan),
        }
    }

    /// Returns the generation.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the models sorted by name.
    #[must_use]
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// Returns a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| *model.name == *name)
    }

    /// Returns a version of a model by name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&ModelVersion> {
        self.versions.get(name)
    }

    /// Returns an adapter by name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters.get(name)
    }

    /// Returns a route by its public name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// Returns an iterator over the routes in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Returns the batch policy of a route: the policy that lists the route, or else the policy
    /// that lists its model.
    #[must_use]
    pub fn batch_policy(&self, route: &Route) -> Option<&BatchPolicy> {
        let route_policy =
            self.batch_policies.iter().find(|policy| policy.routes.contains(&route.name));
        route_policy.or_else(|| {
            let model = route.model.as_ref()?;
            self.batch_policies.iter().find(|policy| policy.models.contains(model))
        })
    }
}

/// # Retirement
impl View {
    /// Returns the retirement state of a model or a route at the given time, by its own
    /// plan.
    #[must_use]
    pub fn retirement(&self, subject: Subject<'_>, now_unix_ms: u64) -> Retirement<'_> {
        let Some(plan) = self.plans.iter().find(|plan| plan.subject() == Some(subject)) else {
            return Retirement::Open(None);
        };
        if now_unix_ms >= plan.results_until.unix_ms() {
            return Retirement::ResultsExpired(plan);
        }
        if now_unix_ms >= plan.last_day.unix_ms() {
            return Retirement::Closed(plan);
        }
        Retirement::Open(Some(plan))
    }

    /// Returns the retirement state of a route at the given time, by its own plan or by the plan of
    /// its model, whichever has the earlier last day.
    #[must_use]
    pub fn route_retirement(&self, route: &Route, now_unix_ms: u64) -> Retirement<'_> {
        let route_state = self.retirement(Subject::Route(&route.name), now_unix_ms);
        let Some(RouteTarget::Model { model, .. }) = route.target() else {
            return route_state;
        };
        let model_state = self.retirement(Subject::Model(model), now_unix_ms);
        match (route_state.plan(), model_state.plan()) {
            (Some(route_plan), Some(model_plan)) if model_plan.last_day < route_plan.last_day => {
                model_state
            }
            (None, Some(_)) => model_state,
            _ => route_state,
        }
    }
}

impl<'a> Retirement<'a> {
    /// Returns the retirement plan, if any.
    #[must_use]
    pub const fn plan(&self) -> Option<&'a RetirementPlan> {
        match self {
            Self::Open(plan) => *plan,
            Self::Closed(plan) | Self::ResultsExpired(plan) => Some(*plan),
        }
    }

    /// Returns whether new requests and jobs are served.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Open(_))
    }
}
