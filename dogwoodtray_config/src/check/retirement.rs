//! Checks of retirement plans.

use std::collections::HashMap;

use dogwoodtray_coord::Name;

use super::Finding;
use super::Reason;
use super::index::Index;
use crate::objects::Kind;
use crate::objects::RetirementPlan;
use crate::objects::Route;
use crate::objects::Subject;
use crate::set::ObjectSet;

pub(super) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Vec<Finding>) {
    for plan in set.retirement_plans() {
        check_plan(plan, index, findings);
    }
    check_overlapping_plans(set, findings);
    for route in set.routes() {
        check_route(route, index, findings);
    }
}

fn check_plan(plan: &RetirementPlan, index: &Index<'_>, findings: &mut Vec<Finding>) {
    let mut report = |field, reason| {
        findings.push(Finding::new(Kind::RetirementPlan, plan.name.clone(), field, reason));
    };
    if plan.results_until < plan.last_day {
        let reason = Reason::ResultsUntilBeforeLastDay {
            results_until: plan.results_until.to_string(),
            last_day: plan.last_day.to_string(),
        };
        report("results_until", reason);
    }
    let Some(subject) = plan.subject() else {
        report("model", Reason::ExactlyOneRequired { one: "model", other: "route" });
        return;
    };
    if let Some(path) = find_successor_cycle(subject, index) {
        report("successor", Reason::SuccessorCycle { path: path.join(" -> ") });
        return;
    }
    if let Some(reason) = successor_date_error(plan, subject, index) {
        report("successor", reason);
    }
}

/// Follows the successors of `start` and returns the path if it returns to `start`.
fn find_successor_cycle<'a>(start: Subject<'a>, index: &Index<'a>) -> Option<Vec<&'a str>> {
    let mut path = vec![subject_name(start)];
    let mut current = start;
    loop {
        let name: &'a str = index.plan(current)?.successor.as_deref()?;
        let is_repeated = path.contains(&name);
        path.push(name);
        if name == subject_name(start) {
            return Some(path);
        }
        // The cycle does not contain `start`; it is reported for the plans that belong to it.
        if is_repeated {
            return None;
        }
        current = successor_subject(start, name);
    }
}

const fn subject_name<'a>(subject: Subject<'a>) -> &'a str {
    match subject {
        Subject::Model(name) | Subject::Route(name) => name,
    }
}

const fn successor_subject<'a>(subject: Subject<'_>, name: &'a str) -> Subject<'a> {
    match subject {
        Subject::Model(_) => Subject::Model(name),
        Subject::Route(_) => Subject::Route(name),
    }
}

fn successor_date_error(
    plan: &RetirementPlan,
    subject: Subject<'_>,
    index: &Index<'_>,
) -> Option<Reason> {
    let successor = plan.successor.as_ref()?;
    let next = index.plan(successor_subject(subject, successor))?;
    let last_day = next.last_day.to_string();
    (next.last_day <= plan.last_day)
        .then(|| Reason::SuccessorRetiresFirst { successor: successor.clone(), last_day })
}

fn check_overlapping_plans(set: &ObjectSet, findings: &mut Vec<Finding>) {
    let mut retired: HashMap<Subject<'_>, &Name> = HashMap::new();
    for plan in set.retirement_plans() {
        let Some(subject) = plan.subject() else {
            continue;
        };
        let other = *retired.entry(subject).or_insert(&plan.name);
        if *other != plan.name {
            let kind = subject.kind();
            let name = Name::from(subject.name());
            let reason = Reason::OverlappingPlans { kind, name, other: other.clone() };
            let field = kind.as_str();
            findings.push(Finding::new(Kind::RetirementPlan, plan.name.clone(), field, reason));
        }
    }
}

/// Reports a route whose model retires, unless the model has a successor that callers can move to
/// or the route itself retires no later than the model.
fn check_route(route: &Route, index: &Index<'_>, findings: &mut Vec<Finding>) {
    let Some(model) = &route.model else {
        return;
    };
    let Some(plan) = index.plan(Subject::Model(model)) else {
        return;
    };
    let route_plan = index.plan(Subject::Route(&route.name));
    let route_ends_first =
        route_plan.is_some_and(|route_plan| route_plan.last_day <= plan.last_day);
    if plan.successor.is_some() || route_ends_first {
        return;
    }
    let reason = Reason::ModelWithoutSuccessor {
        model: model.clone(),
        plan: plan.name.clone(),
        last_day: plan.last_day.to_string(),
    };
    findings.push(Finding::new(Kind::Route, route.name.clone(), "model", reason));
}
