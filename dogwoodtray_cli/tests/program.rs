//! The program as operators start it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Command;

fn exit_of(args: &[&str], platform: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodtray"))
        .args(args)
        .env("DOGWOODTRAY_PLATFORM", platform)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// Guards against exit codes other than the documented ones, and against an environment variable
/// that is not read.
#[test]
fn exit_codes_are_as_documented() {
    assert_eq!(exit_of(&["--help"], "").0, Some(0));
    assert_eq!(exit_of(&["--version"], "").0, Some(0));
    assert_eq!(exit_of(&["chekc"], "").0, Some(2));
    let (code, err) = exit_of(&["jobs", "--timeout-s=1"], "localhost:80");
    assert_eq!((code, err.contains("localhost:80")), (Some(2), true), "{err}");
    let (code, err) = exit_of(&["jobs", "--timeout-s=1"], "127.0.0.1:1");
    assert_eq!((code, err.contains("127.0.0.1:1")), (Some(3), true), "{err}");
}
