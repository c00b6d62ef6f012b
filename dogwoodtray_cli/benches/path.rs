//! Measures the processor time that gateways and drivers use per request and per event.
//!
//! Gateways and drivers run as separate processes. Prints milliseconds per second when idle, and
//! microseconds per request and event. The processor time of a thread is read from `/proc`, so this
//! benchmark runs on Linux only.

#![allow(clippy::unwrap_used, reason = "a benchmark fails by panicking")]
#![allow(dead_code, reason = "the fault soak test uses the rest")]

#[path = "../tests/soak_support/mod.rs"]
mod soak_support;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use soak_support::fleet::Fleet;
use soak_support::fleet::Program;
use soak_support::run::new_dir;
use soak_support::standin::caller::Connection;
use soak_support::standin::caller::status;
use soak_support::standin::endpoint::event_count;
use tokio::runtime::Builder;
use tokio::time::sleep;

/// Time over which idle processes are measured.
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// Number of requests in each measurement.
const REQUESTS: usize = 800;

/// Number of connections that send requests, equal to the number of places of the endpoints.
const CONNECTIONS: usize = 8;

/// Deadline of a request, relative to its start.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

fn main() {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = new_dir("path-bench");
    runtime.block_on(async {
        let fleet = Arc::new(Fleet::start(&dir).await);
        sleep(Duration::from_secs(1)).await;
        let before = (cpu_time(fleet.gateways()), cpu_time(fleet.drivers()));
        sleep(IDLE_DURATION).await;
        let millis_per_second = |cpu_time: Duration, processes: usize| {
            1e3 * cpu_time.as_secs_f64() / IDLE_DURATION.as_secs_f64() / processes as f64
        };
        println!(
            "at rest: {:.2} ms/s a gateway, {:.2} ms/s a driver",
            millis_per_second(cpu_time(fleet.gateways()) - before.0, fleet.gateways().len()),
            millis_per_second(cpu_time(fleet.drivers()) - before.1, fleet.drivers().len())
        );
        let plain = measure(&fleet, "plain", |_| true).await;
        let short = measure(&fleet, "stream", |events| events <= 5).await;
        let long = measure(&fleet, "stream", |events| events >= 18).await;
        println!("plain request: {:.0} us gateway, {:.0} us drivers", plain.gateway, plain.drivers);
        println!("short stream: {:.0} us gateway, {:.0} us drivers", short.gateway, short.drivers);
        println!(
            "each further event: {:.1} us gateway",
            (long.gateway - short.gateway) / (long.events - short.events)
        );
    });
    fs::remove_dir_all(dir).unwrap();
}

/// Mean processor time in microseconds, and mean number of events, per request.
struct RequestCost {
    gateway: f64,
    drivers: f64,
    events: f64,
}

async fn measure(fleet: &Arc<Fleet>, route: &'static str, select: fn(u64) -> bool) -> RequestCost {
    let ids = (0..).map(|number| format!("{route}-{number}"));
    let ids: Arc<Vec<String>> =
        Arc::new(ids.filter(|id| select(event_count(id))).take(REQUESTS).collect());
    let events = ids.iter().map(|id| event_count(id)).sum::<u64>() as f64 / REQUESTS as f64;
    let next = Arc::new(AtomicUsize::new(0));
    let before = (cpu_time(fleet.gateways()), cpu_time(fleet.drivers()));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        let (fleet, ids, next) = (Arc::clone(fleet), Arc::clone(&ids), Arc::clone(&next));
        tasks.spawn(async move {
            let mut connection = Connection::to(fleet.gateways()[0].callers);
            while let Some(id) = ids.get(next.fetch_add(1, SeqCst)) {
                let path = format!("/{route}/{id}");
                let outcome = connection.post(&path, id, "ask", REQUEST_TIMEOUT, None).await;
                assert_eq!(status(&outcome), Some(200), "{outcome:?}");
            }
        });
    }
    while let Some(result) = tasks.join_next().await {
        result.unwrap();
    }
    let micros_per_request = |cpu_time: Duration| 1e6 * cpu_time.as_secs_f64() / REQUESTS as f64;
    RequestCost {
        gateway: micros_per_request(cpu_time(fleet.gateways()) - before.0),
        drivers: micros_per_request(cpu_time(fleet.drivers()) - before.1),
        events,
    }
}

/// Returns the processor time of all threads of the processes.
fn cpu_time(programs: &[Program]) -> Duration {
    let thread_time = |path: std::path::PathBuf| {
        let stat = fs::read_to_string(path.join("schedstat")).unwrap();
        Duration::from_nanos(stat.split(' ').next().unwrap().parse().unwrap())
    };
    programs
        .iter()
        .map(|program| format!("/proc/{}/task", program.process.pid().unwrap()))
        .flat_map(|tasks| fs::read_dir(tasks).unwrap())
        .map(|thread| thread_time(thread.unwrap().path()))
        .sum()
}
