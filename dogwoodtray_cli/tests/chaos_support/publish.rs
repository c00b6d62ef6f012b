//! Concurrent publications of configurations.

use std::fs;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use serde_json::Value;

use super::fleet::MODEL;
use super::fleet::SERVICE;
use super::run::TestRun;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dogwoodtray");
const PUBLISH_INTERVAL: Duration = Duration::from_millis(700);
const MAX_PUBLISH_ATTEMPTS: usize = 10;

/// Starts two concurrent publications from the same base at fixed intervals until the load ends.
pub(crate) fn run(test_run: &TestRun) {
    let mut round = 0;
    while !test_run.stop_load.load(SeqCst) {
        if let Some(base) = published_set(test_run) {
            let publishers =
                ["a", "b"].map(|side| publish(test_run, Some(&base), &format!("{round}{side}")));
            publishers.into_iter().for_each(|publisher| record_result(test_run, publisher));
        }
        std::thread::sleep(PUBLISH_INTERVAL);
        round += 1;
    }
}

/// Retries until a publication is confirmed.
pub(crate) fn publish_until_confirmed(test_run: &TestRun, name: &str) {
    let before = test_run.published.lock().unwrap().len();
    for number in 0..MAX_PUBLISH_ATTEMPTS {
        let base = published_set(test_run);
        record_result(test_run, publish(test_run, base.as_deref(), &format!("{name}{number}")));
        if test_run.published.lock().unwrap().len() > before {
            return;
        }
    }
    panic!("nothing could be published");
}

/// Returns the id of the published set.
fn published_set(test_run: &TestRun) -> Option<String> {
    let output = operator_command(test_run, "export").output().unwrap();
    let json: Value = serde_json::from_slice(&output.stdout).ok()?;
    json["set"].as_str().map(ToOwned::to_owned)
}

fn publish(test_run: &TestRun, base: Option<&str>, description: &str) -> Child {
    let dir = test_run.fleet.dir.join(format!("objects-{description}"));
    write_objects(&dir, description);
    let mut command = operator_command(test_run, "publish");
    if let Some(base) = base {
        command.args(["--base", base]);
    }
    command.arg(dir).stdout(Stdio::piped()).spawn().unwrap()
}

/// Waits for a publisher and records the generation if its publication was confirmed.
fn record_result(test_run: &TestRun, publisher: Child) {
    let output = publisher.wait_with_output().unwrap();
    let Ok(json) = serde_json::from_slice::<Value>(&output.stdout) else { return };
    if json["result"] == "published" {
        test_run.published.lock().unwrap().push(json["generation"].as_u64().unwrap());
    }
}

fn operator_command(test_run: &TestRun, command: &str) -> Command {
    let mut cli = Command::new(PROGRAM);
    let platform = test_run.fleet.platform.to_string();
    cli.args([command, "--json", "--timeout-s", "5", "--platform", &platform]);
    cli.stderr(Stdio::null());
    cli
}

fn write_objects(dir: &Path, description: &str) {
    let objects = format!(
        "[[model]]\nname = \"{MODEL}\"\ndescription = \"{description}\"\ncontext_tokens = 16384\n\
         max_output_tokens = 1024\n\n\
         [[version]]\nname = \"{MODEL}-1\"\nmodel = \"{MODEL}\"\nweights = \"w\"\n\
         accelerators = 1\n\n\
         [[route]]\nname = \"{MODEL}\"\nmodel = \"{MODEL}\"\nversion = \"{MODEL}-1\"\n\
         default_deadline_ms = 6000\norganisations = [\"*\"]\n\n\
         [[route]]\nname = \"{SERVICE}\"\nservice = \"{SERVICE}\"\n\
         non_idempotent_paths = [\"/payouts\"]\ndefault_deadline_ms = 6000\n\
         organisations = [\"*\"]\n"
    );
    fs::create_dir_all(dir).unwrap();
    fs::write(dir.join("objects.toml"), objects).unwrap();
}
