//! Graceful shutdowns under load.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use serde_json::json;

use super::fleet::Endpoint;
use super::fleet::Entry;
use super::history::Call;
use super::history::Drain;
use super::history::Outcome;
use super::history::Runs;
use super::http;
use super::observer::read_endpoint;
use super::observer::read_states;
use super::run::TestRun;

/// Maximum duration of a drain: the drain timeout of a process (30 s) plus a margin.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(32);

/// Time after the exit of a process in which its callers detect the closed connections.
const DISCONNECT_DELAY: Duration = Duration::from_millis(300);

/// Drains an entry under load and restarts it.
pub(crate) fn drain_entry(test_run: &TestRun, entry: &Entry, index: usize) {
    test_run.record_fault(format!("drain {}", entry.process.name));
    // The entry leaves the load balancer first, as it does when a VM is replaced.
    entry.in_balancer.store(false, SeqCst);
    let began = test_run.now_ms();
    http::send_json("POST", entry.admin, "/drain", &json!({}));
    let exit_code = entry.process.wait(DRAIN_TIMEOUT);
    std::thread::sleep(DISCONNECT_DELAY);
    let ended = test_run.now_ms();
    let was_interrupted = |call: &&Call| {
        call.entry == index
            && call.outcome == Outcome::Broken
            && (began..=ended).contains(&call.ended_ms)
    };
    let calls = test_run.calls.lock().unwrap();
    let mut interrupted: Vec<String> =
        calls.iter().filter(was_interrupted).map(|call| format!("{call:?}")).collect();
    drop(calls);
    interrupted.extend(drain_timeout_event(&entry.process.log()));
    test_run.drains.lock().unwrap().push(Drain {
        node: entry.process.name.clone(),
        exit_code,
        interrupted,
        ended_early: Vec::new(),
        cancelled_hedges: 0,
        cancelled_jobs: Vec::new(),
    });
    entry.process.restart();
    entry.in_balancer.store(true, SeqCst);
}

/// Drains an agent under load and restarts it.
pub(crate) fn drain_agent(test_run: &TestRun, endpoint: &Endpoint) {
    test_run.record_fault(format!("drain {}", endpoint.agent.name));
    let (before, hedges_before) = read_runs_and_hedges(test_run, endpoint);
    http::send_json("POST", endpoint.admin, "/drain", &json!({}));
    let exit_code = endpoint.agent.wait(DRAIN_TIMEOUT);
    let (after, hedges_after) = read_runs_and_hedges(test_run, endpoint);
    let log = endpoint.agent.log();
    let jobs = test_run.jobs.lock().unwrap();
    let cancelled = jobs.iter().filter(|job| job.cancelled.is_some());
    let cancelled_jobs = cancelled.map(|job| job.id.clone()).collect();
    drop(jobs);
    test_run.drains.lock().unwrap().push(Drain {
        node: endpoint.agent.name.clone(),
        exit_code,
        interrupted: drain_timeout_event(&log).into_iter().collect(),
        ended_early: runs_ended_early(&before, &after),
        cancelled_hedges: hedges_after - hedges_before,
        cancelled_jobs,
    });
    endpoint.agent.restart();
}

fn drain_timeout_event(log: &str) -> Option<String> {
    log.lines().find(|line| line.contains("DT1005")).map(ToOwned::to_owned)
}

fn read_runs_and_hedges(test_run: &TestRun, endpoint: &Endpoint) -> (Runs, u64) {
    read_endpoint(test_run, endpoint);
    read_states(test_run);
    let observed = test_run.observed.lock().unwrap();
    let runs = observed.runs[&endpoint.server.instance_name()].clone();
    (runs, observed.retries_and_hedges().1)
}

/// Returns the requests that were cancelled or crashed between two readings.
fn runs_ended_early(before: &Runs, after: &Runs) -> Vec<String> {
    let count_ended_early = |run: &str, runs: &Runs| {
        runs.get(run).map_or(0, |counts| counts.cancelled + counts.crashed)
    };
    let has_ended = |run: &&String| count_ended_early(run, after) > count_ended_early(run, before);
    after.keys().filter(has_ended).cloned().collect()
}
