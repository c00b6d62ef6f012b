//! Polls the run records of the endpoints and the states of the processes.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use serde_json::Value;

use super::child::Process;
use super::fleet::Endpoint;
use super::history::GenerationReport;
use super::history::RunCounts;
use super::history::Runs;
use super::http;
use super::run::TestRun;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Data read so far.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Newest run records by endpoint instance, kept after the instance has ended.
    pub(crate) runs: BTreeMap<String, Runs>,
    pub(crate) reported: BTreeMap<String, GenerationReport>,
    /// Retries and hedges by entry instance.
    counters: BTreeMap<String, (u64, u64)>,
    /// Total calls to the platform by time in milliseconds.
    pub(crate) platform_calls: Vec<(u64, u64)>,
    /// Total items finished by the engines, by time in milliseconds.
    pub(crate) finished_items: Vec<(u64, u64)>,
}

impl Observed {
    /// Sums the retries and the hedges of all entry instances.
    pub(crate) fn retries_and_hedges(&self) -> (u64, u64) {
        self.counters.values().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    }
}

/// Polls the run records of the endpoints until the run ends.
pub(crate) fn poll_run_records(test_run: &TestRun) {
    while !test_run.stop_observers.load(SeqCst) {
        read_run_records(test_run);
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads the run records of all endpoints once.
pub(crate) fn read_run_records(test_run: &TestRun) {
    for endpoint in test_run.fleet.endpoints.iter().filter(|endpoint| !endpoint.server.is_paused())
    {
        read_endpoint(test_run, endpoint);
    }
    let now = test_run.now_ms();
    let mut observed = test_run.observed.lock().unwrap();
    let is_item = |key: &&String| !key.starts_with(['o', 'n', 's', 'p']);
    let done = observed.runs.values().flatten().filter(|(key, _)| is_item(key));
    let done = done.map(|(_, counts)| counts.finished).sum();
    observed.finished_items.push((now, done));
}

/// Reads the run records of one endpoint.
pub(crate) fn read_endpoint(test_run: &TestRun, endpoint: &Endpoint) {
    let start = endpoint.server.instance_name();
    let Some(read) = http::get_json(endpoint.server_addr, "/standin/runs") else { return };
    if start != endpoint.server.instance_name() {
        return;
    }
    let runs = read["runs"].as_object().unwrap().iter();
    let runs = runs.map(|(key, counts)| (key.clone(), parse_counts(counts))).collect();
    test_run.observed.lock().unwrap().runs.insert(start, runs);
}

fn parse_counts(counts: &Value) -> RunCounts {
    let field = |name: &str| counts[name].as_u64().unwrap();
    RunCounts {
        started: field("started"),
        finished: field("finished"),
        cancelled: field("cancelled"),
        crashed: field("crashed"),
    }
}

/// Polls the states of the agents and entries and the call counts of the platform until the run
/// ends.
pub(crate) fn poll_states(test_run: &TestRun) {
    while !test_run.stop_observers.load(SeqCst) {
        read_states(test_run);
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads the states, the metrics and the call counts once.
pub(crate) fn read_states(test_run: &TestRun) {
    for endpoint in &test_run.fleet.endpoints {
        read_state(test_run, &endpoint.agent, endpoint.admin);
    }
    for entry in &test_run.fleet.entries {
        read_state(test_run, &entry.process, entry.admin);
        if entry.process.is_paused() {
            continue;
        }
        let start = entry.process.instance_name();
        if let Ok((200, text)) = http::send("GET", entry.admin, "/metrics", &[], "") {
            let text = String::from_utf8_lossy(&text);
            let counters = (
                parse_counter(&text, "dogwoodtray_retries_total"),
                parse_counter(&text, "dogwoodtray_hedges_total"),
            );
            test_run.observed.lock().unwrap().counters.insert(start, counters);
        }
    }
    if let Some(calls) = http::get_json(test_run.fleet.platform, "/standin/calls") {
        let sum = calls["reads"].as_u64().unwrap() + calls["writes"].as_u64().unwrap();
        let now = test_run.now_ms();
        test_run.observed.lock().unwrap().platform_calls.push((now, sum));
    }
}

fn read_state(test_run: &TestRun, process: &Process, admin: std::net::SocketAddr) {
    if process.is_paused() {
        return;
    }
    let Some(status) = http::get_json(admin, "/status") else { return };
    let (Some(generation), Some(incarnation)) =
        (status["generation"].as_u64(), status["incarnation"].as_str())
    else {
        return;
    };
    let mut observed = test_run.observed.lock().unwrap();
    let reported =
        observed.reported.entry(incarnation.to_owned()).or_insert_with(|| GenerationReport {
            node: process.name.clone(),
            incarnation: incarnation.to_owned(),
            generations: Vec::new(),
        });
    if reported.generations.last() != Some(&generation) {
        reported.generations.push(generation);
    }
}

fn parse_counter(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_default()
}
