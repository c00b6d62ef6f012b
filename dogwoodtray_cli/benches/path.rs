//! Processor time of the gateways and drivers for each request and event, as separate processes.
//!
//! Prints milliseconds per second at rest, and microseconds for each request and event. The time
//! of a thread is read from `/proc`, so this runs on Linux only.

#![allow(clippy::unwrap_used, reason = "a benchmark fails by panicking")]
#![allow(dead_code, reason = "the fault soak uses the rest")]

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

/// Time over which processes at rest are measured.
const REST: Duration = Duration::from_secs(5);

/// Requests in each measurement.
const REQUESTS: usize = 800;

/// Connections that send them, as many as the endpoints have places.
const CONNECTIONS: usize = 8;

/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(4);

fn main() {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let dir = new_dir("path-bench");
    runtime.block_on(async {
        let fleet = Arc::new(Fleet::start(&dir).await);
        sleep(Duration::from_secs(1)).await;
        let before = (busy(fleet.gateways()), busy(fleet.drivers()));
        sleep(REST).await;
        let share = |busy: Duration, processes: usize| {
            1e3 * busy.as_secs_f64() / REST.as_secs_f64() / processes as f64
        };
        println!(
            "at rest: {:.2} ms/s a gateway, {:.2} ms/s a driver",
            share(busy(fleet.gateways()) - before.0, fleet.gateways().len()),
            share(busy(fleet.drivers()) - before.1, fleet.drivers().len())
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

/// Microseconds and events for each request.
struct Cost {
    gateway: f64,
    drivers: f64,
    events: f64,
}

async fn measure(fleet: &Arc<Fleet>, route: &'static str, fits: fn(u64) -> bool) -> Cost {
    let ids = (0..).map(|number| format!("{route}-{number}"));
    let ids: Arc<Vec<String>> =
        Arc::new(ids.filter(|id| fits(event_count(id))).take(REQUESTS).collect());
    let events = ids.iter().map(|id| event_count(id)).sum::<u64>() as f64 / REQUESTS as f64;
    let next = Arc::new(AtomicUsize::new(0));
    let before = (busy(fleet.gateways()), busy(fleet.drivers()));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        let (fleet, ids, next) = (Arc::clone(fleet), Arc::clone(&ids), Arc::clone(&next));
        tasks.spawn(async move {
            let mut connection = Connection::to(fleet.gateways()[0].callers);
            while let Some(id) = ids.get(next.fetch_add(1, SeqCst)) {
                let path = format!("/{route}/{id}");
                let outcome = connection.post(&path, id, "ask", BUDGET, None).await;
                assert_eq!(status(&outcome), Some(200), "{outcome:?}");
            }
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.unwrap();
    }
    let each = |busy: Duration| 1e6 * busy.as_secs_f64() / REQUESTS as f64;
    Cost {
        gateway: each(busy(fleet.gateways()) - before.0),
        drivers: each(busy(fleet.drivers()) - before.1),
        events,
    }
}

/// Returns the processor time of all threads of the processes.
fn busy(programs: &[Program]) -> Duration {
    let of_thread = |path: std::path::PathBuf| {
        let stat = fs::read_to_string(path.join("schedstat")).unwrap();
        Duration::from_nanos(stat.split(' ').next().unwrap().parse().unwrap())
    };
    programs
        .iter()
        .map(|program| format!("/proc/{}/task", program.process.pid().unwrap()))
        .flat_map(|tasks| fs::read_dir(tasks).unwrap())
        .map(|thread| of_thread(thread.unwrap().path()))
        .sum()
}
