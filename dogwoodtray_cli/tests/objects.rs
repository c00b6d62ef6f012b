//! The subcommands `check`, `diff`, `export`, `publish` and `jobs`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "each test file uses part of the servers")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::run;
use dogwoodtray_cli::Exit;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_platform::MemoryStore;
use expect_test::expect;

fn model(name: &str, context_tokens: u32) -> String {
    format!(
        "[[model]]\nname = '{name}'\ncontext_tokens = {context_tokens}\nmax_output_tokens = 1\n"
    )
}

/// Runs a subcommand against the platform at an address.
fn run_at(platform: SocketAddr, args: &[&str]) -> common::Output {
    let platform = platform.to_string();
    run(&[args, &["--platform", &platform]].concat())
}

/// Returns the id of the set from the first line of the output of `publish`.
fn published_set(out: &str) -> String {
    out.lines().next().unwrap().rsplit(' ').next().unwrap().to_owned()
}

/// Guards against examples in the repository that the documented command rejects.
#[test]
fn check_accepts_the_examples() {
    let output = run(&["check", &common::example("kegtalk")]);
    assert_eq!(output.exit, Exit::Ok);
    expect![[r#"
        12 objects without errors, 853 of 1000000 bytes
    "#]]
    .assert_eq(&output.out);
}

/// Guards against changes of the exit code and the JSON of `check`, which deployment scripts use.
#[test]
fn check_lists_findings() {
    let dir = common::write_objects(
        "findings",
        "[[model]]\nname = 'm'\ncontext_tokens = 0\nmax_output_tokens = 9\n",
    );
    let output = run(&["check", &dir]);
    assert_eq!(output.exit, Exit::Findings);
    expect![[r#"
        model m: context_tokens: 0 is out of range, allowed are 1 to 10000000
        model m: max_output_tokens: 9 is out of range, allowed are 1 to context_tokens
        errors: 2
    "#]]
    .assert_eq(&output.out);
    let output = run(&["check", &dir, "--json"]);
    expect![[r#"
        {"files":[],"findings":[{"field":"context_tokens","kind":"model","object":"m","reason":"0 is out of range, allowed are 1 to 10000000"},{"field":"max_output_tokens","kind":"model","object":"m","reason":"9 is out of range, allowed are 1 to context_tokens"}]}
    "#]].assert_eq(&output.out);
    let dir = common::write_objects("unknown-field", "[[model]]\nname = 'm'\nsize = 1\n");
    expect![[r#"
        objects.toml:1: model m: unknown field `size`, expected one of `name`, `description`, `context_tokens`, `max_output_tokens`
        errors: 1
    "#]].assert_eq(&run(&["check", &dir]).out);
    let output = run(&["check", "/does/not/exist"]);
    assert_eq!(output.exit, Exit::Usage);
    assert!(output.err.starts_with("error: /does/not/exist cannot be read"), "{}", output.err);
}

/// Guards against a publication that does not list its changes, and against one that reverts
/// changes that others have published since its base.
#[test]
fn edits_are_listed_published_and_merged() {
    let platform = common::serve_platform(MemoryStore::new());
    let first = common::write_objects("first", &(model("a", 1) + &model("b", 1)));
    let output = run_at(platform, &["publish", &first, "--note", "start"]);
    expect![[r#"
        published generation 1 as set 1-263b39b9239f002b
        + model a
        + model b
    "#]]
    .assert_eq(&output.out);
    let base = published_set(&output.out);

    let ours = common::write_objects("ours", &(model("a", 2) + &model("c", 1)));
    let output = run_at(platform, &["diff", &ours]);
    expect![[r#"
        against set 1-263b39b9239f002b: 3 changes
        ~ model a
            context_tokens: 1 -> 2
        - model b
        + model c
    "#]]
    .assert_eq(&output.out);
    let output = run_at(platform, &["publish", &ours]);
    assert_eq!(output.exit, Exit::Usage);
    expect![[r#"
        error: a set is published already; name the one that the edits started from by --base (the current one is 1-263b39b9239f002b)
    "#]].assert_eq(&output.err);
    let output = run_at(platform, &["publish", &ours, "--base", &base]);
    assert_eq!(output.exit, Exit::Ok);

    let theirs =
        common::write_objects("theirs", &(model("a", 1) + &model("b", 1) + &model("d", 1)));
    let output = run_at(platform, &["publish", &theirs, "--base", "1"]);
    expect![[r#"
        published generation 3 as set 3-db99954098defef0
        + model d
        merged with changes of others, which the directory lacks; see `export`:
        ~ model a
            context_tokens: 1 -> 2
        - model b
        + model c
    "#]]
    .assert_eq(&output.out);
    let output = run_at(platform, &["export"]);
    expect![[r##"
        # Set 3-db99954098defef0. Publish edits of it with --base 3-db99954098defef0.
        version = []
        adapter = []
        route = []
        batch_policy = []
        retirement_plan = []

        [[model]]
        name = "a"
        context_tokens = 2
        max_output_tokens = 1

        [[model]]
        name = "c"
        context_tokens = 1
        max_output_tokens = 1

        [[model]]
        name = "d"
        context_tokens = 1
        max_output_tokens = 1
    "##]]
    .assert_eq(&output.out);
    let output = run_at(platform, &["publish", &theirs, "--base", "1"]);
    assert_eq!((output.exit, output.out.contains("nothing to publish")), (Exit::Ok, true));
}

/// Guards against a conflict that exits with the code of a success.
#[test]
fn conflict_shows_both_versions_and_fails() {
    let platform = common::serve_platform(MemoryStore::new());
    let publish = |name: &str, context, base: &[&str]| {
        let dir = common::write_objects(name, &model("a", context));
        run_at(platform, &[&["publish", &dir], base].concat())
    };
    let base = published_set(&publish("base", 1, &[]).out);
    publish("winner", 2, &["--base", &base]);
    let output = publish("loser", 3, &["--base", &base]);
    assert_eq!(output.exit, Exit::Findings);
    expect![[r#"
        conflict: others changed 1 of the edited objects
        ! model a
            base:   {"model":{"name":"a","context_tokens":1,"max_output_tokens":1}}
            ours:   {"model":{"name":"a","context_tokens":3,"max_output_tokens":1}}
            theirs: {"model":{"name":"a","context_tokens":2,"max_output_tokens":1}} (generation 2)
        nothing was published
    "#]]
    .assert_eq(&output.out);
}

/// Guards against a command that hangs when the platform is unreachable, or exits with the code of
/// a conflict.
#[test]
fn unreachable_platform_is_reported() {
    let dir = common::write_objects("outage", &model("a", 1));
    let output = run_at(common::UNREACHABLE_ADDR, &["publish", &dir, "--timeout-s", "1"]);
    assert_eq!(output.exit, Exit::Unreachable);
    assert!(output.err.ends_with("gave no result within 1 s\n"), "{}", output.err);
}

/// Guards against a list of jobs that contains only the first page.
#[test]
fn jobs_lists_all_pages() {
    let store = MemoryStore::new();
    for id in ["j1", "j2", "j3", "j4", "j5"] {
        let key = ObjectKey::new("open-jobs", id);
        store.apply(&StoreOp::Put {
            key,
            expect: Precondition::Absent,
            value: Arc::from(&b""[..]),
        });
    }
    let output = run_at(common::serve_platform(store), &["jobs"]);
    assert_eq!(output.out, "open jobs: 5\nj1\nj2\nj3\nj4\nj5\n");
}
