//! Fault injection and its schedule.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::child::Process;
use super::fleet::GRACE_S;
use super::fleet::Program;
use super::fleet::SiteEndpoint;
use super::relay::Mode;
use super::relay::Relay;
use super::run::TestRun;
use super::standin::site::config_with;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillGateway,
    KillDriver,
    KillAllDrivers,
    PauseGateway,
    PauseDriver,
    TerminateGateway,
    TerminateDriver,
    ReplaceEndpoint,
    RestartEndpoint,
    RemoveRegistration,
    DisturbEndpoint,
    UnreliableEndpoint,
    DisturbPeer,
    StoreDown,
    StoreSlow,
    StoreLosesReplies,
    StoreRejects,
    StoreSilentWatches,
    DisturbStore,
    NewConfiguration,
}

const ALL: &[Fault] = &[
    Fault::KillGateway,
    Fault::KillDriver,
    Fault::KillAllDrivers,
    Fault::PauseGateway,
    Fault::PauseDriver,
    Fault::TerminateGateway,
    Fault::TerminateDriver,
    Fault::ReplaceEndpoint,
    Fault::RestartEndpoint,
    Fault::RemoveRegistration,
    Fault::DisturbEndpoint,
    Fault::UnreliableEndpoint,
    Fault::DisturbPeer,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesReplies,
    Fault::StoreRejects,
    Fault::StoreSilentWatches,
    Fault::DisturbStore,
    Fault::NewConfiguration,
];

/// Interval at which a terminating process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Separates the choices of the endpoints that leave from those of the other faults.
const LEAVING_SEED: u64 = 1 << 48;

/// Number of series of faults that run concurrently.
const CONCURRENT_SERIES: usize = 3;

/// Injects faults in an order determined by the seed until `deadline`.
pub(crate) async fn inject_until(test_run: &TestRun, deadline: Instant) {
    let mut rng = StdRng::seed_from_u64(test_run.seed);
    let mut orders = vec![ALL.to_vec(); CONCURRENT_SERIES];
    orders.iter_mut().for_each(|faults| faults.shuffle(&mut rng));
    let leaving_rng = StdRng::seed_from_u64(test_run.seed ^ LEAVING_SEED);
    let series: Vec<_> = orders
        .into_iter()
        .map(|faults| inject_series(test_run, faults, StdRng::from_rng(&mut rng), deadline))
        .collect();
    tokio::join!(
        futures_util::future::join_all(series),
        let_endpoints_leave(test_run, leaving_rng, deadline)
    );
}

/// Lets one endpoint after the other say that it is leaving, while its entry says that it is ready,
/// and restarts it.
async fn let_endpoints_leave(test_run: &TestRun, mut rng: StdRng, deadline: Instant) {
    while Instant::now() < deadline {
        let endpoint = choose(&test_run.fleet.endpoints, &mut rng);
        test_run.record_fault(&format!("LeaveEndpoint {}", endpoint.server.id()));
        endpoint.server.announce_leaving();
        sleep(Duration::from_millis(rng.random_range(2_500..4_000))).await;
        let downtime = Duration::from_millis(rng.random_range(0..1_500));
        restart_endpoint(test_run, endpoint, downtime, rng.random_bool(0.5)).await;
    }
}

async fn inject_series(test_run: &TestRun, faults: Vec<Fault>, mut rng: StdRng, deadline: Instant) {
    for fault in faults.into_iter().cycle() {
        if Instant::now() >= deadline {
            return;
        }
        inject(test_run, fault, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
    }
}

async fn inject(test_run: &TestRun, fault: Fault, rng: &mut StdRng) {
    let fleet = &test_run.fleet;
    let gateway = choose(fleet.gateways(), rng);
    let driver = choose(fleet.drivers(), rng);
    let program = choose(&fleet.programs, rng);
    let endpoint = choose(&fleet.endpoints, rng);
    let engine = choose(fleet.engines(), rng);
    let downtime = Duration::from_millis(rng.random_range(0..1_500));
    let pause = Duration::from_millis(rng.random_range(300..4_000));
    test_run.record_fault(&format!(
        "{fault:?} {}",
        target_name(fault, gateway, driver, program, endpoint)
    ));
    let began = Instant::now();
    match fault {
        Fault::KillGateway => kill_and_restart(&gateway.process, downtime).await,
        Fault::KillDriver => kill_and_restart(&driver.process, downtime).await,
        Fault::KillAllDrivers => {
            fleet.drivers().iter().for_each(|driver| driver.process.kill());
            sleep(downtime).await;
            fleet.drivers().iter().for_each(|driver| driver.process.restart());
        }
        Fault::PauseGateway => pause_process(&gateway.process, pause).await,
        Fault::PauseDriver => pause_process(&driver.process, pause).await,
        Fault::TerminateGateway => drop(terminate_and_restart(&gateway.process).await),
        Fault::TerminateDriver => drop(terminate_and_restart(&driver.process).await),
        Fault::ReplaceEndpoint => restart_endpoint(test_run, endpoint, downtime, true).await,
        Fault::RestartEndpoint => restart_endpoint(test_run, endpoint, downtime, false).await,
        Fault::RemoveRegistration => {
            endpoint.server.unregister().await;
            sleep(pause).await;
            endpoint.server.register("ready");
        }
        Fault::DisturbEndpoint => disturb_relay(&endpoint.relay, pause, rng).await,
        Fault::UnreliableEndpoint => {
            engine.server.set_unreliable(true);
            sleep(pause).await;
            engine.server.set_unreliable(false);
        }
        Fault::DisturbPeer => disturb_relay(&program.peer_relay, pause, rng).await,
        Fault::StoreDown => {
            fleet.objects.set_down(true);
            sleep(pause).await;
            fleet.objects.set_down(false);
        }
        Fault::StoreSlow => {
            let delay = Duration::from_millis(rng.random_range(20..600));
            fleet.programs.iter().for_each(|program| program.store.set_delay(delay));
            sleep(pause).await;
            fleet.programs.iter().for_each(|program| program.store.set_delay(Duration::ZERO));
        }
        Fault::StoreLosesReplies => fleet.objects.lose_replies(rng.random_range(1..6)),
        Fault::StoreRejects => {
            program.store.objects().set_rejecting(true);
            sleep(pause).await;
            program.store.objects().set_rejecting(false);
        }
        Fault::StoreSilentWatches => {
            fleet.objects.stall_watches(true);
            sleep(pause).await;
            fleet.objects.stall_watches(false);
        }
        Fault::DisturbStore => disturb_relay(&program.store_relay, pause, rng).await,
        Fault::NewConfiguration => publish(test_run, choose::<&str>(&["ledger", "archive"], rng)),
    }
    if matches!(fault, Fault::KillGateway | Fault::PauseGateway | Fault::TerminateGateway) {
        let index = fleet.gateways().iter().position(|other| std::ptr::eq(other, gateway));
        let fault = (index.expect("the gateway is in the fleet"), began, Instant::now());
        test_run.gateway_faults.lock().unwrap().push(fault);
    }
}

fn choose<'a, T>(items: &'a [T], rng: &mut StdRng) -> &'a T {
    &items[rng.random_range(0..items.len())]
}

fn target_name<'a>(
    fault: Fault,
    gateway: &'a Program,
    driver: &'a Program,
    program: &'a Program,
    endpoint: &'a SiteEndpoint,
) -> String {
    match fault {
        Fault::KillGateway | Fault::PauseGateway | Fault::TerminateGateway => {
            gateway.process.name.clone()
        }
        Fault::KillDriver | Fault::PauseDriver | Fault::TerminateDriver => {
            driver.process.name.clone()
        }
        Fault::DisturbPeer | Fault::StoreRejects | Fault::DisturbStore => {
            program.process.name.clone()
        }
        Fault::ReplaceEndpoint
        | Fault::RestartEndpoint
        | Fault::RemoveRegistration
        | Fault::DisturbEndpoint => endpoint.server.id(),
        _ => "site".to_owned(),
    }
}

/// Writes the next version of the configuration, with `service` as the target of the plain route.
pub(crate) fn publish(test_run: &TestRun, service: &str) {
    let mut version = test_run.version.lock().unwrap();
    *version += 1;
    test_run.fleet.objects.put("config", "main", &config_with(*version, service));
}

async fn kill_and_restart(process: &Process, downtime: Duration) {
    process.kill();
    sleep(downtime).await;
    process.restart();
}

async fn pause_process(process: &Process, pause: Duration) {
    process.pause();
    sleep(pause).await;
    process.resume();
}

/// Shuts a process down gracefully and restarts it. Returns the time at which it exited, and its
/// exit code if it exited within the grace period.
pub(crate) async fn terminate_and_restart(process: &Process) -> (Instant, Option<i32>) {
    process.terminate();
    let deadline = Instant::now() + Duration::from_secs(GRACE_S);
    while process.is_running_or_killed() && Instant::now() < deadline {
        sleep(EXIT_POLL_INTERVAL).await;
    }
    let ended = Instant::now();
    let exit_code =
        if process.is_running_or_killed() { None } else { process.wait(EXIT_POLL_INTERVAL) };
    process.restart();
    (ended, exit_code)
}

/// Kills an endpoint and restarts it with its old id or, after its registration was removed, with a
/// new one.
async fn restart_endpoint(
    test_run: &TestRun,
    endpoint: &SiteEndpoint,
    downtime: Duration,
    new_id: bool,
) {
    let server = &endpoint.server;
    server.kill();
    sleep(downtime).await;
    let mut id = server.id();
    if new_id {
        server.unregister().await;
        let number = test_run.new_endpoint_ids.fetch_add(1, SeqCst);
        id = format!("{}-s{number}", id.split("-s").next().unwrap_or_default());
    }
    server.restart(id).await;
}

async fn disturb_relay(relay: &Relay, pause: Duration, rng: &mut StdRng) {
    let delay = Duration::from_millis(rng.random_range(5..300));
    let modes = [Mode::Cut, Mode::Silent, Mode::OneWay, Mode::Slow(delay)];
    let mode = *choose(&modes, rng);
    if rng.random_bool(0.5) {
        relay.set_all(mode);
        sleep(pause).await;
        relay.set_all(Mode::Open);
    } else {
        relay.set(mode, 0.5, rng);
    }
}
