//! Fault injection with fixed seeds for the gateways and drivers, which run as separate processes.
//!
//! For `soak_by_hand`, `DOGWOODTRAY_SOAK_SEED`, `DOGWOODTRAY_SOAK_SEEDS` and
//! `DOGWOODTRAY_SOAK_SECONDS` set the first seed, the number of seeds and the duration of the
//! faults in each run. `DOGWOODTRAY_SOAK_GATEWAYS` and `DOGWOODTRAY_SOAK_DRIVERS` set the number of
//! processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod soak_support;

use std::io::ErrorKind;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use soak_support::fleet::Fleet;
use soak_support::fleet::wait_until;
use soak_support::oracle;
use soak_support::run::log_dir;
use soak_support::run::new_dir;
use soak_support::run::run;
use soak_support::run::seed_name;
use soak_support::standin::caller;
use soak_support::standin::endpoint::LONG;
use soak_support::standin::endpoint::Run;
use soak_support::standin::endpoint::SLOW;
use soak_support::standin::endpoint::item_output;
use soak_support::standin::site::HOST;
use soak_support::standin::site::submission;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;

/// Duration of the faults in each run of the tests.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Time after which a driver has replicated the output of its items to another driver. Drivers do
/// so once a second.
const REPLICATION_TIME: Duration = Duration::from_millis(1_700);

/// Runs one seed and returns the violations. Seeds run one at a time, because each starts several
/// processes.
fn soak(seed: u64, load: Duration) -> Vec<(oracle::Rule, String)> {
    static SEED_LOCK: Mutex<()> = Mutex::new(());
    let _guard = SEED_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let history = run(seed, load);
    let violations = oracle::check(&history);
    let answered = history.calls.iter().filter(|call| call.has_full_answer()).count();
    let accepted = history.jobs.iter().filter(|job| job.accepted).count();
    println!(
        "seed {seed}: {answered} of {} calls served, {accepted} of {} jobs accepted, {} violations",
        history.calls.len(),
        history.jobs.len(),
        violations.len()
    );
    if violations.is_empty() {
        std::fs::remove_dir_all(log_dir(&seed_name(seed))).unwrap();
    } else {
        std::fs::write(
            log_dir(&seed_name(seed)).join("violations.txt"),
            format!("{violations:#?}"),
        )
        .unwrap();
    }
    violations
}

fn assert_no_violations(seed: u64) {
    let violations = soak(seed, LOAD_DURATION);
    let logs = log_dir(&seed_name(seed));
    assert!(violations.is_empty(), "seed {seed}, logs in {logs:?}: {violations:#?}");
}

/// Guards against lost, duplicate or wrong responses and results, and against requests that run
/// although their response says that they did not, while processes, connections and the store fail.
///
/// This seed has produced two faults that restarted the same driver: the second process could not
/// bind the port, and its exit was reported as a crash.
#[test]
fn seed_100_has_no_violations() {
    assert_no_violations(100);
}

/// Guards against the same failures with another order of the faults.
///
/// This seed has produced a job whose end took effect although its caller received no confirmation;
/// its missing results were reported as a violation.
#[test]
fn seed_112_has_no_violations() {
    assert_no_violations(112);
}

/// Kills the driver of a long item, restarts it after `downtime` and returns the runs of the item.
fn runs_around_a_restart(name: &str, downtime: Duration) -> Vec<Run> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = new_dir(name);
    runtime.block_on(async {
        let fleet = Fleet::start(&dir).await;
        let gateway = fleet.gateways()[0].callers;
        let (job, item) = (format!("{LONG}-{name}"), format!("{LONG}-{name}.0"));
        let body = submission(&[&item]);
        wait_until("the job is accepted", async || {
            caller::submit(gateway, &job, &body).await == Some(202)
        })
        .await;
        let runs = || {
            let runs = fleet.runs.lock().unwrap().clone();
            runs.into_iter().filter(|run| run.request == item).collect::<Vec<Run>>()
        };
        wait_until("the item runs", async || !runs().is_empty()).await;
        tokio::time::sleep(REPLICATION_TIME).await;
        let claimed = format!("job claimed request={job}");
        let drivers = fleet.drivers().iter().map(|driver| &driver.process);
        let owner = drivers.clone().find(|process| process.log().contains(&claimed)).unwrap();
        owner.kill();
        tokio::time::sleep(downtime).await;
        owner.restart();
        wait_until("the job is done", async || {
            let page = caller::results(gateway, &job, 0).await;
            page.is_ok_and(|page| page.results.iter().any(|r| r.output == item_output(&item)))
        })
        .await;
        runs()
    })
}

/// Guards against an item that runs again from the start when its driver is killed and restarts
/// before another driver has claimed its jobs, although that driver holds a copy of the output.
#[test]
fn driver_restarted_immediately_resumes_its_items() {
    let runs = runs_around_a_restart("at-once", Duration::ZERO);
    let has_resumed = |run: &Run| run.resumed_after.is_some_and(|after| after > 20);
    assert!(runs.len() > 1 && runs[1..].iter().all(has_resumed), "{runs:#?}");
}

/// Guards against an item that runs again from the start or from an older event when a restarted
/// driver reclaims its jobs from the driver that has continued them.
#[test]
fn driver_restarted_later_resumes_from_the_other_drivers_progress() {
    let runs = runs_around_a_restart("later", Duration::from_millis(2_500));
    let after: Vec<Option<u64>> = runs.iter().map(|run| run.resumed_after).collect();
    let has_resumed = |after: &Option<u64>| after.is_some_and(|after| after > 20);
    assert!(
        after.len() > 1 && after[1..].iter().all(has_resumed) && after.is_sorted(),
        "{runs:#?}"
    );
}

/// Guards against a stream that looks complete to a caller of HTTP/1.0 because its gateway was killed.
#[test]
fn a_killed_gateway_resets_its_callers_of_http_1_0() {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(&new_dir("http-1-0")).await;
        let gateway = &fleet.gateways()[0];
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let request = format!(
            "POST /stream/x HTTP/1.0\r\nhost: {HOST}\r\nattempt-id: {SLOW}\r\n\
             deadline-ms: 5000\r\ncontent-length: 4\r\n\r\nslip"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"\n\n") {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0, "no event");
        }
        gateway.process.kill();
        let ended = loop {
            match stream.read_buf(&mut received).await {
                Ok(read) if read > 0 => {}
                ended => break ended,
            }
        };
        assert_eq!(ended.unwrap_err().kind(), ErrorKind::ConnectionReset);
    });
}

/// Runs the seeds set in the environment, or nothing if none is set.
#[test]
fn soak_by_hand() {
    let setting = |name: &str| std::env::var(name).ok().map(|value| value.parse::<u64>().unwrap());
    let Some(first) = setting("DOGWOODTRAY_SOAK_SEED") else { return };
    let seeds = setting("DOGWOODTRAY_SOAK_SEEDS").unwrap_or(1);
    let load = setting("DOGWOODTRAY_SOAK_SECONDS").map_or(LOAD_DURATION, Duration::from_secs);
    let failed_seeds: Vec<_> = (first..first + seeds)
        .map(|seed| (seed, soak(seed, load)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(failed_seeds.is_empty(), "{failed_seeds:#?}");
}
