//! Callers of the online routes.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::history::Call;
use super::history::CallKind;
use super::oracle::path;
use super::run::TestRun;
use super::standin::caller::Connection;
use super::standin::caller::Outcome;
use super::standin::endpoint::SLOW;

/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(3);

/// Time budget of a request during a shutdown.
const SLOW_BUDGET: Duration = Duration::from_secs(5);

/// Times after the start of a shutdown at which slow requests are sent. The first three end within it
/// and keep the process running; the others would not end.
const SLOW_REQUESTS_AT: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(1_000),
    Duration::from_millis(2_400),
    Duration::from_millis(4_400),
    Duration::from_millis(5_000),
];

/// Probability that a caller abandons its request.
const ABANDON_SHARE: f64 = 0.08;

/// Probability that a caller selects a gateway anew after a complete response.
const SWITCH_SHARE: f64 = 0.1;

/// Kind of each caller, for three gateways. Each caller sends one request after another.
pub(crate) const CALLERS: [CallKind; 10] = [
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Resumable,
    CallKind::Resumable,
    CallKind::Resumable,
    CallKind::Plain,
    CallKind::Plain,
    CallKind::Once,
    CallKind::Once,
];

/// Sends requests until the load ends. A caller reuses its connection until the gateway closes it.
pub(crate) async fn run(test_run: &TestRun, caller: usize) {
    let kind = CALLERS[caller % CALLERS.len()];
    let mut rng = StdRng::seed_from_u64(test_run.seed ^ (caller as u64) << 32);
    let gateways = test_run.fleet.gateways().len();
    let mut gateway = caller % gateways;
    let mut connection = Connection::to(test_run.fleet.gateways()[gateway].callers);
    for number in 0.. {
        if test_run.stop_load.load(SeqCst) {
            return;
        }
        let abandon_after =
            rng.random_bool(ABANDON_SHARE).then(|| Duration::from_millis(rng.random_range(5..400)));
        let id = format!("{}{caller}.{number}", test_run.seed);
        let call = send(&mut connection, kind, gateway, id, BUDGET, abandon_after).await;
        let answered = call.has_full_answer();
        test_run.calls.lock().unwrap().push(call);
        if !answered || rng.random_bool(SWITCH_SHARE) {
            gateway = rng.random_range(0..gateways);
            connection = Connection::to(test_run.fleet.gateways()[gateway].callers);
        }
        sleep(Duration::from_millis(rng.random_range(5..120))).await;
    }
}

/// Opens connections to a gateway that is about to shut down, each of which has served a request.
pub(crate) async fn open_connections(test_run: &TestRun, gateway: usize) -> Vec<Connection> {
    let mut connections = Vec::new();
    for number in 0..SLOW_REQUESTS_AT.len() {
        let mut connection = Connection::to(test_run.fleet.gateways()[gateway].callers);
        let id = format!("{}early.{number}", test_run.seed);
        let call = send(&mut connection, CallKind::Plain, gateway, id, BUDGET, None).await;
        test_run.calls.lock().unwrap().push(call);
        connections.push(connection);
    }
    connections
}

/// Sends slow streams on open connections to a gateway whose shutdown begins now.
pub(crate) async fn send_during_shutdown(
    test_run: &TestRun,
    gateway: usize,
    connections: Vec<Connection>,
) {
    let requests = connections.into_iter().zip(SLOW_REQUESTS_AT).enumerate();
    join_all(requests.map(|(number, (mut connection, at))| async move {
        sleep(at).await;
        let id = format!("{SLOW}{}.{number}", test_run.seed);
        let kind = CallKind::Stream;
        let call = send(&mut connection, kind, gateway, id, SLOW_BUDGET, None).await;
        test_run.calls.lock().unwrap().push(call);
    }))
    .await;
}

/// Sends one request of each kind through each gateway.
pub(crate) async fn send_probes(test_run: &TestRun) -> Vec<Call> {
    let mut probes = Vec::new();
    for (gateway, program) in test_run.fleet.gateways().iter().enumerate() {
        for kind in [CallKind::Stream, CallKind::Resumable, CallKind::Plain, CallKind::Once] {
            let id = format!("probe-{gateway}-{}", probes.len());
            let mut connection = Connection::to(program.callers);
            probes.push(send(&mut connection, kind, gateway, id, BUDGET, None).await);
        }
    }
    probes
}

async fn send(
    connection: &mut Connection,
    kind: CallKind,
    gateway: usize,
    id: String,
    budget: Duration,
    abandon_after: Option<Duration>,
) -> Call {
    let now = Instant::now();
    let mut call = Call {
        body: format!("ask {id}"),
        id,
        kind,
        gateway,
        budget,
        began: now,
        ended: now,
        outcome: Outcome::Closed,
    };
    let path = path(&call);
    call.outcome = connection.post(&path, &call.id, &call.body, budget, abandon_after).await;
    call.ended = Instant::now();
    call
}
