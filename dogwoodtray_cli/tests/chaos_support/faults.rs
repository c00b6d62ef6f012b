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
use super::run::World;

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
pub(crate) fn inject_until(world: &World, deadline: Instant) {
    let mut rng = StdRng::seed_from_u64(world.seed);
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
                scope.spawn(move || inject(world, fault, rng));
            }
        });
        std::thread::sleep(Duration::from_millis(rng.random_range(50..400)));
    }
}

fn inject(world: &World, fault: Fault, mut rng: StdRng) {
    let fleet = &world.fleet;
    let entry = &fleet.entries[rng.random_range(0..fleet.entries.len())];
    let endpoint = &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())];
    let engine = &fleet.engines()[rng.random_range(0..fleet.engines().len())];
    let share = if rng.random_bool(0.5) { 1.0 } else { 0.5 };
    let downtime = Duration::from_millis(rng.random_range(200..1_500));
    let pause = Duration::from_millis(rng.random_range(1_000..6_000));
    world.record_fault(format!(
        "{fault:?} {}",
        target_name(fault, &entry.process, endpoint, engine)
    ));
    match fault {
        Fault::KillEntry => kill_and_restart(world, KillTarget::Entry, &entry.process, downtime),
        Fault::KillAgent => kill_and_restart(world, KillTarget::Agent, &endpoint.agent, downtime),
        Fault::KillEngine => {
            read_endpoint(world, engine);
            kill_and_restart(world, KillTarget::Engine, &engine.server, downtime);
            set_crash_marker(engine, true);
        }
        Fault::CrashEngine => crash_engine(world, engine),
        Fault::PauseEntry => pause_process(world, &entry.process, pause),
        Fault::PauseAgent => pause_process(world, &endpoint.agent, pause),
        Fault::PauseEngine => pause_process(world, &engine.server, pause),
        Fault::CutAgent => endpoint.agent_relay.set(Mode::Cut, share, &mut rng),
        Fault::SilentAgent => endpoint.agent_relay.set(Mode::Silent, share, &mut rng),
        Fault::CutEngine => endpoint.server_relay.set(Mode::Cut, share, &mut rng),
        Fault::SilentEngine => endpoint.server_relay.set(Mode::Silent, share, &mut rng),
        Fault::PlatformOutage => {
            let began = world.now_ms();
            fleet.platform_faults(&json!({ "outage": true }));
            std::thread::sleep(downtime + Duration::from_secs(1));
            fleet.platform_faults(&json!({ "outage": false }));
            world.outages.lock().unwrap().push((began, world.now_ms()));
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

fn kill_and_restart(world: &World, kind: KillTarget, process: &Process, downtime: Duration) {
    world.record_kill(kind);
    process.kill();
    std::thread::sleep(downtime);
    process.restart();
}

fn crash_engine(world: &World, engine: &Endpoint) {
    world.record_kill(KillTarget::Engine);
    let body = json!({ "messages": [{ "role": "user", "content": POISON }] }).to_string();
    let path = "/v1/chat/completions";
    let headers = [("x-request-id", "crash")];
    let _ = http::send("POST", engine.server_addr, path, &headers, &body);
    std::thread::sleep(Duration::from_millis(CRASH_MS));
    wait_until("the engine serves again", || {
        http::get_json(engine.server_addr, "/standin/runs").is_some()
    });
}

fn pause_process(world: &World, process: &Process, pause: Duration) {
    let open_pause = (world.now_ms(), u64::MAX);
    world.pauses.lock().unwrap().push(open_pause);
    process.pause();
    std::thread::sleep(pause);
    process.resume();
    let mut pauses = world.pauses.lock().unwrap();
    let own_pause = pauses.iter_mut().find(|pause| **pause == open_pause).unwrap();
    own_pause.1 = world.now_ms();
}
