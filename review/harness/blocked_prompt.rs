//! A part of a prompt crashes workers; sound requests share the first part of these prompts.

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

/// First part of all prompts.
const FIRST: &str = "5c1e07a2:100";

/// Part that crashes each worker that begins to write an answer on it.
const DEADLY: &str = "deadbeef:100";

/// Requests with the deadly part that come together at first.
const TOGETHER: usize = 4;

/// Time for which requests with the deadly part come.
const DEADLY_TIME: Duration = Duration::from_secs(30);

/// Time after that from which requests count as outside the disruption.
const SETTLED: Duration = Duration::from_secs(20);

/// Time for which requests are sent.
const TRAFFIC: Duration = Duration::from_secs(75);

/// Twice `contact-ms` of the sites in force.
const CONTACT_TWICE: Duration = Duration::from_secs(6);

/// Requests that the rule asks for on each side.
const ENOUGH: usize = 20;

pub fn play(trouble: bool, path: &str) -> Verdict {
    let record = Record::new();
    let (store, runs, folder) = (Store::default(), Runs::default(), Folder::create());
    store.put("config", "main", &site::config(3, "writer", &["writer"]));
    let plan = move |req: &Message| Plan {
        events: 10,
        interval: Duration::from_millis(30),
        crashes: trouble && req.header("prompt-prefix").is_some_and(|p| p.contains(DEADLY)),
    };
    let _workers: Vec<Worker> = (1..=6)
        .map(|n| Worker::start(&format!("i-writer-{n}"), "writer", 8, &store, &runs, plan))
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

    let start = Instant::now();
    let mut threads = Vec::new();
    let send = |number: usize, kind: &str, prompt: String| {
        let (record, gateway) = (record.clone(), gateways[number % 2]);
        let id = format!("{kind}{number:04}");
        thread::spawn(move || site::stream(&record, gateway, &id, &prompt))
    };
    let deadly = |n: usize| format!("{FIRST},{DEADLY},aa{n:04}:250");
    let sound = |n: usize| format!("{FIRST},bb{n:04}:250");
    for number in 0..TOGETHER {
        threads.push(send(number, "deadly", deadly(number)));
    }
    let mut last_deadly = Instant::now();
    let mut sent = Vec::new();
    thread::sleep(Duration::from_millis(500));
    for number in 0.. {
        if start.elapsed() >= TRAFFIC {
            break;
        }
        sent.push((format!("sound{number:04}"), Instant::now()));
        threads.push(send(number, "sound", sound(number)));
        if number % 2 == 0 && start.elapsed() < DEADLY_TIME {
            last_deadly = Instant::now();
            threads.push(send(TOGETHER + number, "deadly", deadly(TOGETHER + number)));
        }
        thread::sleep(Duration::from_millis(500));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    record.write(path, &runs);

    let runs = runs.lock().expect("runs").clone();
    let mut crashes: Vec<Instant> =
        runs.iter().filter(|run| run.outcome == "crashed").filter_map(|run| run.ended).collect();
    crashes.sort();
    // From the fifth crash on, or the last, if there are fewer.
    let crash = crashes.get(4).or(crashes.last()).copied().unwrap_or(start);
    let begun = |id: &String| runs.iter().any(|run| run.id == *id);
    let count = |from: Instant, until: Instant| {
        let inside = sent.iter().filter(|(_, at)| (from..until).contains(at));
        let ids: Vec<&String> = inside.map(|(id, _)| id).collect();
        (ids.len(), ids.iter().filter(|id| begun(id)).count())
    };
    let (during, begun_during) = count(crash + CONTACT_TWICE, last_deadly);
    let (outside, begun_outside) = count(last_deadly + SETTLED, start + TRAFFIC);
    println!(
        "{} runs ended by a crash; sound requests begun: {begun_during} of {during} while deadly ones come, {begun_outside} of {outside} outside",
        crashes.len()
    );
    if during < ENOUGH || outside < ENOUGH {
        return Verdict::NotRun("too few requests".to_owned());
    }
    if begun_during * outside * 2 < begun_outside * during {
        return Verdict::Broken(format!(
            "{begun_during} of {during} sound requests with the same first part begin while deadly ones come, {begun_outside} of {outside} outside"
        ));
    }
    Verdict::Held
}
