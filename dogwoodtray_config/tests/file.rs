//! Files of operators.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use dogwoodtray_config::check;
use dogwoodtray_config::parse_file;
use dogwoodtray_config::write_file;
use expect_test::expect;

/// Guards against examples that a reader copies and that are then refused.
#[test]
fn examples_have_no_findings() {
    for name in ["kegtalk", "stitchwriter"] {
        assert_eq!(check(&common::example(name)), [], "{name}");
    }
}

/// Guards against an error that hides the next one, and against a field that is dropped silently.
#[test]
fn every_table_with_an_error_is_listed() {
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

/// Guards against a set that cannot be taken over into files unchanged.
#[test]
fn written_files_read_back_equal() {
    for name in ["kegtalk", "stitchwriter"] {
        let set = common::example(name);
        assert_eq!(parse_file("out.toml", &write_file(&set).unwrap()).unwrap(), set);
    }
}
