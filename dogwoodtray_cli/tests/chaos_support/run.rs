//! One run: load with faults, drains, recovery and the recorded history.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use super::callers;
use super::child;
use super::drain;
use super::faults;
use super::fleet::Fleet;
use super::history::Call;
use super::history::CallKind;
use super::history::Drain;
use super::history::History;
use super::history::Job;
use super::http;
use super::jobs;
use super::measure;
use super::observer;
use super::observer::Observed;
use super::publish;

/// Maximum time for the fleet to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Kind of a process that a fault killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KillTarget {
    Entry,
    Agent,
    Engine,
}

/// State shared by the callers, faults and observers of a run.
pub(crate) struct TestRun {
    pub(crate) fleet: Fleet,
    pub(crate) seed: u64,
    began: Instant,
    /// Set to end the load.
    pub(crate) stop_load: AtomicBool,
    /// Set to end the observers.
    pub(crate) stop_observers: AtomicBool,
    pub(crate) calls: Mutex<Vec<Call>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    pub(crate) pending_cancels: Mutex<Vec<(u64, String)>>,
    pub(crate) published: Mutex<Vec<u64>>,
    pub(crate) drains: Mutex<Vec<Drain>>,
    pub(crate) observed: Mutex<Observed>,
    pub(crate) faults: Mutex<Vec<String>>,
    pub(crate) kills: Mutex<Vec<(KillTarget, u64)>>,
    pub(crate) pauses: Mutex<Vec<(u64, u64)>>,
    pub(crate) outages: Mutex<Vec<(u64, u64)>>,
    pub(crate) probes: Mutex<Vec<Call>>,
}

impl TestRun {
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap()
    }

    /// Returns a random entry in the load balancer other than `last`.
    pub(crate) fn random_entry(&self, last: Option<usize>, rng: &mut StdRng) -> usize {
        let in_balancer = |index: &usize| self.fleet.entries[*index].in_balancer.load(SeqCst);
        let all = 0..self.fleet.entries.len();
        let usable: Vec<usize> = all.filter(in_balancer).filter(|i| Some(*i) != last).collect();
        usable[rng.random_range(0..usable.len())]
    }

    pub(crate) fn record_fault(&self, what: String) {
        self.faults.lock().unwrap().push(format!("{} {what}", self.now_ms()));
    }

    pub(crate) fn record_kill(&self, kind: KillTarget) {
        self.kills.lock().unwrap().push((kind, self.now_ms()));
    }

    pub(crate) fn update_job(&self, id: &str, change: impl FnOnce(&mut Job)) {
        change(self.jobs.lock().unwrap().iter_mut().find(|job| job.id == id).unwrap());
    }

    /// Returns the total time for which processes were paused between two times.
    pub(crate) fn paused_ms(&self, from: u64, to: u64) -> u64 {
        let pauses = self.pauses.lock().unwrap();
        pauses.iter().map(|(a, b)| (*b).min(to).saturating_sub((*a).max(from))).sum()
    }

    /// Returns the number of started runs of matching requests over all endpoints.
    pub(crate) fn count_started(&self, matches: impl Fn(&str) -> bool) -> u64 {
        let runs = self.observed.lock().unwrap().runs.clone();
        History { runs, ..History::default() }.count_runs(matches).started
    }
}

/// Runs one seed and returns its history and its statistics.
pub(crate) fn run(seed: u64, load: Duration) -> (History, Value) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = log_dir(seed);
    let test_run = TestRun {
        fleet: Fleet::start(runtime.handle(), &dir),
        seed,
        began: Instant::now(),
        stop_load: AtomicBool::new(false),
        stop_observers: AtomicBool::new(false),
        calls: Mutex::default(),
        jobs: Mutex::default(),
        pending_cancels: Mutex::default(),
        published: Mutex::default(),
        drains: Mutex::default(),
        observed: Mutex::default(),
        faults: Mutex::default(),
        kills: Mutex::default(),
        pauses: Mutex::default(),
        outages: Mutex::default(),
        probes: Mutex::default(),
    };
    publish::publish_until_confirmed(&test_run, "first");
    std::thread::scope(|scope| {
        let guard = StopOnDrop(&test_run);
        scope.spawn(|| observer::poll_run_records(&test_run));
        scope.spawn(|| observer::poll_states(&test_run));
        scope.spawn(|| jobs::record_runs_after_cancel(&test_run));
        let mut load_threads = vec![scope.spawn(|| publish::run(&test_run))];
        for (caller, kind) in CALLERS.iter().enumerate() {
            let test_run = &test_run;
            load_threads.push(scope.spawn(move || callers::run(test_run, *kind, caller as u64)));
        }
        for caller in 0..2 {
            let test_run = &test_run;
            load_threads.push(scope.spawn(move || jobs::run(test_run, caller)));
        }
        faults::inject_until(&test_run, Instant::now() + load);
        drain_entry_and_agent(&test_run);
        test_run.stop_load.store(true, SeqCst);
        load_threads.into_iter().for_each(|thread| thread.join().unwrap());
        wait_until_recovered(&test_run);
        drop(guard);
    });
    let statistics = measure::statistics(&test_run);
    (history(test_run, &dir), statistics)
}

const CALLERS: &[CallKind] = &[
    CallKind::Online,
    CallKind::Online,
    CallKind::Online,
    CallKind::NonIdempotentChat,
    CallKind::NonIdempotentChat,
    CallKind::NonIdempotentService,
    CallKind::NonIdempotentService,
    CallKind::Poison,
];

/// Stops all threads when dropped, also during a panic, so that the thread scope can end.
struct StopOnDrop<'a>(&'a TestRun);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop_load.store(true, SeqCst);
        self.0.stop_observers.store(true, SeqCst);
    }
}

/// Drains one entry and one agent under load without other faults.
fn drain_entry_and_agent(test_run: &TestRun) {
    let mut rng = StdRng::seed_from_u64(!test_run.seed);
    let fleet = &test_run.fleet;
    fleet.wait_until_connected(RECOVERY_TIMEOUT);
    let index = rng.random_range(0..fleet.entries.len());
    drain::drain_entry(test_run, &fleet.entries[index], index);
    fleet.wait_until_connected(RECOVERY_TIMEOUT);
    drain::drain_agent(test_run, &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())]);
}

/// Waits until the fleet has recovered, all jobs have ended and all processes use one generation,
/// and sends a probe through each entry.
fn wait_until_recovered(test_run: &TestRun) {
    let fleet = &test_run.fleet;
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    fleet.wait_until_connected(RECOVERY_TIMEOUT);
    publish::publish_until_confirmed(test_run, "last");
    let jobs = test_run.jobs.lock().unwrap().clone();
    for job in &jobs {
        let views =
            (0..fleet.entries.len()).map(|entry| jobs::read_view(test_run, job, entry, deadline));
        let views = views.collect();
        test_run.update_job(&job.id, |job| job.views = views);
    }
    let latest = *test_run.published.lock().unwrap().iter().max().unwrap();
    while Instant::now() < deadline
        && !(final_generations(fleet).iter().all(|(_, generation)| *generation == Some(latest))
            && test_run.pending_cancels.lock().unwrap().is_empty())
    {
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut rng = StdRng::seed_from_u64(test_run.seed);
    for entry in 0..fleet.entries.len() {
        let request = callers::Request::new(CallKind::Online, &format!("probe{entry}"), &mut rng);
        let call = request.call(test_run, 0, entry);
        test_run.probes.lock().unwrap().push(call);
    }
    observer::read_states(test_run);
    observer::read_run_records(test_run);
}

fn final_generations(fleet: &Fleet) -> Vec<(String, Option<u64>)> {
    let agents = fleet.endpoints.iter().map(|endpoint| (&endpoint.agent, endpoint.admin));
    let entries = fleet.entries.iter().map(|entry| (&entry.process, entry.admin));
    let generation =
        |admin| http::get_json(admin, "/status").and_then(|status| status["generation"].as_u64());
    agents.chain(entries).map(|(process, at)| (process.name.clone(), generation(at))).collect()
}

fn history(test_run: TestRun, dir: &std::path::Path) -> History {
    let final_generations = final_generations(&test_run.fleet);
    let observed = test_run.observed.into_inner().unwrap();
    History {
        calls: test_run.calls.into_inner().unwrap(),
        jobs: test_run.jobs.into_inner().unwrap(),
        runs: observed.runs,
        published: test_run.published.into_inner().unwrap(),
        reported: observed.reported.into_values().collect(),
        final_generations,
        drains: test_run.drains.into_inner().unwrap(),
        panics: child::panics(dir),
        trials: child::trials(dir),
        probes: test_run.probes.into_inner().unwrap(),
    }
}

/// Creates and returns the directory for the logs of all processes of a run.
pub(crate) fn log_dir(seed: u64) -> PathBuf {
    let name = format!("dogwoodtray-chaos-{}-{seed}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
