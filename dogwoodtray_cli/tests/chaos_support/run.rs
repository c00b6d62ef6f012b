//! One run: load, faults, settling, history.

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
use super::history::Drained;
use super::history::History;
use super::history::Job;
use super::http;
use super::jobs;
use super::measure;
use super::observer;
use super::observer::Observed;
use super::publish;

/// Longest time until the fleet is whole again after the last fault.
const SETTLE_BOUND: Duration = Duration::from_secs(20);

/// Process that a fault killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kill {
    Entry,
    Agent,
    Engine,
}

/// What callers, faults and observers of a run share.
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) seed: u64,
    began: Instant,
    /// Ends the load.
    pub(crate) stop: AtomicBool,
    /// Ends the observers.
    pub(crate) over: AtomicBool,
    pub(crate) calls: Mutex<Vec<Call>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    pub(crate) cancels: Mutex<Vec<(u64, String)>>,
    pub(crate) published: Mutex<Vec<u64>>,
    pub(crate) drained: Mutex<Vec<Drained>>,
    pub(crate) observed: Mutex<Observed>,
    pub(crate) faults: Mutex<Vec<String>>,
    pub(crate) kills: Mutex<Vec<(Kill, u64)>>,
    pub(crate) pauses: Mutex<Vec<(u64, u64)>>,
    pub(crate) outages: Mutex<Vec<(u64, u64)>>,
    pub(crate) probes: Mutex<Vec<Call>>,
}

impl World {
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap()
    }

    /// Picks an entry that the balancer knows, another one than the last.
    pub(crate) fn pick_entry(&self, last: Option<usize>, rng: &mut StdRng) -> usize {
        let balanced = |index: &usize| self.fleet.entries[*index].balanced.load(SeqCst);
        let all = 0..self.fleet.entries.len();
        let usable: Vec<usize> = all.filter(balanced).filter(|i| Some(*i) != last).collect();
        usable[rng.random_range(0..usable.len())]
    }

    pub(crate) fn note_fault(&self, what: String) {
        self.faults.lock().unwrap().push(format!("{} {what}", self.now_ms()));
    }

    pub(crate) fn note_kill(&self, kind: Kill) {
        self.kills.lock().unwrap().push((kind, self.now_ms()));
    }

    pub(crate) fn with_job(&self, id: &str, change: impl FnOnce(&mut Job)) {
        change(self.jobs.lock().unwrap().iter_mut().find(|job| job.id == id).unwrap());
    }

    /// Time within a span in which some process was paused.
    pub(crate) fn paused_ms(&self, from: u64, to: u64) -> u64 {
        let pauses = self.pauses.lock().unwrap();
        pauses.iter().map(|(a, b)| (*b).min(to).saturating_sub((*a).max(from))).sum()
    }

    /// Counts the runs that started, over all endpoints.
    pub(crate) fn started(&self, fits: impl Fn(&str) -> bool) -> u64 {
        let runs = self.observed.lock().unwrap().runs.clone();
        History { runs, ..History::default() }.count(fits).started
    }
}

/// Runs one seed and returns its history and its figures.
pub(crate) fn run(seed: u64, load: Duration) -> (History, Value) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = log_dir(seed);
    let world = World {
        fleet: Fleet::start(runtime.handle(), &dir),
        seed,
        began: Instant::now(),
        stop: AtomicBool::new(false),
        over: AtomicBool::new(false),
        calls: Mutex::default(),
        jobs: Mutex::default(),
        cancels: Mutex::default(),
        published: Mutex::default(),
        drained: Mutex::default(),
        observed: Mutex::default(),
        faults: Mutex::default(),
        kills: Mutex::default(),
        pauses: Mutex::default(),
        outages: Mutex::default(),
        probes: Mutex::default(),
    };
    publish::publish_once(&world, "first");
    std::thread::scope(|scope| {
        let guard = EndGuard(&world);
        scope.spawn(|| observer::watch_records(&world));
        scope.spawn(|| observer::watch_states(&world));
        scope.spawn(|| jobs::watch_cancels(&world));
        let mut load_threads = vec![scope.spawn(|| publish::run(&world))];
        for (caller, kind) in KINDS.iter().enumerate() {
            let world = &world;
            load_threads.push(scope.spawn(move || callers::run(world, *kind, caller as u64)));
        }
        for caller in 0..2 {
            let world = &world;
            load_threads.push(scope.spawn(move || jobs::run(world, caller)));
        }
        faults::inject_until(&world, Instant::now() + load);
        drain_some(&world);
        world.stop.store(true, SeqCst);
        load_threads.into_iter().for_each(|thread| thread.join().unwrap());
        settle(&world);
        drop(guard);
    });
    let figures = measure::figures(&world);
    (history(world, &dir), figures)
}

const KINDS: &[CallKind] = &[
    CallKind::Online,
    CallKind::Online,
    CallKind::Online,
    CallKind::OnceChat,
    CallKind::OnceChat,
    CallKind::OnceService,
    CallKind::OnceService,
    CallKind::Poison,
];

/// Ends all threads, also after a panic, so that the scope can be left.
struct EndGuard<'a>(&'a World);

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, SeqCst);
        self.0.over.store(true, SeqCst);
    }
}

/// Drains one entry and one agent while nothing else is wrong.
fn drain_some(world: &World) {
    let mut rng = StdRng::seed_from_u64(!world.seed);
    let fleet = &world.fleet;
    fleet.wait_until_linked(SETTLE_BOUND);
    let index = rng.random_range(0..fleet.entries.len());
    drain::drain_entry(world, &fleet.entries[index], index);
    fleet.wait_until_linked(SETTLE_BOUND);
    drain::drain_agent(world, &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())]);
}

/// Waits until the fleet is whole, all jobs have ended and one generation is in force.
fn settle(world: &World) {
    let fleet = &world.fleet;
    let deadline = Instant::now() + SETTLE_BOUND;
    fleet.wait_until_linked(SETTLE_BOUND);
    publish::publish_once(world, "last");
    let jobs = world.jobs.lock().unwrap().clone();
    for job in &jobs {
        let views = (0..fleet.entries.len()).map(|entry| jobs::view(world, job, entry, deadline));
        let views = views.collect();
        world.with_job(&job.id, |job| job.views = views);
    }
    let wanted = *world.published.lock().unwrap().iter().max().unwrap();
    while Instant::now() < deadline
        && !(settled(fleet).iter().all(|(_, generation)| *generation == Some(wanted))
            && world.cancels.lock().unwrap().is_empty())
    {
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut rng = StdRng::seed_from_u64(world.seed);
    for entry in 0..fleet.entries.len() {
        let request = callers::Request::new(CallKind::Online, &format!("probe{entry}"), &mut rng);
        let call = request.call(world, 0, entry);
        world.probes.lock().unwrap().push(call);
    }
    observer::read_states(world);
    observer::read_records(world);
}

fn settled(fleet: &Fleet) -> Vec<(String, Option<u64>)> {
    let agents = fleet.endpoints.iter().map(|endpoint| (&endpoint.agent, endpoint.admin));
    let entries = fleet.entries.iter().map(|entry| (&entry.process, entry.admin));
    let generation =
        |admin| http::get(admin, "/status").and_then(|status| status["generation"].as_u64());
    agents.chain(entries).map(|(process, at)| (process.name.clone(), generation(at))).collect()
}

fn history(world: World, dir: &std::path::Path) -> History {
    let settled = settled(&world.fleet);
    let observed = world.observed.into_inner().unwrap();
    History {
        calls: world.calls.into_inner().unwrap(),
        jobs: world.jobs.into_inner().unwrap(),
        runs: observed.runs,
        published: world.published.into_inner().unwrap(),
        reported: observed.reported.into_values().collect(),
        settled,
        drained: world.drained.into_inner().unwrap(),
        panics: child::panics(dir),
        probes: world.probes.into_inner().unwrap(),
    }
}

/// Directory with the logs of all processes of a run.
pub(crate) fn log_dir(seed: u64) -> PathBuf {
    let name = format!("dogwoodtray-chaos-{}-{seed}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
