//! Values of single fields.

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
use crate::objects::is_plain_path;
use crate::set::ObjectSet;

/// Ten million tokens is above the context of any model in use.
const CONTEXT_TOKENS: RangeInclusive<u32> = 1..=10_000_000;

/// A replica spans at most eight VMs of eight accelerators.
const ACCELERATORS: RangeInclusive<u32> = 1..=64;

/// An online request that takes longer than an hour belongs into a job.
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;

/// Thirty days.
const DUE_S: RangeInclusive<u64> = 1..=2_592_000;

const BATCH_WEIGHT: RangeInclusive<f64> = 0.0..=1.0;

/// The design bounds the attempts of an item to three.
const ATTEMPTS: RangeInclusive<u8> = 1..=3;

pub(super) fn check(set: &ObjectSet, findings: &mut Vec<Finding>) {
    for object in set.iter() {
        let mut fields = Fields { object, findings };
        match object {
            Object::Model(model) => fields.model(model),
            Object::Version(version) => fields.version(version),
            Object::Adapter(adapter) => fields.text("weights", &adapter.weights),
            Object::Route(route) => fields.route(route),
            Object::BatchPolicy(policy) => fields.batch_policy(policy),
            Object::RetirementPlan(_) => {}
        }
    }
}

struct Fields<'a> {
    object: &'a Object,
    findings: &'a mut Vec<Finding>,
}

impl Fields<'_> {
    fn model(&mut self, model: &Model) {
        self.range("context_tokens", model.context_tokens, CONTEXT_TOKENS, "1 to 10000000");
        let output = 1..=model.context_tokens.max(1);
        self.range("max_output_tokens", model.max_output_tokens, output, "1 to context_tokens");
    }

    fn version(&mut self, version: &ModelVersion) {
        self.text("weights", &version.weights);
        self.range("accelerators", version.accelerators, ACCELERATORS, "1 to 64");
    }

    fn route(&mut self, route: &Route) {
        self.range("default_deadline_ms", route.default_deadline_ms, DEADLINE_MS, "1 to 3600000");
        self.route_target(route);
        if route.non_idempotent && route.retries {
            self.report("retries", Reason::Contradicts { other: "non_idempotent" });
        }
        if route.organisations.is_empty() {
            self.report("organisations", Reason::Empty);
        }
        self.unrepeated("organisations", &route.organisations);
        self.unrepeated("non_idempotent_paths", &route.non_idempotent_paths);
        for path in &route.non_idempotent_paths {
            if !is_plain_path(path) {
                let allowed = "an absolute path without escapes, query, empty or dotted segments";
                let reason = Reason::BadValue { value: path.clone(), allowed };
                self.report("non_idempotent_paths", reason);
            }
        }
        for organisation in &route.organisations {
            self.text("organisations", organisation);
        }
    }

    fn route_target(&mut self, route: &Route) {
        if route.model.is_some() == route.service.is_some() {
            self.report("model", Reason::ExactlyOne { one: "model", other: "service" });
        }
        if route.model.is_some() && route.version.is_none() {
            self.report("model", Reason::Needs { other: "version" });
        }
        if route.model.is_none() && route.version.is_some() {
            self.report("version", Reason::Needs { other: "model" });
        }
        if route.adapter.is_some() && route.version.is_none() {
            self.report("adapter", Reason::Needs { other: "version" });
        }
        if let Some(service) = &route.service {
            self.text("service", service);
        }
    }

    fn batch_policy(&mut self, policy: &BatchPolicy) {
        self.range("batch_weight", policy.batch_weight, BATCH_WEIGHT, "0.0 to 1.0");
        self.range("max_attempts", policy.max_attempts, ATTEMPTS, "1 to 3");
        self.range("default_due_s", policy.default_due_s, DUE_S, "1 to 2592000");
        if policy.routes.is_empty() && policy.models.is_empty() {
            self.report("routes", Reason::Empty);
        }
        self.unrepeated("routes", &policy.routes);
        self.unrepeated("models", &policy.models);
    }

    fn range<T: PartialOrd + Display>(
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

    fn text(&mut self, field: &'static str, value: &Name) {
        if value.is_empty() || value.chars().any(|c| c.is_whitespace() || c.is_control()) {
            let allowed = "a text without spaces and control characters";
            self.report(field, Reason::BadValue { value: value.clone(), allowed });
        }
    }

    fn unrepeated(&mut self, field: &'static str, entries: &[Name]) {
        let mut seen = HashSet::new();
        for entry in entries {
            if !seen.insert(entry) {
                self.report(field, Reason::Repeated { entry: entry.clone() });
            }
        }
    }

    fn report(&mut self, field: &'static str, reason: Reason) {
        self.findings.push(Finding::of(self.object, field, reason));
    }
}
