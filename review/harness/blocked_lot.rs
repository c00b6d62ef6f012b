//! A batch job whose items share a part that crashes workers, and later a sound one with the same first
//! part.

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

const DEADLY_JOB: &str = "7c41e09b52d6a3d1";
const SOUND_JOB: &str = "7c41e09b52d6a3f8";
const DEADLY_ITEMS: usize = 4;
const SOUND_ITEMS: usize = 6;

/// Time between the two jobs.
const LATER: Duration = Duration::from_secs(52);

/// `finish-s` of the sites in force.
const FINISH: Duration = Duration::from_secs(18);

/// Calm time that the rule asks for.
const CALM: Duration = Duration::from_secs(5);

pub fn play(trouble: bool, path: &str) -> Verdict {
    let record = Record::new();
    let (store, runs, folder) = (Store::default(), Runs::default(), Folder::create());
    store.put("config", "main", &site::config(3, "writer", &["writer"]));
    let plan = move |req: &Message| Plan {
        events: 60,
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

    let item = |kind: &str, number: usize, part: &str| {
        let id = format!("{kind}52d6a3{number:02}");
        let prompt = format!("{FIRST},{part}{id}:250");
        (id, prompt)
    };
    let deadly: Vec<(String, String)> =
        (0..DEADLY_ITEMS).map(|n| item("dead", n, &format!("{DEADLY},"))).collect();
    let sound: Vec<(String, String)> = (0..SOUND_ITEMS).map(|n| item("50d0", n, "")).collect();
    if site::submit_prompts(&record, gateways[0], DEADLY_JOB, &deadly) != 202 {
        return Verdict::NotRun("the first batch job was not accepted".to_owned());
    }
    thread::sleep(LATER);
    if site::submit_prompts(&record, gateways[1], SOUND_JOB, &sound) != 202 {
        return Verdict::NotRun("the second batch job was not accepted".to_owned());
    }
    let submitted = Instant::now();
    let mut listed = Vec::new();
    while listed.len() < SOUND_ITEMS && submitted.elapsed() < FINISH + CALM {
        let gateway = gateways[listed.len() % 2];
        listed.extend(site::read(&record, gateway, SOUND_JOB, listed.len()).unwrap_or_default());
        thread::sleep(Duration::from_millis(500));
    }
    let now = Instant::now();
    record.write(path, &runs);

    let runs = runs.lock().expect("runs").clone();
    let is_listed = |id: &String| listed.iter().any(|result| result.id == *id);
    let ended_within = |run: &crate::worker::Run, time: Duration| {
        run.ended.is_none_or(|ended| now.saturating_duration_since(ended) < time)
    };
    let open: Vec<&String> = sound.iter().map(|(id, _)| id).filter(|id| !is_listed(id)).collect();
    if open.is_empty() {
        return Verdict::Held;
    }
    // No worker had anything, so none was half full and no item was finished.
    if runs.iter().any(|run| ended_within(run, CALM)) {
        return Verdict::NotRun("the rule has an excuse".to_owned());
    }
    let ran = runs.iter().filter(|run| open.contains(&&run.id)).count();
    Verdict::Broken(format!(
        "finish-s is over, {} sound items are not listed, no worker has had any item for 5 s, and they were run {ran} times in all",
        open.len()
    ))
}
