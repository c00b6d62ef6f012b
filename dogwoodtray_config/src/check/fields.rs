//! Checks of individual field values.

use std::collections::HashSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

use dogwoodtray_coord::Name;

use super::Finding;
use super::Reason;
use crate::objects::BatchPolicy;
use crate::objects::Model;
use crate::objects::ModelVersion;
use crate::objects::Object;
use crate::objects::Route;
use crate::objects::is_canonical_path;
use crate::set::ObjectSet;

/// No model in use has a context of more than ten million tokens.
const CONTEXT_TOKENS_RANGE: RangeInclusive<u32> = 1..=10_000_000;

/// A replica spans at most eight VMs of eight accelerators.
const ACCELERATORS_RANGE: RangeInclusive<u32> = 1..=64;

/// An online request is limited to one hour; longer work has to be submitted as a job.
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// At most 30 days.
const DUE_S_RANGE: RangeInclusive<u64> = 1..=2_592_000;

const BATCH_WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1.0;

/// The design limits each item to three attempts.
const MAX_ATTEMPTS_RANGE: RangeInclusive<u8> = 1..=3;

pub(super) fn check(set: &ObjectSet, findings: &mut Vec<Finding>) {
    for object in set.iter() {
        let mut checker = FieldChecker { object, findings };
        match object {
            Object::Model(model) => checker.check_model(model),
            Object::Version(version) => checker.check_version(version),
            Object::Adapter(adapter) => checker.check_text("weights", &adapter.weights),
            Object::Route(route) => checker.check_route(route),
            Object::BatchPolicy(policy) => checker.check_batch_policy(policy),
            Object::RetirementPlan(_) => {}
        }
    }
}

struct FieldChecker<'a> {
    object: &'a Object,
    findings: &'a mut Vec<Finding>,
}

impl FieldChecker<'_> {
    fn check_model(&mut self, model: &Model) {
        self.check_range(
            "context_tokens",
            model.context_tokens,
            CONTEXT_TOKENS_RANGE,
            "1 to 10000000",
        );
        let output = 1..=model.context_tokens.max(1);
        self.check_range(
            "max_output_tokens",
            model.max_output_tokens,
            output,
            "1 to context_tokens",
        );
    }

    fn check_version(&mut self, version: &ModelVersion) {
        self.check_text("weights", &version.weights);
        self.check_range("accelerators", version.accelerators, ACCELERATORS_RANGE, "1 to 64");
    }

    fn check_route(&mut self, route: &Route) {
        self.check_range(
            "default_deadline_ms",
            route.default_deadline_ms,
            DEADLINE_MS_RANGE,
            "1 to 3600000",
        );
        self.check_route_target(route);
        if route.non_idempotent && route.retries {
            self.report("retries", Reason::ConflictsWith { other: "non_idempotent" });
        }
        if route.organisations.is_empty() {
            self.report("organisations", Reason::EmptyList);
        }
        self.check_unique("organisations", &route.organisations);
        self.check_unique("non_idempotent_paths", &route.non_idempotent_paths);
        for path in &route.non_idempotent_paths {
            if !is_canonical_path(path) {
                let allowed = "an absolute path without escapes, query, empty or dotted segments";
                let reason = Reason::InvalidValue { value: path.clone(), allowed };
                self.report("non_idempotent_paths", reason);
            }
        }
        for organisation in &route.organisations {
            self.check_text("organisations", organisation);
        }
    }

    fn check_route_target(&mut self, route: &Route) {
        if route.model.is_some() == route.service.is_some() {
            self.report("model", Reason::ExactlyOneRequired { one: "model", other: "service" });
        }
        if route.model.is_some() && route.version.is_none() {
            self.report("model", Reason::RequiresField { other: "version" });
        }
        if route.model.is_none() && route.version.is_some() {
            self.report("version", Reason::RequiresField { other: "model" });
        }
        if route.adapter.is_some() && route.version.is_none() {
            self.report("adapter", Reason::RequiresField { other: "version" });
        }
        if let Some(service) = &route.service {
            self.check_text("service", service);
        }
    }

    fn check_batch_policy(&mut self, policy: &BatchPolicy) {
        self.check_range("batch_weight", policy.batch_weight, BATCH_WEIGHT_RANGE, "0.0 to 1.0");
        self.check_range("max_attempts", policy.max_attempts, MAX_ATTEMPTS_RANGE, "1 to 3");
        self.check_range("default_due_s", policy.default_due_s, DUE_S_RANGE, "1 to 2592000");
        if policy.routes.is_empty() && policy.models.is_empty() {
            self.report("routes", Reason::EmptyList);
        }
        self.check_unique("routes", &policy.routes);
        self.check_unique("models", &policy.models);
    }

    fn check_range<T: PartialOrd + Display>(
        &mut self,
        field: &'static str,
        value: T,
        range: RangeInclusive<T>,
        allowed: &'static str,
    ) {
        if !range.contains(&value) {
            self.report(field, Reason::OutOfRange { value: value.to_string(), allowed });
        }
    }

    fn check_text(&mut self, field: &'static str, value: &Name) {
        if value.is_empty() || value.chars().any(|c| c.is_whitespace() || c.is_control()) {
            let allowed = "a text without spaces and control characters";
            self.report(field, Reason::InvalidValue { value: value.clone(), allowed });
        }
    }

    fn check_unique(&mut self, field: &'static str, entries: &[Name]) {
        let mut seen = HashSet::new();
        for entry in entries {
            if !seen.insert(entry) {
                self.report(field, Reason::DuplicateEntry { entry: entry.clone() });
            }
        }
    }

    fn report(&mut self, field: &'static str, reason: Reason) {
        self.findings.push(Finding::of(self.object, field, reason));
    }
}
