//! Tests for the checks of sets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use dogwoodtray_config::check;
use expect_test::Expect;
use expect_test::expect;

fn assert_findings(text: &str, expected: Expect) {
    let findings: Vec<String> =
        check(&common::parse_set(text)).iter().map(ToString::to_string).collect();
    expected.assert_eq(&findings.join("\n"));
}

const MODELS: &str = "
[[model]]
name = 'm'
context_tokens = 100
max_output_tokens = 10
[[model]]
name = 'n'
context_tokens = 100
max_output_tokens = 10
[[version]]
name = 'm-1'
model = 'm'
weights = 'w'
accelerators = 1
[[version]]
name = 'm-2'
model = 'm'
weights = 'w'
accelerators = 1
[[adapter]]
name = 'fern'
base_version = 'm-1'
weights = 'w'
";

/// Guards against invalid references that are published and fail only at the first request.
#[test]
fn invalid_references_are_reported() {
    let text = "
[[version]]
name = 'n-1'
model = 'missing'
weights = 'w'
accelerators = 1
[[adapter]]
name = 'moss'
base_version = 'm-9'
weights = 'w'
[[route]]
name = 'other-model'
model = 'n'
version = 'm-1'
default_deadline_ms = 1
organisations = ['*']
[[route]]
name = 'other-base'
model = 'm'
version = 'm-2'
adapter = 'fern'
default_deadline_ms = 1
organisations = ['*']
[[batch_policy]]
name = 'p'
batch_weight = 0.5
max_attempts = 1
default_due_s = 1
routes = ['gone']
models = ['gone']
[[retirement_plan]]
name = 'r'
route = 'gone'
last_day = 2027-01-01T00:00:00Z
results_until = 2027-01-01T00:00:00Z
successor = 'm'
";
    assert_findings(
        &format!("{MODELS}{text}"),
        expect![[r#"
        version n-1: model: model missing does not exist
        adapter moss: base_version: version m-9 does not exist
        route other-base: adapter: adapter fern is for version m-1, not for m-2
        route other-model: version: version m-1 belongs to model m, not to n
        batch_policy p: models: model gone does not exist
        batch_policy p: routes: route gone does not exist
        retirement_plan r: route: route gone does not exist
        retirement_plan r: successor: route m does not exist"#]],
    );
}

/// Guards against publishing values that the daemons cannot apply.
#[test]
fn invalid_values_are_reported() {
    let text = "
[[model]]
name = 'Loud Model'
context_tokens = 0
max_output_tokens = 20
[[version]]
name = 'v'
model = 'm'
weights = ' '
accelerators = 65
[[route]]
name = 'twice'
service = 'a'
default_deadline_ms = 0
organisations = []
[[route]]
name = 'twice'
service = 'b'
default_deadline_ms = 1
organisations = ['*']
[[route]]
name = 'torn'
model = 'm'
service = 's'
adapter = 'fern'
non_idempotent = true
non_idempotent_paths = ['payouts', '/a/../b', '/a?b', '/ok', '/ok']
default_deadline_ms = 3600001
organisations = ['*', '*']
[[batch_policy]]
name = 'p'
batch_weight = 1.1
max_attempts = 4
default_due_s = 0
[[batch_policy]]
name = 'nan'
batch_weight = nan
max_attempts = 0
default_due_s = 1
models = ['m', 'm']
";
    assert_findings(
        &format!("{MODELS}{text}"),
        expect![[r#"
        model Loud Model: context_tokens: 0 is out of range, allowed are 1 to 10000000
        model Loud Model: max_output_tokens: 20 is out of range, allowed are 1 to context_tokens
        model Loud Model: name: a name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-', and starts with a letter or a digit
        version v: accelerators: 65 is out of range, allowed are 1 to 64
        version v: weights: " " is not a text without spaces and control characters
        route torn: adapter: is set without version
        route torn: default_deadline_ms: 3600001 is out of range, allowed are 1 to 3600000
        route torn: model: exactly one of model and service has to be set
        route torn: model: is set without version
        route torn: non_idempotent_paths: lists /ok more than once
        route torn: non_idempotent_paths: "payouts" is not an absolute path without escapes, query, empty or dotted segments
        route torn: non_idempotent_paths: "/a/../b" is not an absolute path without escapes, query, empty or dotted segments
        route torn: non_idempotent_paths: "/a?b" is not an absolute path without escapes, query, empty or dotted segments
        route torn: organisations: lists * more than once
        route torn: retries: contradicts non_idempotent
        route twice: default_deadline_ms: 0 is out of range, allowed are 1 to 3600000
        route twice: name: 2 objects of this kind have this name
        route twice: organisations: needs at least one entry
        batch_policy nan: batch_weight: NaN is out of range, allowed are 0.0 to 1.0
        batch_policy nan: max_attempts: 0 is out of range, allowed are 1 to 3
        batch_policy nan: models: lists m more than once
        batch_policy p: batch_weight: 1.1 is out of range, allowed are 0.0 to 1.0
        batch_policy p: default_due_s: 0 is out of range, allowed are 1 to 2592000
        batch_policy p: max_attempts: 4 is out of range, allowed are 1 to 3
        batch_policy p: routes: needs at least one entry"#]],
    );
}

/// Guards against overlapping policies. If two policies apply to the same job, the choice between
/// them is arbitrary.
#[test]
fn overlapping_policies_are_reported() {
    let text = "
[[route]]
name = 'r'
model = 'm'
version = 'm-1'
default_deadline_ms = 1
organisations = ['*']
[[batch_policy]]
name = 'a'
batch_weight = 0.5
max_attempts = 1
default_due_s = 1
routes = ['r']
[[batch_policy]]
name = 'b'
batch_weight = 0.5
max_attempts = 1
default_due_s = 1
routes = ['r']
models = ['m']
";
    assert_findings(
        &format!("{MODELS}{text}"),
        expect!["batch_policy b: routes: route r is also covered by batch_policy a"],
    );
}

/// Guards against retirement plans that leave callers without a successor or jobs without results.
#[test]
fn invalid_retirement_plans_are_reported() {
    let plan = |name: &str, subject: &str, day: u8, successor: &str| {
        format!(
            "[[retirement_plan]]\nname = '{name}'\n{subject}\nlast_day = 2027-01-{day:02}T00:00:00Z\n\
             results_until = 2027-01-10T00:00:00Z\n{successor}\n"
        )
    };
    let route = |name: &str, model: &str| {
        format!(
            "[[route]]\nname = '{name}'\nmodel = '{model}'\nversion = 'm-1'\n\
             default_deadline_ms = 1\norganisations = ['*']\n"
        )
    };
    let text = [
        route("open-end", "m"),
        route("ends-first", "m"),
        route("x", "m"),
        route("y", "m"),
        route("z", "m"),
        plan("m-ends", "model = 'm'", 5, ""),
        plan("m-ends-again", "model = 'm'", 5, ""),
        plan("first", "route = 'ends-first'", 4, "successor = 'x'"),
        plan("x-y", "route = 'x'", 4, "successor = 'y'"),
        plan("y-x", "route = 'y'", 3, "successor = 'x'"),
        plan("z-first", "route = 'z'", 2, "successor = 'y'"),
        plan("late", "model = 'n'", 20, "successor = 'n'"),
        plan("both", "model = 'n'\nroute = 'z'", 1, ""),
    ];
    assert_findings(
        &format!("{MODELS}{}", text.concat()),
        expect![[r#"
        route open-end: model: model m retires on 2027-01-05T00:00:00Z by retirement_plan m-ends-again without a successor, and the route has no plan that ends by then
        retirement_plan both: model: exactly one of model and route has to be set
        retirement_plan first: successor: successor x itself retires on 2027-01-04T00:00:00Z, which is not later
        retirement_plan late: results_until: 2027-01-10T00:00:00Z is before last_day 2027-01-20T00:00:00Z
        retirement_plan late: successor: the successors form a cycle: n -> n
        retirement_plan m-ends-again: model: model m is also retired by retirement_plan m-ends
        retirement_plan x-y: successor: the successors form a cycle: x -> y -> x
        retirement_plan y-x: successor: the successors form a cycle: y -> x -> y"#]],
    );
}
