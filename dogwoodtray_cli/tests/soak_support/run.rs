//! One run: load with faults, a period with orderly changes only, and the recorded history.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::child;
use super::faults;
use super::fleet::Fleet;
use super::fleet::Program;
use super::history::Call;
use super::history::History;
use super::history::Job;
use super::history::Shutdown;
use super::history::UndisturbedPeriod;
use super::jobs;
use super::load;

/// Time after the last fault until the programs must meet their time limits again, as at the sites
/// of the platform.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Maximum time until the gateways are ready after the last fault.
const READY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which the load continues before and after orderly changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Number of callers that submit jobs.
const JOB_CALLERS: usize = 3;

/// State shared by the callers and faults of a run.
#[derive(Debug)]
pub(crate) struct TestRun {
    pub(crate) fleet: Fleet,
    pub(crate) seed: u64,
    /// Set to end the load.
    pub(crate) stop_load: AtomicBool,
    pub(crate) calls: Mutex<Vec<Call>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    /// Version of the last published configuration.
    pub(crate) version: Mutex<u64>,
    /// Number of endpoints restarted with a new id.
    pub(crate) new_endpoint_ids: AtomicU64,
    /// Times in which a gateway, by its index, was stopped, restarted or paused.
    pub(crate) gateway_faults: Mutex<Vec<(usize, Instant, Instant)>>,
    violations: Mutex<Vec<String>>,
    began: Instant,
    faults: Mutex<String>,
}

impl TestRun {
    /// Records a violation detected during the run.
    pub(crate) fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// Records a fault or an orderly change with its time.
    pub(crate) fn record_fault(&self, what: &str) {
        let line = format!("{:>6} {what}\n", self.began.elapsed().as_millis());
        self.faults.lock().unwrap().push_str(&line);
    }

    /// Records a violation for each process that exited without being killed.
    fn check_processes(&self) {
        for program in &self.fleet.programs {
            if !program.process.is_running_or_killed() {
                self.record_violation(format!("{} exited unexpectedly", program.process.name));
            }
        }
    }
}

/// Returns the name of the run of a seed.
pub(crate) fn seed_name(seed: u64) -> String {
    format!("seed-{seed}")
}

/// Returns the directory of the logs of a run.
pub(crate) fn log_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"))
}

/// Creates and returns an empty directory for the logs of a run.
pub(crate) fn new_dir(name: &str) -> PathBuf {
    let dir = log_dir(name);
    // An earlier run may have left logs.
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs one seed.
pub(crate) fn run(seed: u64, load: Duration) -> History {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = new_dir(&seed_name(seed));
    runtime.block_on(run_in(&dir, seed, load))
}

async fn run_in(dir: &Path, seed: u64, load: Duration) -> History {
    let test_run = Arc::new(TestRun {
        fleet: Fleet::start(dir).await,
        seed,
        stop_load: AtomicBool::new(false),
        calls: Mutex::default(),
        jobs: Mutex::default(),
        version: Mutex::new(1),
        new_endpoint_ids: AtomicU64::new(0),
        gateway_faults: Mutex::default(),
        violations: Mutex::default(),
        began: Instant::now(),
        faults: Mutex::default(),
    });
    let mut tasks = tokio::task::JoinSet::new();
    let callers = load::CALLERS.len() * test_run.fleet.gateways().len().div_ceil(3);
    for caller in 0..callers {
        let test_run = Arc::clone(&test_run);
        tasks.spawn(async move { load::run(&test_run, caller).await });
    }
    for caller in 0..JOB_CALLERS {
        let test_run = Arc::clone(&test_run);
        tasks.spawn(async move { jobs::run(&test_run, caller).await });
    }
    faults::inject_until(&test_run, Instant::now() + load).await;
    if !test_run.fleet.is_ready_within(READY_TIMEOUT).await {
        test_run.record_violation("the gateways are not ready again in time".to_owned());
    }
    sleep(RECOVERY_TIME).await;
    let changes = apply_orderly_changes(&test_run).await;
    test_run.stop_load.store(true, SeqCst);
    while tasks.join_next().await.is_some() {}
    jobs::read_final_results(&test_run).await;
    let probes = load::send_probes(&test_run).await;
    test_run.check_processes();
    fs::write(dir.join("faults.txt"), test_run.faults.lock().unwrap().as_bytes()).unwrap();
    let runs = test_run.fleet.runs.lock().unwrap().clone();
    let mut violations = test_run.violations.lock().unwrap().clone();
    violations.extend(child::panics(dir));
    let history = History {
        calls: test_run.calls.lock().unwrap().clone(),
        runs,
        jobs: test_run.jobs.lock().unwrap().clone(),
        undisturbed: changes.undisturbed,
        shutdowns: changes.shutdowns,
        gateway_faults: test_run.gateway_faults.lock().unwrap().clone(),
        drained: Some(changes.drained),
        plain_route_target: Some(changes.plain_route_target),
        violations,
        probes,
    };
    fs::write(dir.join("history.txt"), format!("{history:#?}")).unwrap();
    history
}

/// Records of the orderly changes.
struct OrderlyChanges {
    undisturbed: UndisturbedPeriod,
    shutdowns: Vec<Shutdown>,
    drained: (String, Instant),
    plain_route_target: (&'static str, Instant),
}

/// Drains an endpoint, changes the target of a route, and shuts down a gateway and a driver, under
/// load without other faults.
async fn apply_orderly_changes(test_run: &TestRun) -> OrderlyChanges {
    let mut rng = StdRng::seed_from_u64(!test_run.seed);
    let from = Instant::now();
    sleep(CHANGE_INTERVAL).await;
    let to = Instant::now();
    let endpoint = &test_run.fleet.engines()[rng.random_range(0..test_run.fleet.engines().len())];
    test_run.record_fault(&format!("drain {}", endpoint.server.id()));
    endpoint.server.announce_leaving();
    endpoint.server.register("draining");
    let drained = (endpoint.server.id(), Instant::now());
    let service = if rng.random_bool(0.5) { "ledger" } else { "archive" };
    test_run.record_fault(&format!("move to {service}"));
    faults::publish(test_run, service);
    let plain_route_target = (service, Instant::now());
    sleep(2 * CHANGE_INTERVAL).await;
    let mut shutdowns = Vec::new();
    let gateway = rng.random_range(0..test_run.fleet.gateways().len());
    let connections = load::open_connections(test_run, gateway).await;
    let (shutdown, ()) = tokio::join!(
        shut_down(test_run, &test_run.fleet.gateways()[gateway], Some(gateway)),
        load::send_during_shutdown(test_run, gateway, connections)
    );
    shutdowns.push(shutdown);
    let driver = rng.random_range(0..test_run.fleet.drivers().len());
    shutdowns.push(shut_down(test_run, &test_run.fleet.drivers()[driver], None).await);
    if !test_run.fleet.is_ready_within(READY_TIMEOUT).await {
        test_run.record_violation("the gateways are not ready after a restart".to_owned());
    }
    OrderlyChanges {
        undisturbed: UndisturbedPeriod { from, to },
        shutdowns,
        drained,
        plain_route_target,
    }
}

async fn shut_down(test_run: &TestRun, program: &Program, gateway: Option<usize>) -> Shutdown {
    let process = &program.process;
    test_run.record_fault(&format!("shut down {}", process.name));
    let began = Instant::now();
    let (ended, exit_code) = faults::terminate_and_restart(process).await;
    if let Some(gateway) = gateway {
        test_run.gateway_faults.lock().unwrap().push((gateway, began, Instant::now()));
    }
    Shutdown { node: process.name.clone(), gateway, began, ended, exit_code }
}
