//! The store machines are emptied and taken away one after the other, each when the system says so.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster::Folder;
use crate::cluster::Process;
use crate::cluster::free_addr;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;
use crate::site;
use crate::store::Store;
use crate::worker::Plan;
use crate::worker::Runs;
use crate::worker::Worker;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const JOBS: [&str; 2] = ["7c41e09b52d6a301", "7c41e09b52d6a302"];
const ITEMS: usize = 8;

/// Time between two retirements.
const GAP: Duration = Duration::from_secs(12);

/// `finish-s` of the sites in force.
const FINISH: Duration = Duration::from_secs(18);

/// Time for which a job is read again at the end, after each failure.
const LAST_READS: Duration = Duration::from_secs(6);

pub fn play(trouble: bool, path: &str) -> Verdict {
    let record = Record::new();
    let (store, runs, folder) = (Store::default(), Runs::default(), Folder::create());
    store.put("config", "main", &site::config(3, "writer", &["writer"]));
    let plan =
        |_: &Message| Plan { events: 40, interval: Duration::from_millis(30), crashes: false };
    let _workers: Vec<Worker> = (1..=3)
        .map(|n| Worker::start(&format!("i-writer-{n}"), "writer", 8, &store, &runs, plan))
        .collect();
    let mut drivers = Vec::new();
    for zone in ZONES {
        let name = format!("store-{zone}-1");
        let platform = store.listen(&name, None);
        drivers.push(Process::driver(&name, zone, free_addr(), platform, &folder));
    }
    let mut gateways = Vec::new();
    for zone in &ZONES[..2] {
        let name = format!("front-{zone}-1");
        let platform = store.listen(&name, None);
        gateways.push(Process::gateway(&name, zone, platform, &folder));
    }
    gateways.iter().for_each(Process::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let submit = |number: usize| {
        let items: Vec<String> = (0..ITEMS).map(|n| format!("{}{n:02}", JOBS[number])).collect();
        site::submit(&record, gateways[number].listen, JOBS[number], &items)
    };

    if submit(0) != 202 {
        return Verdict::NotRun("the batch job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let before = site::read(&record, gateways[0].listen, JOBS[0], 0).unwrap_or_default().len();
    if trouble {
        for driver in &mut drivers {
            let asked = Instant::now();
            store.put("retirements", &driver.name, "{\"duration-s\":8.6}");
            record.add(format!("operator asks to empty {}", driver.name));
            while !is_completed(&store, &driver.name) {
                if asked.elapsed() > GAP {
                    record.write(path, &runs);
                    return Verdict::Held;
                }
                thread::sleep(Duration::from_millis(50));
            }
            driver.kill();
            record.add(format!("{} is completed, and the machine is removed", driver.name));
            thread::sleep(GAP.saturating_sub(asked.elapsed()));
        }
    }
    // A job that comes now is accepted, or refused truthfully.
    let second = submit(1);
    thread::sleep(FINISH);
    let mut unread = Vec::new();
    for job in &JOBS[..if second == 202 { 2 } else { 1 }] {
        let until = Instant::now() + LAST_READS;
        let mut is_read = false;
        for number in 0.. {
            if is_read || Instant::now() >= until {
                break;
            }
            is_read = site::read(&record, gateways[number % 2].listen, job, 0).is_some();
            thread::sleep(Duration::from_millis(300));
        }
        if !is_read {
            unread.push(*job);
        }
    }
    record.write(path, &runs);
    if before == 0 {
        return Verdict::NotRun("the first job had no results before".to_owned());
    }
    if unread.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!("at the end batch jobs {} can't be read", unread.join(" and ")))
}

/// Returns `true` if the system has recorded that a machine is emptied.
fn is_completed(store: &Store, name: &str) -> bool {
    let object = Json::parse(&store.get("retirements", name).1);
    object.is_some_and(|o| o.get("status").get("state").text() == Some("completed"))
}
