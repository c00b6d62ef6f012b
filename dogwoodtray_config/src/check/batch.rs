//! Checks for overlapping batch policies.

use std::collections::HashMap;

use dogwoodtray_coord::Name;

use super::Finding;
use super::Reason;
use crate::objects::BatchPolicy;
use crate::objects::Kind;
use crate::set::ObjectSet;

/// Reports routes and models that several policies list. A policy for a route and one for its model
/// do not overlap, because the policy for the route takes precedence.
pub(super) fn check(set: &ObjectSet, findings: &mut Vec<Finding>) {
    check_field(set, "routes", Kind::Route, |policy| &policy.routes, findings);
    check_field(set, "models", Kind::Model, |policy| &policy.models, findings);
}

fn check_field(
    set: &ObjectSet,
    field: &'static str,
    kind: Kind,
    names_of: fn(&BatchPolicy) -> &[Name],
    findings: &mut Vec<Finding>,
) {
    let mut covered: HashMap<&Name, &Name> = HashMap::new();
    for policy in set.batch_policies() {
        for name in names_of(policy) {
            let other = *covered.entry(name).or_insert(&policy.name);
            if *other != policy.name {
                let reason =
                    Reason::OverlappingPolicies { kind, name: name.clone(), other: other.clone() };
                let object = policy.name.clone();
                findings.push(Finding::new(Kind::BatchPolicy, object, field, reason));
            }
        }
    }
}
