//! Reads records and states of the processes all the time.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use serde_json::Value;

use super::child::Process;
use super::fleet::Endpoint;
use super::history::Counts;
use super::history::Reported;
use super::history::Runs;
use super::http;
use super::run::World;

const INTERVAL: Duration = Duration::from_millis(100);

/// What was read so far.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Newest records by start of an endpoint. They outlive the process.
    pub(crate) runs: BTreeMap<String, Runs>,
    pub(crate) reported: BTreeMap<String, Reported>,
    /// Retries and hedges by start of an entry.
    counters: BTreeMap<String, (u64, u64)>,
    /// Calls of the platform over time.
    pub(crate) platform_calls: Vec<(u64, u64)>,
    /// Items that engines finished over time.
    pub(crate) finished_items: Vec<(u64, u64)>,
}

impl Observed {
    /// Adds up the retries and hedges.
    pub(crate) fn retries_and_hedges(&self) -> (u64, u64) {
        self.counters.values().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    }
}

/// Reads the records of the endpoints until the run ends.
pub(crate) fn watch_records(world: &World) {
    while !world.over.load(SeqCst) {
        read_records(world);
        std::thread::sleep(INTERVAL);
    }
}

/// Reads the records of all endpoints once.
pub(crate) fn read_records(world: &World) {
    for endpoint in world.fleet.endpoints.iter().filter(|endpoint| !endpoint.server.is_paused()) {
        read_endpoint(world, endpoint);
    }
    let now = world.now_ms();
    let mut observed = world.observed.lock().unwrap();
    let is_item = |key: &&String| !key.starts_with(['o', 'n', 's', 'p']);
    let done = observed.runs.values().flatten().filter(|(key, _)| is_item(key));
    let done = done.map(|(_, counts)| counts.finished).sum();
    observed.finished_items.push((now, done));
}

/// Reads the records of one endpoint.
pub(crate) fn read_endpoint(world: &World, endpoint: &Endpoint) {
    let start = endpoint.server.start_name();
    let Some(read) = http::get(endpoint.server_addr, "/standin/runs") else { return };
    if start != endpoint.server.start_name() {
        return;
    }
    let runs = read["runs"].as_object().unwrap().iter();
    let runs = runs.map(|(key, counts)| (key.clone(), counts_of(counts))).collect();
    world.observed.lock().unwrap().runs.insert(start, runs);
}

fn counts_of(counts: &Value) -> Counts {
    let field = |name: &str| counts[name].as_u64().unwrap();
    Counts {
        started: field("started"),
        finished: field("finished"),
        cancelled: field("cancelled"),
        crashed: field("crashed"),
    }
}

/// Reads the states of our own processes and the calls of the platform until the run ends.
pub(crate) fn watch_states(world: &World) {
    while !world.over.load(SeqCst) {
        read_states(world);
        std::thread::sleep(INTERVAL);
    }
}

/// Reads all states once.
pub(crate) fn read_states(world: &World) {
    for endpoint in &world.fleet.endpoints {
        read_state(world, &endpoint.agent, endpoint.admin);
    }
    for entry in &world.fleet.entries {
        read_state(world, &entry.process, entry.admin);
        if entry.process.is_paused() {
            continue;
        }
        let start = entry.process.start_name();
        if let Ok((200, text)) = http::send("GET", entry.admin, "/metrics", &[], "") {
            let text = String::from_utf8_lossy(&text);
            let counters = (
                counter(&text, "dogwoodtray_retries_total"),
                counter(&text, "dogwoodtray_hedges_total"),
            );
            world.observed.lock().unwrap().counters.insert(start, counters);
        }
    }
    if let Some(calls) = http::get(world.fleet.platform, "/standin/calls") {
        let sum = calls["reads"].as_u64().unwrap() + calls["writes"].as_u64().unwrap();
        let now = world.now_ms();
        world.observed.lock().unwrap().platform_calls.push((now, sum));
    }
}

fn read_state(world: &World, process: &Process, admin: std::net::SocketAddr) {
    if process.is_paused() {
        return;
    }
    let Some(status) = http::get(admin, "/status") else { return };
    let (Some(generation), Some(incarnation)) =
        (status["generation"].as_u64(), status["incarnation"].as_str())
    else {
        return;
    };
    let mut observed = world.observed.lock().unwrap();
    let reported = observed.reported.entry(incarnation.to_owned()).or_insert_with(|| Reported {
        node: process.name.clone(),
        incarnation: incarnation.to_owned(),
        generations: Vec::new(),
    });
    if reported.generations.last() != Some(&generation) {
        reported.generations.push(generation);
    }
}

fn counter(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_default()
}
