//! Callers of the online routes.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

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

/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(3);

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
        let call = send(&mut connection, kind, gateway, id, abandon_after).await;
        let answered = call.has_full_answer();
        test_run.calls.lock().unwrap().push(call);
        if !answered || rng.random_bool(SWITCH_SHARE) {
            gateway = rng.random_range(0..gateways);
            connection = Connection::to(test_run.fleet.gateways()[gateway].callers);
        }
        sleep(Duration::from_millis(rng.random_range(5..120))).await;
    }
}

/// Sends one request of each kind through each gateway.
pub(crate) async fn send_probes(test_run: &TestRun) -> Vec<Call> {
    let mut probes = Vec::new();
    for (gateway, program) in test_run.fleet.gateways().iter().enumerate() {
        for kind in [CallKind::Stream, CallKind::Resumable, CallKind::Plain, CallKind::Once] {
            let id = format!("probe-{gateway}-{}", probes.len());
            let mut connection = Connection::to(program.callers);
            probes.push(send(&mut connection, kind, gateway, id, None).await);
        }
    }
    probes
}

async fn send(
    connection: &mut Connection,
    kind: CallKind,
    gateway: usize,
    id: String,
    abandon_after: Option<Duration>,
) -> Call {
    let now = Instant::now();
    let mut call = Call {
        body: format!("ask {id}"),
        id,
        kind,
        gateway,
        budget: BUDGET,
        began: now,
        ended: now,
        outcome: Outcome::Closed,
    };
    let path = path(&call);
    call.outcome = connection.post(&path, &call.id, &call.body, BUDGET, abandon_after).await;
    call.ended = Instant::now();
    call
}
