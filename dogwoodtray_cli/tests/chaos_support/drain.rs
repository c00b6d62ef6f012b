//! Graceful shutdowns.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use serde_json::json;

use super::fleet::Endpoint;
use super::fleet::Entry;
use super::history::Call;
use super::history::Drained;
use super::history::Outcome;
use super::history::Runs;
use super::http;
use super::observer::read_endpoint;
use super::observer::read_states;
use super::run::World;

/// Longest time that a drain may take: the drain timeout of a process and some slack.
const BOUND: Duration = Duration::from_secs(32);

/// Time in which callers whose connections broke at the end of a process notice it.
const CALLERS_NOTICE: Duration = Duration::from_millis(300);

/// Drains an entry under load, and starts it again.
pub(crate) fn drain_entry(world: &World, entry: &Entry, index: usize) {
    world.note_fault(format!("drain {}", entry.process.name));
    // The balancer learns of it first, as it does when a VM is replaced.
    entry.balanced.store(false, SeqCst);
    let began = world.now_ms();
    http::must("POST", entry.admin, "/drain", &json!({}));
    let exit = entry.process.wait(BOUND);
    std::thread::sleep(CALLERS_NOTICE);
    let ended = world.now_ms();
    let broke = |call: &&Call| {
        call.entry == index
            && call.outcome == Outcome::Broken
            && (began..=ended).contains(&call.ended_ms)
    };
    let calls = world.calls.lock().unwrap();
    let mut cut: Vec<String> = calls.iter().filter(broke).map(|call| format!("{call:?}")).collect();
    drop(calls);
    cut.extend(timed_out(&entry.process.log()));
    world.drained.lock().unwrap().push(Drained { node: entry.process.name.clone(), exit, cut });
    entry.process.restart();
    entry.balanced.store(true, SeqCst);
}

/// Drains an agent under load, and starts it again.
pub(crate) fn drain_agent(world: &World, endpoint: &Endpoint) {
    world.note_fault(format!("drain {}", endpoint.agent.name));
    let (before, hedges_before) = state(world, endpoint);
    http::must("POST", endpoint.admin, "/drain", &json!({}));
    let exit = endpoint.agent.wait(BOUND);
    let (after, hedges_after) = state(world, endpoint);
    let log = endpoint.agent.log();
    // Losers of hedges are cancelled on purpose.
    let on_purpose = hedges_after - hedges_before;
    let mut cut: Vec<String> = timed_out(&log).into_iter().collect();
    let lost = lost_runs(world, &before, &after);
    if lost.len() as u64 > on_purpose {
        cut.push(format!("{lost:?} ended early, {on_purpose} of them on purpose"));
    }
    let node = endpoint.agent.name.clone();
    world.drained.lock().unwrap().push(Drained { node, exit, cut });
    endpoint.agent.restart();
}

fn timed_out(log: &str) -> Option<String> {
    log.lines().find(|line| line.contains("DT1005")).map(ToOwned::to_owned)
}

fn state(world: &World, endpoint: &Endpoint) -> (Runs, u64) {
    read_endpoint(world, endpoint);
    read_states(world);
    let observed = world.observed.lock().unwrap();
    let runs = observed.runs[&endpoint.server.start_name()].clone();
    (runs, observed.retries_and_hedges().1)
}

/// Returns the requests that were cancelled or crashed between two readings.
///
/// An agent that leaves preempts the items of idempotent jobs, as it does for an online request,
/// and they go on elsewhere. Those of cancelled jobs are aborted.
fn lost_runs(world: &World, before: &Runs, after: &Runs) -> Vec<String> {
    let jobs = world.jobs.lock().unwrap();
    let wanted = |run: &str| {
        let job = jobs.iter().find(|job| run.starts_with(&job.id));
        job.is_none_or(|job| !job.idempotent && job.cancelled.is_none())
    };
    let ended = |run: &str, runs: &Runs| {
        runs.get(run).map_or(0, |counts| counts.cancelled + counts.crashed)
    };
    after
        .keys()
        .filter(|run| wanted(run) && ended(run, after) > ended(run, before))
        .cloned()
        .collect()
}
