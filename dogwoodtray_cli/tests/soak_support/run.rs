//! One run: load, faults, a calm time with orderly changes, history.

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
use super::history::Calm;
use super::history::History;
use super::history::Job;
use super::history::Shutdown;
use super::jobs;
use super::load;

/// Time from the last fault after which the programs are held to their bounds, as the sites of the
/// platform have it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time in which the gateways are ready again after the last fault.
const READY_BOUND: Duration = Duration::from_secs(12);

/// Time for which the load goes on beside each orderly change.
const STEP: Duration = Duration::from_millis(2_500);

/// Callers of jobs.
const JOB_CALLERS: usize = 3;

/// What callers and faults of a run share.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) seed: u64,
    /// Ends the load.
    pub(crate) stop: AtomicBool,
    pub(crate) calls: Mutex<Vec<Call>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    /// Version of the newest configuration.
    pub(crate) version: Mutex<u64>,
    /// Starts of endpoints under a new id.
    pub(crate) started: AtomicU64,
    found: Mutex<Vec<String>>,
    began: Instant,
    faults: Mutex<String>,
}

impl World {
    /// Records a violation that was seen while the run went on.
    pub(crate) fn note(&self, what: String) {
        self.found.lock().unwrap().push(what);
    }

    /// Records a step of the schedule.
    pub(crate) fn note_fault(&self, what: &str) {
        let line = format!("{:>6} {what}\n", self.began.elapsed().as_millis());
        self.faults.lock().unwrap().push_str(&line);
    }

    /// Reports processes that ended by themselves.
    fn check_processes(&self) {
        for program in &self.fleet.programs {
            if !program.process.runs_or_was_killed() {
                self.note(format!("{} ended by itself", program.process.name));
            }
        }
    }
}

/// Returns the name of a run.
pub(crate) fn seed_name(seed: u64) -> String {
    format!("seed-{seed}")
}

/// Returns the directory of the logs of a run.
pub(crate) fn log_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"))
}

/// Returns an empty directory for the logs of a run.
pub(crate) fn new_dir(name: &str) -> PathBuf {
    let dir = log_dir(name);
    // A run before this one may have left logs.
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
    let world = Arc::new(World {
        fleet: Fleet::start(dir).await,
        seed,
        stop: AtomicBool::new(false),
        calls: Mutex::default(),
        jobs: Mutex::default(),
        version: Mutex::new(1),
        started: AtomicU64::new(0),
        found: Mutex::default(),
        began: Instant::now(),
        faults: Mutex::default(),
    });
    let mut tasks = tokio::task::JoinSet::new();
    let callers = load::CALLERS.len() * world.fleet.gateways().len().div_ceil(3);
    for caller in 0..callers {
        let world = Arc::clone(&world);
        tasks.spawn(async move { load::run(&world, caller).await });
    }
    for caller in 0..JOB_CALLERS {
        let world = Arc::clone(&world);
        tasks.spawn(async move { jobs::run(&world, caller).await });
    }
    faults::inject_until(&world, Instant::now() + load).await;
    if !world.fleet.is_ready_within(READY_BOUND).await {
        world.note("the gateways are not ready again in time".to_owned());
    }
    sleep(CONTACT_TIME).await;
    let changes = change_in_order(&world).await;
    world.stop.store(true, SeqCst);
    while tasks.join_next().await.is_some() {}
    jobs::read_all(&world).await;
    let probes = load::probe(&world).await;
    world.check_processes();
    fs::write(dir.join("faults.txt"), world.faults.lock().unwrap().as_bytes()).unwrap();
    let runs = world.fleet.runs.lock().unwrap().clone();
    let mut found = world.found.lock().unwrap().clone();
    found.extend(child::panics(dir));
    let history = History {
        calls: world.calls.lock().unwrap().clone(),
        runs,
        jobs: world.jobs.lock().unwrap().clone(),
        calm: changes.calm,
        shutdowns: changes.shutdowns,
        drained: Some(changes.drained),
        moved: Some(changes.moved),
        found,
        probes,
    };
    fs::write(dir.join("history.txt"), format!("{history:#?}")).unwrap();
    history
}

/// Orderly changes and when they were made.
struct Changes {
    calm: Calm,
    shutdowns: Vec<Shutdown>,
    drained: (String, Instant),
    moved: (&'static str, Instant),
}

/// Shuts a gateway and a driver down, drains an endpoint and moves a route, under load and with
/// nothing else wrong.
async fn change_in_order(world: &World) -> Changes {
    let mut rng = StdRng::seed_from_u64(!world.seed);
    let from = Instant::now();
    sleep(STEP).await;
    let to = Instant::now();
    let worker = &world.fleet.engines()[rng.random_range(0..world.fleet.engines().len())];
    world.note_fault(&format!("drain {}", worker.endpoint.id()));
    worker.endpoint.register("draining");
    let drained = (worker.endpoint.id(), Instant::now());
    let service = if rng.random_bool(0.5) { "ledger" } else { "archive" };
    world.note_fault(&format!("move to {service}"));
    faults::publish(world, service);
    let moved = (service, Instant::now());
    sleep(2 * STEP).await;
    let mut shutdowns = Vec::new();
    let gateway = rng.random_range(0..world.fleet.gateways().len());
    shutdowns.push(shut_down(world, &world.fleet.gateways()[gateway], Some(gateway)).await);
    let driver = rng.random_range(0..world.fleet.drivers().len());
    shutdowns.push(shut_down(world, &world.fleet.drivers()[driver], None).await);
    if !world.fleet.is_ready_within(READY_BOUND).await {
        world.note("the gateways are not ready after a restart".to_owned());
    }
    Changes { calm: Calm { from, to }, shutdowns, drained, moved }
}

async fn shut_down(world: &World, program: &Program, gateway: Option<usize>) -> Shutdown {
    let process = &program.process;
    world.note_fault(&format!("shut down {}", process.name));
    let began = Instant::now();
    let (ended, exit) = faults::terminate(process).await;
    Shutdown { node: process.name.clone(), gateway, began, ended, exit }
}
