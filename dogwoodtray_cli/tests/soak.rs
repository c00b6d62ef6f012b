//! Seeded failures of the programs that serve the users' platform, as separate processes.
//!
//! `DOGWOODTRAY_SOAK_SEED`, `DOGWOODTRAY_SOAK_SEEDS` and `DOGWOODTRAY_SOAK_SECONDS` choose the first
//! seed, their number and the length of the faults for `soak_by_hand`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod soak_support;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use soak_support::oracle;
use soak_support::run::log_dir;
use soak_support::run::run;

/// Time of the faults in each run of the tests.
const LOAD: Duration = Duration::from_secs(8);

/// Runs one seed and returns what it breaks. Seeds run one after another, because each starts
/// several processes.
fn soak(seed: u64, load: Duration) -> Vec<(oracle::Rule, String)> {
    static TURN: Mutex<()> = Mutex::new(());
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let history = run(seed, load);
    let found = oracle::check(&history);
    let served = history.calls.iter().filter(|call| call.is_served()).count();
    let accepted = history.jobs.iter().filter(|job| job.accepted).count();
    println!(
        "seed {seed}: {served} of {} calls served, {accepted} of {} jobs accepted, {} violations",
        history.calls.len(),
        history.jobs.len(),
        found.len()
    );
    if found.is_empty() {
        std::fs::remove_dir_all(log_dir(seed)).unwrap();
    } else {
        std::fs::write(log_dir(seed).join("violations.txt"), format!("{found:#?}")).unwrap();
    }
    found
}

fn assert_keeps_promises(seed: u64) {
    let found = soak(seed, LOAD);
    let logs = log_dir(seed);
    assert!(found.is_empty(), "seed {seed}, logs in {logs:?}: {found:#?}");
}

/// Guards against lost, doubled or wrong answers and results, and against requests that run though
/// their caller was told that they do not, while processes, connections and the store fail.
#[test]
fn seed_1_keeps_every_promise() {
    assert_keeps_promises(1);
}

/// Guards against the same under another order of the faults.
#[test]
fn seed_2_keeps_every_promise() {
    assert_keeps_promises(2);
}

/// Runs the seeds that the environment names, and nothing without them.
#[test]
fn soak_by_hand() {
    let setting = |name: &str| std::env::var(name).ok().map(|value| value.parse::<u64>().unwrap());
    let Some(first) = setting("DOGWOODTRAY_SOAK_SEED") else { return };
    let seeds = setting("DOGWOODTRAY_SOAK_SEEDS").unwrap_or(1);
    let load = setting("DOGWOODTRAY_SOAK_SECONDS").map_or(LOAD, Duration::from_secs);
    let broken: Vec<_> = (first..first + seeds)
        .map(|seed| (seed, soak(seed, load)))
        .filter(|(_, found)| !found.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
