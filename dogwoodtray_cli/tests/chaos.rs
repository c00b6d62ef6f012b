//! Seeded failures of a fleet of separate processes.
//!
//! `DOGWOODTRAY_CHAOS_SEED` and `DOGWOODTRAY_CHAOS_SECONDS` choose another seed and a longer load
//! for `chaos_by_hand`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod chaos_support;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chaos_support::oracle;
use chaos_support::run::log_dir;
use chaos_support::run::run;

/// Load under faults in each run of the tests; starting, drains and settling come on top.
const LOAD: Duration = Duration::from_secs(8);

/// Runs one seed. Seeds run one after another, because each starts a dozen processes.
fn chaos(seed: u64, load: Duration) {
    static TURN: Mutex<()> = Mutex::new(());
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (history, figures) = run(seed, load);
    println!("{figures}");
    let found = oracle::check(&history);
    let logs = log_dir(seed);
    assert!(
        found.is_empty(),
        "seed {seed}, logs in {logs:?}: {} violations: {found:#?}",
        found.len()
    );
    std::fs::remove_dir_all(logs).unwrap();
}

/// Guards against lost, doubled or wrong results, and against runs that a caller was told did not
/// happen, while processes, connections and the platform fail.
#[test]
fn seed_1_keeps_every_promise() {
    chaos(1, LOAD);
}

/// Guards against the same under another order of the faults.
#[test]
fn seed_2_keeps_every_promise() {
    chaos(2, LOAD);
}

/// Guards against the same under another order of the faults.
#[test]
fn seed_7_keeps_every_promise() {
    chaos(7, LOAD);
}

/// Runs the seed that the environment names, and nothing without it.
#[test]
fn chaos_by_hand() {
    let setting = |name: &str| std::env::var(name).ok().map(|value| value.parse().unwrap());
    let Some(seed) = setting("DOGWOODTRAY_CHAOS_SEED") else { return };
    let load = setting("DOGWOODTRAY_CHAOS_SECONDS").map_or(LOAD, Duration::from_secs);
    chaos(seed, load);
}
