//! References between objects.

use super::Finding;
use super::Reason;
use super::index::Index;
use crate::objects::Kind;
use crate::objects::Object;
use crate::objects::Route;
use crate::set::ObjectSet;

pub(super) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Vec<Finding>) {
    for object in set.iter() {
        let mut require =
            |field, kind, name| index.require_exists(object, field, kind, name, findings);
        match object {
            Object::Model(_) => {}
            Object::Version(version) => require("model", Kind::Model, &version.model),
            Object::Adapter(adapter) => {
                require("base_version", Kind::Version, &adapter.base_version);
            }
            Object::Route(route) => {
                route.model.iter().for_each(|name| require("model", Kind::Model, name));
                route.version.iter().for_each(|name| require("version", Kind::Version, name));
                route.adapter.iter().for_each(|name| require("adapter", Kind::Adapter, name));
                check_route_target(object, route, index, findings);
            }
            Object::BatchPolicy(policy) => {
                policy.routes.iter().for_each(|name| require("routes", Kind::Route, name));
                policy.models.iter().for_each(|name| require("models", Kind::Model, name));
            }
            Object::RetirementPlan(plan) => {
                plan.model.iter().for_each(|name| require("model", Kind::Model, name));
                plan.route.iter().for_each(|name| require("route", Kind::Route, name));
                if let (Some(subject), Some(successor)) = (plan.subject(), &plan.successor) {
                    require("successor", subject.kind(), successor);
                }
            }
        }
    }
}

fn check_route_target(
    object: &Object,
    route: &Route,
    index: &Index<'_>,
    findings: &mut Vec<Finding>,
) {
    let Some(name) = &route.version else {
        return;
    };
    if let (Some(version), Some(model)) = (index.version(name), &route.model)
        && version.model != *model
    {
        let reason = Reason::VersionModelMismatch {
            version: name.clone(),
            owner: version.model.clone(),
            model: model.clone(),
        };
        findings.push(Finding::of(object, "version", reason));
    }
    let adapter = route.adapter.as_ref().and_then(|adapter| index.adapter(adapter));
    if let Some(adapter) = adapter
        && adapter.base_version != *name
    {
        let reason = Reason::AdapterVersionMismatch {
            adapter: adapter.name.clone(),
            base: adapter.base_version.clone(),
            version: name.clone(),
        };
        findings.push(Finding::of(object, "adapter", reason));
    }
}
