//! Seeded failures of the programs that serve the users' platform, as separate processes.
//!
//! `DOGWOODTRAY_SOAK_SEED`, `DOGWOODTRAY_SOAK_SEEDS` and `DOGWOODTRAY_SOAK_SECONDS` choose the first
//! seed, their number and the length of the faults for `soak_by_hand`, and `DOGWOODTRAY_SOAK_GATEWAYS`
//! and `DOGWOODTRAY_SOAK_DRIVERS` the size of the fleet.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod soak_support;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use soak_support::fleet::Fleet;
use soak_support::fleet::until;
use soak_support::oracle;
use soak_support::run::log_dir;
use soak_support::run::new_dir;
use soak_support::run::run;
use soak_support::run::seed_name;
use soak_support::standin::caller;
use soak_support::standin::endpoint::LONG;
use soak_support::standin::endpoint::Run;
use soak_support::standin::endpoint::item_output;
use soak_support::standin::site::submission;
use tokio::runtime::Builder;

/// Time of the faults in each run of the tests.
const LOAD: Duration = Duration::from_secs(8);

/// Time in which a driver hands the output of its items to another one, every second, and some.
const PROGRESS_TIME: Duration = Duration::from_millis(1_700);

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
        std::fs::remove_dir_all(log_dir(&seed_name(seed))).unwrap();
    } else {
        std::fs::write(log_dir(&seed_name(seed)).join("violations.txt"), format!("{found:#?}"))
            .unwrap();
    }
    found
}

fn assert_keeps_promises(seed: u64) {
    let found = soak(seed, LOAD);
    let logs = log_dir(&seed_name(seed));
    assert!(found.is_empty(), "seed {seed}, logs in {logs:?}: {found:#?}");
}

/// Guards against lost, doubled or wrong answers and results, and against requests that run though
/// their caller was told that they do not, while processes, connections and the store fail.
///
/// This seed once reported a driver that had ended by itself: two faults had started it twice.
#[test]
fn seed_100_keeps_every_promise() {
    assert_keeps_promises(100);
}

/// Guards against the same under another order of the faults.
///
/// This seed once reported a job without results, whose end had taken effect without a
/// confirmation.
#[test]
fn seed_112_keeps_every_promise() {
    assert_keeps_promises(112);
}

/// Kills the driver of a long item, starts it again after a time, and returns the runs of the item.
fn runs_around_a_restart(name: &str, down: Duration) -> Vec<Run> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = new_dir(name);
    runtime.block_on(async {
        let fleet = Fleet::start(&dir).await;
        let gateway = fleet.gateways()[0].callers;
        let (job, item) = (format!("{LONG}-{name}"), format!("{LONG}-{name}.0"));
        let body = submission(&[&item]);
        until("the job is accepted", async || {
            caller::submit(gateway, &job, &body).await == Some(202)
        })
        .await;
        let runs = || {
            let runs = fleet.runs.lock().unwrap().clone();
            runs.into_iter().filter(|run| run.request == item).collect::<Vec<Run>>()
        };
        until("the item runs", async || !runs().is_empty()).await;
        tokio::time::sleep(PROGRESS_TIME).await;
        let claimed = format!("job claimed request={job}");
        let drivers = fleet.drivers().iter().map(|driver| &driver.process);
        let owner = drivers.clone().find(|process| process.log().contains(&claimed)).unwrap();
        owner.kill();
        tokio::time::sleep(down).await;
        owner.restart();
        until("the job is done", async || {
            let page = caller::results(gateway, &job, 0).await;
            page.is_ok_and(|page| page.results.iter().any(|r| r.output == item_output(&item)))
        })
        .await;
        runs()
    })
}

/// Guards against work that is run again because a driver was killed and came back before another
/// one took its jobs over, while that one kept the output.
#[test]
fn a_driver_that_restarts_at_once_goes_on_where_it_stopped() {
    let runs = runs_around_a_restart("at-once", Duration::ZERO);
    let kept = |run: &Run| run.resumed_after.is_some_and(|after| after > 20);
    assert!(runs.len() > 1 && runs[1..].iter().all(kept), "{runs:#?}");
}

/// Guards against work that is run again because a driver takes its jobs back from another one
/// that had gone on with them.
#[test]
fn a_driver_that_returns_goes_on_where_the_other_stopped() {
    let runs = runs_around_a_restart("later", Duration::from_millis(2_500));
    let after: Vec<Option<u64>> = runs.iter().map(|run| run.resumed_after).collect();
    let kept = |after: &Option<u64>| after.is_some_and(|after| after > 20);
    assert!(after.len() > 1 && after[1..].iter().all(kept) && after.is_sorted(), "{runs:#?}");
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
