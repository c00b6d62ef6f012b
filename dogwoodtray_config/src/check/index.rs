//! Object lookup for the checks.

use std::collections::HashMap;
use std::collections::HashSet;

use dogwoodtray_coord::Name;

use super::Finding;
use super::Reason;
use crate::objects::Adapter;
use crate::objects::Kind;
use crate::objects::ModelVersion;
use crate::objects::Object;
use crate::objects::RetirementPlan;
use crate::objects::Subject;
use crate::set::ObjectSet;

/// Lookup tables for the objects of a set by name.
pub(super) struct Index<'a> {
    names: HashSet<(Kind, &'a str)>,
    versions: HashMap<&'a str, &'a ModelVersion>,
    adapters: HashMap<&'a str, &'a Adapter>,
    plans: HashMap<Subject<'a>, &'a RetirementPlan>,
}

impl<'a> Index<'a> {
    pub(super) fn new(set: &'a ObjectSet) -> Self {
        let plans = set.retirement_plans();
        Self {
            names: set.iter().map(|object| (object.kind(), &**object.name())).collect(),
            versions: set.versions().map(|version| (&*version.name, version)).collect(),
            adapters: set.adapters().map(|adapter| (&*adapter.name, adapter)).collect(),
            plans: plans.filter_map(|plan| Some((plan.subject()?, plan))).collect(),
        }
    }

    pub(super) fn version(&self, name: &str) -> Option<&'a ModelVersion> {
        self.versions.get(name).copied()
    }

    pub(super) fn adapter(&self, name: &str) -> Option<&'a Adapter> {
        self.adapters.get(name).copied()
    }

    pub(super) fn plan(&self, subject: Subject<'_>) -> Option<&'a RetirementPlan> {
        self.plans.get(&subject).copied()
    }

    /// Adds a finding if `field` refers to an object that does not exist.
    pub(super) fn require_exists(
        &self,
        object: &Object,
        field: &'static str,
        kind: Kind,
        name: &Name,
        findings: &mut Vec<Finding>,
    ) {
        if !self.names.contains(&(kind, &**name)) {
            let reason = Reason::MissingObject { kind, name: name.clone() };
            findings.push(Finding::of(object, field, reason));
        }
    }
}
