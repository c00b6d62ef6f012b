//! Exit codes of the `dogwoodtray` binary.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Command;

fn run_binary(args: &[&str], platform: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodtray"))
        .args(args)
        .env("DOGWOODTRAY_PLATFORM", platform)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// Guards against exit codes that differ from the documented ones, and against a command line that
/// ignores `DOGWOODTRAY_PLATFORM`.
#[test]
fn exit_codes_match_documentation() {
    assert_eq!(run_binary(&["--help"], "").0, Some(0));
    assert_eq!(run_binary(&["--version"], "").0, Some(0));
    assert_eq!(run_binary(&["chekc"], "").0, Some(2));
    let (code, err) = run_binary(&["jobs", "--timeout-s=1"], "localhost:80");
    assert_eq!((code, err.contains("localhost:80")), (Some(2), true), "{err}");
    let (code, err) = run_binary(&["jobs", "--timeout-s=1"], "127.0.0.1:1");
    assert_eq!((code, err.contains("127.0.0.1:1")), (Some(3), true), "{err}");
}
