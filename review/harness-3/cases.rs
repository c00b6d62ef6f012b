//! The cases.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::CannotRun;
use crate::cluster::Cluster;
use crate::cluster::Outcome;
use crate::cluster::SIGCONT;
use crate::cluster::SIGSTOP;
use crate::cluster::free_addr;
use crate::cluster::send;
use crate::http::End;
use crate::http::Seen;
use crate::json::base64;
use crate::json::entries;
use crate::json::member;
use crate::json::member_string;
use crate::link::Link;
use crate::worker::data;

const HOST: &str = "ficu95.example";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-slip-read","host":"ficu95.example","path-prefix":"/lohu930/","route-kind":"streaming","timeout-ms":5000,"latency-goal-ms":300,"priority":0,"service":"kegtalk","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":400},
{"name":"r-depot-summary","host":"ficu95.example","path-prefix":"/pule252/","route-kind":"batch","timeout-ms":15000,"latency-goal-ms":400,"completion-target-ms":18000,"retention-s":60,"priority":2,"service":"kegtalk","max-attempts":3,"sticky":true,"resumable":true,"gap-target-ms":400}],
"services":[{"name":"kegtalk","health-path":"/health","max-conns":180,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-capacity":147261,"kv-token-bytes":163840,"link-mbps":530000.0,"moves":true,"backups":true,"stride":13,"max-count":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

pub fn run(name: &str, record: &Path, trouble: bool) -> Outcome<bool> {
    match name {
        "spot" => spot(record, trouble),
        "frozen-read" => frozen_read(record, trouble),
        "reborn" => reborn(record, trouble),
        "vanish" => vanish(record, trouble),
        _ => Err(CannotRun(format!("no case {name}"))),
    }
}

/// Sends a stream of the counter.
fn slip_read(gateway: &str, id: &str, events: u64) -> Seen {
    let head = format!(
        "POST /lohu930/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Counts: 450,{events}\r\nPrompt-Prefix: 5c1e07a2:100,91bd3f06:100,{id}:250\r\nDeadline-Ms: 5000\r\nContent-Type: application/json\r\n"
    );
    send(gateway, &head, b"{\"slip\":1}", Duration::from_secs(6))
}

/// Returns the ids of the events of a body, and whether each has the data of its request.
fn events_of(seen: &Seen, id: &str) -> (Vec<u64>, bool) {
    let mut ids = Vec::new();
    let mut is_own = true;
    for event in seen.text().split("\n\n").filter(|event| !event.is_empty()) {
        let line = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let number = line("id: ").and_then(|text| text.parse().ok()).unwrap_or(0);
        is_own &= line("data: ") == Some(data(id, number).as_str());
        ids.push(number);
    }
    (ids, is_own)
}

/// One of seven workers is taken away: it says that it is draining, goes on with what it runs, and is gone
/// 2 s after its notice. All workers answer with neither a length nor chunks.
fn spot(record: &Path, trouble: bool) -> Outcome<bool> {
    const EVENTS: u64 = 60;
    const REQUESTS: usize = 28;
    let mut cluster = Cluster::start(record, 3, 2, CONFIG)?;
    for index in 0..7 {
        cluster.start_worker(&format!("i-7f3a91c{index}"), 50, true)?;
    }
    cluster.wait_until_ready()?;
    let cluster = Arc::new(Mutex::new(cluster));
    let gateways = cluster.lock().unwrap().gateways.clone();
    let callers: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let (cluster, gateway) = (Arc::clone(&cluster), gateways[index % 2].clone());
            spawn(move || {
                let id = format!("9c41d07be2a3{index:04x}");
                cluster.lock().unwrap().record.note(&format!("request {id} sent to {gateway}"));
                let seen = slip_read(&gateway, &id, EVENTS);
                let (ids, is_own) = events_of(&seen, &id);
                cluster.lock().unwrap().record.note(&format!(
                    "request {id} answered: status {}, stamp {}, events {}, end {:?}",
                    seen.status,
                    seen.headers.get("server-stamp").map_or("none", String::as_str),
                    ids.len(),
                    seen.end
                ));
                (id, seen, ids, is_own)
            })
        })
        .collect();
    sleep(Duration::from_millis(600));
    if trouble {
        let busiest = cluster.lock().unwrap().busiest_worker();
        {
            let mut cluster = cluster.lock().unwrap();
            let name = cluster.workers[busiest].name.clone();
            cluster.record.note(&format!("{name} says that it is draining"));
            cluster.workers[busiest].say("drain")?;
        }
        sleep(Duration::from_secs(2));
        let mut cluster = cluster.lock().unwrap();
        let name = cluster.workers[busiest].name.clone();
        cluster.record.note(&format!("{name} is gone"));
        cluster.workers[busiest].kill();
        cluster.store.remove("servers", &name);
    }
    let mut is_broken = false;
    let mut complete = 0;
    for caller in callers {
        let Ok((id, seen, ids, is_own)) = caller.join() else { continue };
        let is_whole = ids.iter().copied().eq(1..=EVENTS) && is_own;
        if seen.status != 200 || seen.end != End::Complete {
            continue;
        }
        complete += 1;
        if !is_whole {
            is_broken = true;
            let cluster = cluster.lock().unwrap();
            cluster.record.note(&format!(
                "BROKEN: the stream of {id} ended as complete after event {} of {EVENTS}",
                ids.last().copied().unwrap_or(0)
            ));
        }
    }
    let cluster = cluster.lock().unwrap();
    cluster.note_runs();
    cluster.record.note(&format!("{complete} of {REQUESTS} streams ended as complete"));
    if complete < REQUESTS / 2 {
        return Err(CannotRun("too few streams were served".to_owned()));
    }
    Ok(is_broken)
}

/// Submits a job whose items have these numbers of events. Returns the status.
fn submit(gateway: &str, job: &str, counts: &[u64]) -> u16 {
    let items: Vec<String> = counts
        .iter()
        .enumerate()
        .map(|(index, count)| {
            let id = item_id(job, index);
            let body = base64(id.as_bytes());
            format!(
                r#"{{"id":"{id}","path":"/pule252/3/{index:04x}","headers":{{"Model":"m","Token-Counts":"350,{count}","Prompt-Prefix":"9c2e41:100,{id}:250"}},"body":"{body}","tokens":{}}}"#,
                350 + count
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let head = format!(
        "POST /pule252/{job} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {job}\r\nContent-Type: application/json\r\n"
    );
    send(gateway, &head, body.as_bytes(), Duration::from_secs(4)).status
}

fn item_id(job: &str, index: usize) -> String {
    format!("{}{index:04x}", &job[..12])
}

/// Page of results: by position from `after` on, the items with their states and outputs.
struct Page {
    results: Vec<(String, String, String)>,
}

/// Reads results. Returns the status, and the page of a 200.
fn read(gateway: &str, job: &str, after: usize, wait_ms: u64) -> (u16, Option<Page>) {
    let wait = if wait_ms > 0 { format!("Wait-Ms: {wait_ms}\r\n") } else { String::new() };
    let text = format!("GET /api/lots/{job}?after={after} HTTP/1.1\r\nHost: {HOST}\r\n{wait}\r\n");
    let seen = crate::http::call(gateway, text.as_bytes(), Duration::from_millis(wait_ms + 2_500));
    if seen.status != 200 || seen.end != End::Complete {
        return (if seen.end == End::Complete { seen.status } else { 0 }, None);
    }
    let text = seen.text();
    let results = entries(member(&text, "results").unwrap_or("[]"))
        .into_iter()
        .map(|result| {
            let field = |name| member_string(result, name);
            (field("id"), field("state"), field("output"))
        })
        .collect();
    (200, Some(Page { results }))
}

/// A driver freezes while the items of its job wait for places, and wakes after 5 s.
fn frozen_read(record: &Path, trouble: bool) -> Outcome<bool> {
    const JOB: &str = "7c41e09b52d6a3f8";
    const SETTLE: Duration = Duration::from_millis(1_000);
    let mut cluster = Cluster::start(record, 3, 2, CONFIG)?;
    for index in 0..2 {
        cluster.start_worker(&format!("i-7f3a91c{index}"), 50, false)?;
    }
    cluster.wait_until_ready()?;
    let gateways = cluster.gateways.clone();
    // Requests of the counter hold all places for 2.5 s.
    let callers: Vec<_> = (0..16)
        .map(|index| {
            let gateway = gateways[index % 2].clone();
            spawn(move || slip_read(&gateway, &format!("9c41d07be2a3{index:04x}"), 50))
        })
        .collect();
    sleep(Duration::from_millis(300));
    let status = submit(&gateways[0], JOB, &[24, 24, 24, 24, 24, 150, 150, 150, 150, 150]);
    cluster.record.note(&format!("job {JOB} submitted: {status}"));
    if status != 202 {
        return Err(CannotRun(format!("the job was answered {status}")));
    }
    sleep(Duration::from_millis(500));
    let claimed = |driver: usize| {
        let log = cluster.drivers[driver].log();
        log.lines().any(|line| line.contains("DT3004") && line.contains(JOB))
    };
    let owner = (0..3).find(|driver| claimed(*driver));
    let Some(owner) = owner else { return Err(CannotRun("no driver has the job".to_owned())) };
    let started = Instant::now();
    let owner_name = cluster.drivers[owner].name.clone();
    if trouble {
        cluster.record.note(&format!("{owner_name} freezes"));
        cluster.drivers[owner].signal(SIGSTOP);
    }
    let mut is_frozen = trouble;
    let mut first_read: HashMap<usize, Instant> = HashMap::new();
    let mut is_broken = false;
    let mut last = String::new();
    let mut turn = 0;
    while started.elapsed() < Duration::from_secs(12) {
        if is_frozen && started.elapsed() >= Duration::from_secs(5) {
            cluster.record.note(&format!("{owner_name} wakes"));
            cluster.drivers[owner].signal(SIGCONT);
            is_frozen = false;
        }
        turn += 1;
        let gateway = turn % gateways.len();
        let asked = Instant::now();
        let (status, page) = read(&gateways[gateway], JOB, 0, 0);
        let count = page.as_ref().map(|page| page.results.len());
        let line = format!("gateway {gateway}: read from position 0: {status}, {count:?} results");
        if line[10..] != last {
            cluster.record.note(&line);
            last = line[10..].to_owned();
        }
        if let Some(page) = page {
            if page.results.is_empty()
                && let Some(at) = first_read.get(&0)
                && asked.duration_since(*at) > SETTLE
            {
                is_broken = true;
                cluster.record.note(&format!(
                    "BROKEN: nothing at position 0, which was read {} ms before",
                    asked.duration_since(*at).as_millis()
                ));
            }
            for position in 0..page.results.len() {
                first_read.entry(position).or_insert_with(Instant::now);
            }
        }
        sleep(Duration::from_millis(40));
    }
    for caller in callers {
        let _ = caller.join();
    }
    cluster.note_runs();
    cluster.record.note(&format!("{} positions were read", first_read.len()));
    if first_read.is_empty() {
        return Err(CannotRun("no result was read".to_owned()));
    }
    Ok(is_broken)
}

/// One of six workers is partitioned from all machines for 1.2 s. It crashes behind the cut and is back
/// after 0.8 s. All workers answer with neither a length nor chunks.
fn reborn(record: &Path, trouble: bool) -> Outcome<bool> {
    const JOB: &str = "7c41e09b52d6a3f8";
    const EVENTS: u64 = 100;
    const ITEMS: usize = 12;
    const WORKERS: usize = 6;
    let mut cluster = Cluster::start(record, 3, 2, CONFIG)?;
    let mut links = Vec::new();
    for index in 0..WORKERS {
        let (addr, listen) = (free_addr()?, free_addr()?);
        links.push((Link::start(&addr, &listen)?, addr.clone(), listen.clone()));
        cluster.start_worker_at((&addr, &listen), &format!("i-7f3a91c{index}"), 25, true)?;
    }
    cluster.wait_until_ready()?;
    let gateways = cluster.gateways.clone();
    let status = submit(&gateways[0], JOB, &[EVENTS; ITEMS]);
    cluster.record.note(&format!("job {JOB} submitted: {status}"));
    if status != 202 {
        return Err(CannotRun(format!("the job was answered {status}")));
    }
    sleep(Duration::from_millis(700));
    if trouble {
        let busiest = cluster.busiest_worker();
        let name = cluster.workers[busiest].name.clone();
        let (link, addr, listen) = &links[busiest];
        cluster.record.note(&format!("{name} is cut off"));
        link.set_cut(true);
        sleep(Duration::from_millis(150));
        cluster.record.note(&format!("{name} crashes"));
        cluster.workers[busiest].kill();
        sleep(Duration::from_millis(800));
        cluster.record.note("the worker is back, as i-02d9e6b4");
        cluster.start_worker_at((addr, listen), "i-02d9e6b4", 25, true)?;
        sleep(Duration::from_millis(250));
        cluster.record.note("the cut has healed");
        link.set_cut(false);
    }
    check_results(&cluster, JOB, ITEMS, EVENTS)
}

/// One of seven workers is taken away: it says that it is draining and goes on with what it runs. 2 s after
/// its notice its processes end, and its machine does not respond any more. All workers answer with neither a
/// length nor chunks.
fn vanish(record: &Path, trouble: bool) -> Outcome<bool> {
    const JOB: &str = "7c41e09b52d6a3f8";
    const EVENTS: u64 = 120;
    const ITEMS: usize = 14;
    const WORKERS: usize = 7;
    let mut cluster = Cluster::start(record, 3, 2, CONFIG)?;
    let mut links = Vec::new();
    for index in 0..WORKERS {
        let (addr, listen) = (free_addr()?, free_addr()?);
        links.push(Link::start(&addr, &listen)?);
        cluster.start_worker_at((&addr, &listen), &format!("i-7f3a91c{index}"), 30, true)?;
    }
    cluster.wait_until_ready()?;
    let status = submit(&cluster.gateways[0], JOB, &[EVENTS; ITEMS]);
    cluster.record.note(&format!("job {JOB} submitted: {status}"));
    if status != 202 {
        return Err(CannotRun(format!("the job was answered {status}")));
    }
    sleep(Duration::from_millis(700));
    let mut kept = Vec::new();
    if trouble {
        let busiest = cluster.busiest_worker();
        let name = cluster.workers[busiest].name.clone();
        cluster.record.note(&format!("{name} says that it is draining"));
        cluster.workers[busiest].say("drain")?;
        sleep(Duration::from_secs(2));
        kept = links[busiest].vanish()?;
        cluster.record.note(&format!("{name} is gone, and its machine does not respond"));
        cluster.workers[busiest].kill();
        cluster.store.remove("servers", &name);
    }
    let is_broken = check_results(&cluster, JOB, ITEMS, EVENTS);
    drop(kept);
    is_broken
}

/// Reads the results of a job whose items have `count` events each. Returns whether one is `completed` with
/// another text than the whole output.
fn check_results(cluster: &Cluster, job: &str, items: usize, count: u64) -> Outcome<bool> {
    let until = Instant::now() + Duration::from_secs(25);
    let mut results = Vec::new();
    while results.len() < items && Instant::now() < until {
        if let (_, Some(page)) = read(&cluster.gateways[1], job, results.len(), 1_000) {
            for (id, state, output) in page.results {
                let position = results.len();
                let events = output.split('\n').filter(|line| !line.is_empty()).count();
                cluster.record.note(&format!(
                    "position {position}: item {id}, {state}, {events} of {count} events"
                ));
                results.push((id, state, output));
            }
        }
        sleep(Duration::from_millis(200));
    }
    let mut is_broken = false;
    for (id, state, output) in &results {
        let whole: Vec<String> = (1..=count).map(|number| data(id, number)).collect();
        if state == "completed" && *output != whole.join("\n") {
            is_broken = true;
            cluster.record.note(&format!(
                "BROKEN: {id} is completed, and its text isn't the item's whole output"
            ));
        }
    }
    cluster.note_runs();
    if results.len() < items {
        return Err(CannotRun(format!("{} of {items} results were listed", results.len())));
    }
    Ok(is_broken)
}
