//! A batch job is ended while the channels that others opened to its driver have gone silent.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster::Folder;
use crate::cluster::Process;
use crate::cluster::free_addr;
use crate::http::Message;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site;
use crate::store::Store;
use crate::worker::Plan;
use crate::worker::Runs;
use crate::worker::Worker;

const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
const ITEMS: usize = 40;

/// `cancel-ms` of the sites in force.
const CANCEL: Duration = Duration::from_millis(3_000);

/// `contact-ms` of the sites in force. Silent channels count as a reset at the moment they go silent.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn play(trouble: bool, path: &str) -> Verdict {
    let record = Record::new();
    let (store, runs, folder) = (Store::default(), Runs::default(), Folder::create());
    store.put("config", "main", &site::config(3, "writer", &["writer"]));
    // An item takes 1.2 s.
    let plan =
        |_: &Message| Plan { events: 40, interval: Duration::from_millis(30), crashes: false };
    let _worker = Worker::start("i-writer-1", "writer", 2, &store, &runs, plan);
    let mut drivers = Vec::new();
    let mut proxies = Vec::new();
    for zone in ZONES {
        let name = format!("store-{zone}-1");
        let peer = free_addr();
        let proxy = Proxy::start(peer);
        let rewrite = (peer.to_string(), proxy.addr.to_string());
        let platform = store.listen(&name, Some(rewrite));
        drivers.push(Process::driver(&name, zone, peer, platform, &folder));
        proxies.push(proxy);
    }
    let mut gateways = Vec::new();
    for zone in &ZONES[..2] {
        let name = format!("front-{zone}-1");
        let platform = store.listen(&name, None);
        gateways.push(Process::gateway(&name, zone, platform, &folder));
    }
    gateways.iter().for_each(Process::wait_ready);
    // A driver that starts watches until it knows the others, and for 5 s more.
    thread::sleep(Duration::from_secs(18));

    let watches = |name: &str| {
        let is_watch = |what: &str| what.starts_with("GET /api/objects/batch-ends?watch");
        let is_recent = |at: Instant| at.elapsed() < Duration::from_millis(6_500);
        let calls = store.calls();
        calls.iter().any(|call| call.from == name && is_recent(call.at) && is_watch(&call.what))
    };
    let Some(index) = drivers.iter().position(|driver| !watches(&driver.name)) else {
        return Verdict::NotRun("every driver watches the ends of jobs".to_owned());
    };
    record
        .add(format!("{} does not watch the ends of batch jobs in the store", drivers[index].name));
    // A few small jobs, until one goes to that driver; the next one with its name is the long one.
    let Some(job) = job_of(&record, &drivers[index], gateways[0].listen) else {
        return Verdict::NotRun("no job went to that driver".to_owned());
    };
    thread::sleep(Duration::from_secs(2));
    let seen = runs.lock().expect("runs").iter().filter(|run| run.id.starts_with(&job)).count();
    if seen == 0 {
        return Verdict::NotRun("the job does not run".to_owned());
    }
    if trouble {
        proxies[index].silence();
        record.add(format!("the channels that others opened to {} go silent", drivers[index].name));
    }
    let silent_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    if site::end(&record, gateways[0].listen, &job) != 200 {
        return Verdict::NotRun("the end was not confirmed".to_owned());
    }
    let ended_at = Instant::now();
    thread::sleep(Duration::from_secs(20));
    record.write(path, &runs);
    let from = (ended_at + CANCEL).max(silent_at + CONTACT);
    let late: Vec<String> = runs
        .lock()
        .expect("runs")
        .iter()
        .filter(|run| run.id.starts_with(&job) && run.began > from)
        .map(|run| format!("{} {:.1} s", run.id, (run.began - ended_at).as_secs_f64()))
        .collect();
    match late.as_slice() {
        [] => Verdict::Held,
        [first, .., last] => Verdict::Broken(format!(
            "{} items began to run later than 3 s after the end was confirmed, from {first} to {last} after it",
            late.len()
        )),
        [only] => {
            Verdict::Broken(format!("{only} after the end was confirmed, an item began to run"))
        }
    }
}

/// Submits jobs until one is driven by this driver, and returns it. The others are ended.
fn job_of(record: &Record, driver: &Process, gateway: std::net::SocketAddr) -> Option<String> {
    for number in 0..40 {
        let job = format!("7c41e09b52d6a3{number:02}");
        let items: Vec<String> = (0..ITEMS).map(|n| format!("{job}{n:02}")).collect();
        if site::submit(record, gateway, &job, &items) != 202 {
            return None;
        }
        let until = Instant::now() + Duration::from_millis(700);
        while Instant::now() < until {
            if driver.output().contains(&format!("job claimed request={job}")) {
                return Some(job);
            }
            thread::sleep(Duration::from_millis(50));
        }
        site::end(record, gateway, &job);
    }
    None
}
