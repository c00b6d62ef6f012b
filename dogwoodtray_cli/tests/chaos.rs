//! Fault injection with fixed seeds for a fleet of separate processes.
//!
//! For `chaos_by_hand`, `DOGWOODTRAY_CHAOS_SEED` and `DOGWOODTRAY_CHAOS_SECONDS` set the seed and
//! the duration of the load.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod chaos_support;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chaos_support::oracle;
use chaos_support::run::log_dir;
use chaos_support::run::run;

/// Duration of the load under faults in each run of the tests. The start of the processes, the
/// drains and the recovery take additional time.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Runs one seed and panics if there are violations. Seeds run one at a time, because each starts a
/// dozen processes.
fn chaos(seed: u64, load: Duration) {
    static SEED_LOCK: Mutex<()> = Mutex::new(());
    let _guard = SEED_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (history, statistics) = run(seed, load);
    println!("{statistics}");
    let violations = oracle::check(&history);
    let logs = log_dir(seed);
    assert!(
        violations.is_empty(),
        "seed {seed}, logs in {logs:?}: {} violations: {violations:#?}",
        violations.len()
    );
    std::fs::remove_dir_all(logs).unwrap();
}

/// Guards against lost, duplicate or wrong results, and against requests that run although their
/// response says that they did not, while processes, connections and the platform fail.
#[test]
fn seed_1_has_no_violations() {
    chaos(1, LOAD_DURATION);
}

/// Guards against the same failures with another order of the faults.
#[test]
fn seed_2_has_no_violations() {
    chaos(2, LOAD_DURATION);
}

/// Guards against the same failures with another order of the faults.
#[test]
fn seed_7_has_no_violations() {
    chaos(7, LOAD_DURATION);
}

/// Runs the seed set in the environment, or nothing if none is set.
#[test]
fn chaos_by_hand() {
    let setting = |name: &str| std::env::var(name).ok().map(|value| value.parse().unwrap());
    let Some(seed) = setting("DOGWOODTRAY_CHAOS_SEED") else { return };
    let load = setting("DOGWOODTRAY_CHAOS_SECONDS").map_or(LOAD_DURATION, Duration::from_secs);
    chaos(seed, load);
}
