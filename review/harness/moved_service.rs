//! A batch route moves to another service while items of a batch job wait for the first one.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster::Folder;
use crate::cluster::Process;
use crate::cluster::free_addr;
use crate::http::Message;
use crate::record::Record;
use crate::site;
use crate::store::Store;
use crate::worker::Plan;
use crate::worker::Runs;
use crate::worker::Worker;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 6;

/// `finish-s` of the sites in force.
const FINISH: Duration = Duration::from_secs(18);

/// Time after `finish-s` in which the rule looks for work: it asks for 5 calm seconds.
const CALM: Duration = Duration::from_secs(5);

/// Time for which the script reads on, to see when the items are done.
const LAST_READ: Duration = Duration::from_secs(85);

pub fn play(trouble: bool, path: &str) -> Verdict {
    let record = Record::new();
    let (store, runs, folder) = (Store::default(), Runs::default(), Folder::create());
    store.put("config", "main", &site::config(3, "blue", &["blue", "green"]));
    // An item takes 3 s, like the longer ones of the sites in force.
    let plan =
        |_: &Message| Plan { events: 100, interval: Duration::from_millis(30), crashes: false };
    let blue = Worker::start("i-blue-1", "blue", 2, &store, &runs, plan);
    let green: Vec<Worker> = (1..=5)
        .map(|n| Worker::start(&format!("i-green-{n}"), "green", 8, &store, &runs, plan))
        .collect();
    let mut processes = Vec::new();
    for zone in ZONES {
        let name = format!("store-{zone}-1");
        let platform = store.listen(&name, None);
        processes.push(Process::driver(&name, zone, free_addr(), platform, &folder));
    }
    let first = processes.len();
    for zone in &ZONES[..2] {
        let name = format!("front-{zone}-1");
        let platform = store.listen(&name, None);
        processes.push(Process::gateway(&name, zone, platform, &folder));
    }
    processes[first..].iter().for_each(Process::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let gateways = [processes[first].listen, processes[first + 1].listen];

    let items: Vec<String> = (0..ITEMS).map(|n| format!("e5b2907c14da6f{n:02}")).collect();
    if site::submit(&record, gateways[0], JOB, &items) != 202 {
        return Verdict::NotRun("the batch job was not accepted".to_owned());
    }
    let submitted = Instant::now();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        store.put("config", "main", &site::config(8, "green", &["blue", "green"]));
        record.add("operator config 8 is confirmed: the batch route goes to green");
        thread::sleep(Duration::from_secs(1));
        blue.drain();
        record.add("worker i-blue-1 reports draining (one of six workers)");
        thread::sleep(Duration::from_secs(4));
        blue.leave();
        record.add("worker i-blue-1 has left, its runs are done");
    }
    // All disruption is planned and over; what follows counts from here.
    let over = Instant::now();
    let mut listed = BTreeSet::new();
    let mut broken = None;
    while listed.len() < ITEMS && submitted.elapsed() < LAST_READ {
        let gateway = gateways[usize::from(submitted.elapsed().as_millis() % 2 == 0)];
        if let Some(results) = site::read(&record, gateway, JOB, listed.len()) {
            listed.extend(results.into_iter().map(|result| result.id));
        }
        let now = Instant::now();
        if broken.is_none() && over.elapsed() >= FINISH + CALM {
            broken = Some(idle_items(&runs, &items, &listed, now));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let took = submitted.elapsed().as_secs_f64();
    record.add(format!("{} of {ITEMS} items listed {took:.1} s after the 202", listed.len()));
    record.write(path, &runs);
    if green.iter().any(|worker| worker.running() > 0) {
        return Verdict::NotRun("a worker still runs".to_owned());
    }
    match broken.flatten() {
        Some(text) => Verdict::Broken(text),
        None if listed.len() == ITEMS => Verdict::Held,
        None => Verdict::NotRun("the items are not done, with an excuse of the rule".to_owned()),
    }
}

/// Checks the rule as it is written. Returns what broke it.
fn idle_items(
    runs: &Runs,
    items: &[String],
    listed: &BTreeSet<String>,
    now: Instant,
) -> Option<String> {
    let open: Vec<&String> = items.iter().filter(|item| !listed.contains(*item)).collect();
    let runs = runs.lock().expect("runs").clone();
    let ended_within = |run: &crate::worker::Run, time: Duration| {
        run.ended.is_none_or(|ended| now.saturating_duration_since(ended) < time)
    };
    // No worker had an unlisted item, all were under half full, and no item was finished.
    let is_excused = runs.iter().any(|run| ended_within(run, CALM));
    let has_failed =
        runs.iter().any(|run| run.outcome == "cut" && ended_within(run, Duration::from_secs(20)));
    if open.is_empty() || is_excused || has_failed {
        return None;
    }
    let names: Vec<&str> = open.iter().map(|item| item.as_str()).collect();
    Some(format!(
        "finish-s is over, items {} are not listed, and no worker has had any item for 5 s",
        names.join(", ")
    ))
}
