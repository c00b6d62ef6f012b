//! Fault injection and its schedule.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde_json::json;

use super::child::Process;
use super::fleet::CRASH_MS;
use super::fleet::Endpoint;
use super::fleet::POISON;
use super::fleet::set_crash_marker;
use super::fleet::wait_until;
use super::http;
use super::observer::read_endpoint;
use super::relay::Mode;
use super::run::KillTarget;
use super::run::TestRun;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    KillEntry,
    KillAgent,
    KillEngine,
    /// Crashes the engine within its process, which loses its requests but keeps its run records.
    CrashEngine,
    PauseEntry,
    PauseAgent,
    PauseEngine,
    CutAgent,
    SilentAgent,
    CutEngine,
    SilentEngine,
    PlatformOutage,
    PlatformSlow,
    PlatformLostReplies,
}

const ALL: &[Fault] = &[
    Fault::KillEntry,
    Fault::KillAgent,
    Fault::KillEngine,
    Fault::CrashEngine,
    Fault::PauseEntry,
    Fault::PauseAgent,
    Fault::PauseEngine,
    Fault::CutAgent,
    Fault::SilentAgent,
    Fault::CutEngine,
    Fault::SilentEngine,
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::PlatformLostReplies,
];

/// Injects faults in an order determined by the seed until `deadline`.
pub(crate) fn inject_until(test_run: &TestRun, deadline: Instant) {
    let mut rng = StdRng::seed_from_u64(test_run.seed);
    let mut order = Vec::new();
    while Instant::now() < deadline {
        let concurrent = if rng.random_bool(0.35) { 2 } else { 1 };
        std::thread::scope(|scope| {
            for _ in 0..concurrent {
                if order.is_empty() {
                    order = ALL.to_vec();
                    order.shuffle(&mut rng);
                }
                let fault = order.pop().unwrap();
                let rng = StdRng::from_rng(&mut rng);
                scope.spawn(move || inject(test_run, fault, rng));
            }
        });
        std::thread::sleep(Duration::from_millis(rng.random_range(50..400)));
    }
}

fn inject(test_run: &TestRun, fault: Fault, mut rng: StdRng) {
    let fleet = &test_run.fleet;
    let entry = &fleet.entries[rng.random_range(0..fleet.entries.len())];
    let endpoint = &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())];
    let engine = &fleet.engines()[rng.random_range(0..fleet.engines().len())];
    let share = if rng.random_bool(0.5) { 1.0 } else { 0.5 };
    let downtime = Duration::from_millis(rng.random_range(200..1_500));
    let pause = Duration::from_millis(rng.random_range(1_000..6_000));
    test_run.record_fault(format!(
        "{fault:?} {}",
        target_name(fault, &entry.process, endpoint, engine)
    ));
    match fault {
        Fault::KillEntry => kill_and_restart(test_run, KillTarget::Entry, &entry.process, downtime),
        Fault::KillAgent => {
            kill_and_restart(test_run, KillTarget::Agent, &endpoint.agent, downtime);
        }
        Fault::KillEngine => {
            read_endpoint(test_run, engine);
            kill_and_restart(test_run, KillTarget::Engine, &engine.server, downtime);
            set_crash_marker(engine, true);
        }
        Fault::CrashEngine => crash_engine(test_run, engine),
        Fault::PauseEntry => pause_process(test_run, &entry.process, pause),
        Fault::PauseAgent => pause_process(test_run, &endpoint.agent, pause),
        Fault::PauseEngine => pause_process(test_run, &engine.server, pause),
        Fault::CutAgent => endpoint.agent_relay.set(Mode::Cut, share, &mut rng),
        Fault::SilentAgent => endpoint.agent_relay.set(Mode::Silent, share, &mut rng),
        Fault::CutEngine => endpoint.server_relay.set(Mode::Cut, share, &mut rng),
        Fault::SilentEngine => endpoint.server_relay.set(Mode::Silent, share, &mut rng),
        Fault::PlatformOutage => {
            let began = test_run.now_ms();
            fleet.platform_faults(&json!({ "outage": true }));
            std::thread::sleep(downtime + Duration::from_secs(1));
            fleet.platform_faults(&json!({ "outage": false }));
            test_run.outages.lock().unwrap().push((began, test_run.now_ms()));
        }
        Fault::PlatformSlow => {
            fleet.platform_faults(&json!({ "delay_ms": rng.random_range(50..700) }));
            std::thread::sleep(pause / 2);
            fleet.platform_faults(&json!({ "delay_ms": 0 }));
        }
        Fault::PlatformLostReplies => {
            fleet.platform_faults(&json!({ "lost_reply": rng.random_range(0.05..0.5) }));
            std::thread::sleep(pause / 2);
            fleet.platform_faults(&json!({ "lost_reply": 0.0 }));
        }
    }
}

fn target_name<'a>(
    fault: Fault,
    entry: &'a Process,
    endpoint: &'a Endpoint,
    engine: &'a Endpoint,
) -> &'a str {
    match fault {
        Fault::KillEntry | Fault::PauseEntry => &entry.name,
        Fault::KillEngine | Fault::CrashEngine | Fault::PauseEngine => &engine.server.name,
        Fault::CutEngine | Fault::SilentEngine => &endpoint.server.name,
        Fault::PlatformOutage | Fault::PlatformSlow | Fault::PlatformLostReplies => "platform",
        _ => &endpoint.agent.name,
    }
}

fn kill_and_restart(test_run: &TestRun, kind: KillTarget, process: &Process, downtime: Duration) {
    test_run.record_kill(kind);
    process.kill();
    std::thread::sleep(downtime);
    process.restart();
}

fn crash_engine(test_run: &TestRun, engine: &Endpoint) {
    test_run.record_kill(KillTarget::Engine);
    let body = json!({ "messages": [{ "role": "user", "content": POISON }] }).to_string();
    let path = "/v1/chat/completions";
    let headers = [("x-request-id", "crash")];
    let _ = http::send("POST", engine.server_addr, path, &headers, &body);
    std::thread::sleep(Duration::from_millis(CRASH_MS));
    wait_until("the engine serves again", || {
        http::get_json(engine.server_addr, "/standin/runs").is_some()
    });
}

fn pause_process(test_run: &TestRun, process: &Process, pause: Duration) {
    let open_pause = (test_run.now_ms(), u64::MAX);
    test_run.pauses.lock().unwrap().push(open_pause);
    process.pause();
    std::thread::sleep(pause);
    process.resume();
    let mut pauses = test_run.pauses.lock().unwrap();
    let own_pause = pauses.iter_mut().find(|pause| **pause == open_pause).unwrap();
    own_pause.1 = test_run.now_ms();
}
