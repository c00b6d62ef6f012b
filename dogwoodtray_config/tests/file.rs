//! Tests for TOML files of configuration objects.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use dogwoodtray_config::check;
use dogwoodtray_config::parse_file;
use dogwoodtray_config::write_file;
use expect_test::expect;

/// Guards against examples that [`check`] rejects, because users copy them.
#[test]
fn examples_have_no_findings() {
    for name in ["kegtalk", "stitchwriter"] {
        assert_eq!(check(&common::example_set(name)), [], "{name}");
    }
}

/// Guards against reporting only the first error of a file, and against ignoring unknown fields.
#[test]
fn errors_of_all_tables_are_reported() {
    let text = "\
[[model]]
name = 'a'
context_tokens = 1
max_output_tokens = 1
colour = 'red'

[[route]]
service = 'x'

[[batch_policy]]
name = 'p'
batch_weight = 'high'
max_attempts = 1
default_due_s = 1

[[retirement_plan]]
name = 'r'
route = 'x'
last_day = 2027-01-01
results_until = 2027-01-01T00:00:00+02:00
";
    let errors = parse_file("test.toml", text).unwrap_err();
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    expect![[r#"
        test.toml:1: model a: unknown field `colour`, expected one of `name`, `description`, `context_tokens`, `max_output_tokens`
        test.toml:7: route without a name: missing field `name`
        test.toml:10: batch_policy p: invalid type: string "high", expected f64
        test.toml:16: retirement_plan r: "2027-01-01" is not an RFC 3339 date-time in UTC, such as 2027-03-31T22:00:00Z"#]].assert_eq(&errors.join("\n"));
    let unknown = parse_file("test.toml", "\n[[modle]]\nname = 'a'\n").unwrap_err();
    expect!["test.toml:2: unknown field `modle`, expected one of `model`, `version`, `adapter`, `route`, `batch_policy`, `retirement_plan`"].assert_eq(&unknown[0].to_string());
}

/// Guards against losing or changing objects when a set is written to a file and parsed again.
#[test]
fn written_files_round_trip() {
    for name in ["kegtalk", "stitchwriter"] {
        let set = common::example_set(name);
        assert_eq!(parse_file("out.toml", &write_file(&set).unwrap()).unwrap(), set);
    }
}
