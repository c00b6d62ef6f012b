//! The cases. Each returns whether its rule was broken, or `None` if it could not run.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::cluster;
use crate::cluster::ASANTEWAA;
use crate::cluster::Bounds;
use crate::cluster::Cluster;
use crate::cluster::KEGTRACK;
use crate::record::Record;
use crate::worker::whole_output;

/// Service of the workers.
const SERVICE: &str = "huvo11a";

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Record) -> Option<bool> {
    match case {
        "odd-name" => odd_name(trouble, record),
        "unreadable-entry" => unreadable_entry(trouble, record),
        "leaving-end" => leaving_end(trouble, record),
        "blank-lines" => blank_lines(trouble, record),
        "anonymous-job" => anonymous_job(trouble, record),
        _ => None,
    }
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{job}{number:04x}")).collect()
}

/// Starts two gateways, two drivers and workers, and waits until they serve.
fn start(
    record: &Record,
    bounds: Bounds,
    config: &str,
    workers: usize,
    (events, gap_ms, framing): (u64, u64, &str),
) -> Option<Cluster> {
    let mut cluster = Cluster::new(record, bounds, config);
    for number in 1..=workers {
        cluster.start_worker(&format!("i-7f3a91c{number}"), SERVICE, events, gap_ms, framing);
    }
    for zone in ["a", "b"] {
        let zone = format!("nam-central-{zone}");
        cluster.start_driver(&format!("store-{zone}-1"), &zone);
        cluster.start_gateway(&format!("front-{zone}-1"), &zone);
    }
    cluster.wait_until_ready().then_some(cluster)
}

/// Reads the results of jobs until all items are listed, or the time is over.
fn wait_for_results(
    cluster: &Cluster,
    jobs: &[&str],
    items: usize,
    limit: Duration,
) -> BTreeMap<String, (String, String)> {
    let until = Instant::now() + limit;
    let mut listed = BTreeMap::new();
    loop {
        for job in jobs {
            listed.extend(cluster.results(job, &[]).into_iter().flatten());
        }
        if listed.len() >= items || Instant::now() >= until {
            return listed;
        }
        sleep(Duration::from_millis(500));
    }
}

/// The list of workers holds an entry of another writer, whose name has a byte that cannot be read.
///
/// MIXED: an item is listed as `dead_letter` though no worker answered 422 or 500.
fn odd_name(trouble: bool, record: &Record) -> Option<bool> {
    let config = cluster::config(7, "", "");
    let cluster = start(record, KEGTRACK, &config, 8, (20, 20, "chunked"))?;
    if trouble {
        let spec = cluster::entry(SERVICE, cluster::closed_addr(), "ready");
        cluster.store.put("servers", b"i-02d9\x7f", &spec);
        record.note(format!("another writer puts servers/i-02d9\\x7f: {spec}"));
    }
    sleep(seconds(2));
    let jobs = ["7c41e09b", "8d52f1ac", "9e6302bd"];
    let mut items = Vec::new();
    for job in jobs {
        let ids = item_ids(job, 10);
        if !cluster.submit(job, &cluster::submission(&ids, ""), &[]) {
            return None;
        }
        items.extend(ids);
        sleep(seconds(1));
    }
    let online: Vec<Option<u16>> = (0..30)
        .map(|number| {
            let id = format!("5b{number:06x}");
            let prompt = format!("5c1e07a2:100,{id}:250");
            let headers = [
                ("Attempt-Id", &*id),
                ("Model", "m"),
                ("Token-Counts", "350,80"),
                ("Prompt-Prefix", &*prompt),
                ("Deadline-Ms", "5000"),
            ];
            let path = format!("/lohu930/{id}");
            let answer = cluster.call(number % 2, "POST", &path, &headers, b"slip", seconds(6));
            let status = answer.map(|answer| answer.status);
            record.note(format!("stream {id} at gateway {}: {status:?}", number % 2));
            status
        })
        .collect();
    let served = online.iter().filter(|status| **status == Some(200)).count();
    record.note(format!("{served} of {} streams were served", online.len()));
    // The time to the due time, and `finish-s`.
    let listed = wait_for_results(&cluster, &jobs, items.len(), seconds(36));
    let mut given_up = 0;
    for id in &items {
        let (state, output) = listed.get(id).cloned().unwrap_or_default();
        let whole = output == whole_output(id, 20);
        record.note(format!("item {id}: {state:?}, whole output: {whole}"));
        given_up += usize::from(state == "dead_letter");
    }
    record.note(format!(
        "{given_up} of {} items are given up, with no answer 422 or 500",
        items.len()
    ));
    cluster.end();
    if listed.len() < items.len() && given_up == 0 {
        record.note("some items are not listed");
        return Some(true);
    }
    Some(given_up > 0)
}

/// The list of workers holds an entry of another writer with bytes that cannot be read, while the
/// machines of the system are stopped and started in turn.
///
/// LOST: when the time of a job and `finish-s` are over, its items are not listed.
fn unreadable_entry(trouble: bool, record: &Record) -> Option<bool> {
    let config = cluster::config(7, "", "");
    let mut cluster = start(record, KEGTRACK, &config, 8, (20, 20, "chunked"))?;
    let early = "7c41e09b";
    let early_items = item_ids(early, 6);
    if !cluster.submit(early, &cluster::submission(&early_items, ""), &[]) {
        return None;
    }
    let listed = wait_for_results(&cluster, &[early], early_items.len(), seconds(10));
    record.note(format!("{} of {} first items are listed", listed.len(), early_items.len()));
    if trouble {
        let spec = cluster::entry("\u{1}\u{2}", cluster::closed_addr(), "ready");
        cluster.store.put("servers", b"i-02d9e6b4", &spec);
        record.note(format!("another writer puts servers/i-02d9e6b4: {}", spec.escape_default()));
    }
    sleep(seconds(2));
    cluster.roll(seconds(2));
    record.note(format!("readiness of the gateways: {:?}", cluster.readiness()));
    let late = "8d52f1ac";
    let late_items = item_ids(late, 6);
    if !cluster.submit(late, &cluster::submission(&late_items, ""), &[]) {
        return None;
    }
    // The time to the due time, and `finish-s`.
    let listed = wait_for_results(&cluster, &[late], late_items.len(), seconds(36));
    let runs = record.matching("RUN 8d52f1ac").len();
    record.note(format!(
        "{} of {} items are listed, after {runs} runs",
        listed.len(),
        late_items.len()
    ));
    record.note(format!("readiness of the gateways: {:?}", cluster.readiness()));
    cluster.end();
    Some(listed.len() < late_items.len())
}

/// A worker whose answers end with their channels leaves as planned while items run there.
///
/// MIXED: an item is listed as `completed` and its text is not its whole output.
fn leaving_end(trouble: bool, record: &Record) -> Option<bool> {
    // An item takes 4.9 s, as on the deployment (163 events, 30 ms).
    const EVENTS: u64 = 163;
    let config = cluster::config(7, "", "");
    let cluster = start(record, KEGTRACK, &config, 8, (EVENTS, 30, "channel"))?;
    let job = "7c41e09b";
    let items = item_ids(job, 24);
    if !cluster.submit(job, &cluster::submission(&items, ""), &[]) {
        return None;
    }
    sleep(seconds(1));
    if trouble {
        // The worker that runs most items.
        let runs = |index: &usize| {
            let prefix = format!("worker {}: RUN", cluster.workers[*index].id);
            record.matching(&prefix).len()
        };
        let index = (0..cluster.workers.len()).max_by_key(runs)?;
        cluster.register(&cluster.workers[index], "draining");
        // It is gone 2 s after the notice, which is `drain-ms` as well.
        sleep(seconds(2));
        cluster.end_worker(index);
        cluster.store.remove("servers", cluster.workers[index].id.as_bytes());
        record.note("its entry is removed");
    }
    let listed = wait_for_results(&cluster, &[job], items.len(), seconds(36));
    let mut cut = 0;
    for id in &items {
        let (state, output) = listed.get(id).cloned().unwrap_or_default();
        let whole = whole_output(id, EVENTS);
        let lines = output.lines().count();
        record.note(format!("item {id}: {state:?}, {lines} of {EVENTS} events"));
        cut += usize::from(state == "completed" && output != whole);
    }
    record.note(format!("{cut} of {} items are completed without their whole output", items.len()));
    cluster.end();
    Some(cut > 0)
}

/// A worker answers some requests with blank lines that do not end.
///
/// LOST: when the time of the job and `finish-s` are over, an item is not listed.
fn blank_lines(trouble: bool, record: &Record) -> Option<bool> {
    let config = cluster::config(7, "", "");
    let cluster = start(record, KEGTRACK, &config, 8, (20, 30, "chunked"))?;
    if trouble {
        cluster.tell(0, "noise on");
    }
    let job = "7c41e09b";
    let items = item_ids(job, 24);
    let accepted = cluster.submit(job, &cluster::submission(&items, ""), &[]);
    sleep(seconds(3));
    if trouble {
        cluster.tell(0, "noise off");
    }
    if !accepted {
        return None;
    }
    // The time to the due time and `finish-s`, and beyond the retention of 60 s.
    let listed = wait_for_results(&cluster, &[job], items.len(), seconds(72));
    let mut missing = 0;
    for id in &items {
        let state = listed.get(id).map(|(state, _)| state.clone());
        record.note(format!("item {id}: {state:?}"));
        missing += usize::from(state.is_none());
    }
    record.note(format!("{missing} of {} items are not listed", items.len()));
    cluster.end();
    Some(missing > 0)
}

/// A config adds a batch route that needs no key, and a client sends its key all the same.
///
/// LOST: a machine answers 404 for a batch job that was accepted. The record also tells whether an end
/// of such a job, confirmed with 200, ends it (UNASKED); that does not decide the case.
fn anonymous_job(trouble: bool, record: &Record) -> Option<bool> {
    const KEY: [(&str, &str); 1] = [("Authorization", "Bearer key-clinic")];
    const PREFIX: &str = "/vako118/";
    let tenants = ",\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"key-clinic\"],\"priority\":1,\
                   \"rate-per-s\":190,\"burst\":190}]";
    let config = cluster::config(7, "", tenants);
    let cluster = start(record, ASANTEWAA, &config, 2, (163, 30, "chunked"))?;
    let early = "7c41e09b";
    let items = item_ids(early, 6);
    if !cluster.submit(early, &cluster::submission(&items, ""), &KEY) {
        return None;
    }
    sleep(seconds(6));
    let listed = cluster.results(early, &KEY).map_or(0, |results| results.len());
    record.note(format!("{listed} of {} items of the first job are listed", items.len()));
    let route = cluster::batch_route("r-open", PREFIX, trouble);
    let config = cluster::config(9, &format!(",{route}"), tenants);
    cluster.store.put("config", b"main", &config);
    record.note(format!("the store accepts config {config}"));
    // `config-apply-ms`, and a second more.
    sleep(seconds(4));
    let hand_in = |job: &str, count: usize| {
        let body = cluster::submission(&item_ids(job, count), "").replace("/pule252/", PREFIX);
        cluster.submit_at(PREFIX, job, &body, &KEY)
    };
    let late = "8d52f1ac";
    if !hand_in(late, 6) {
        return None;
    }
    let (mut missing, mut reads) = (0, 0);
    for round in 0..12 {
        // Later than `settle-ms` after the 202.
        sleep(Duration::from_millis(1_500));
        for gateway in 0..2 {
            let path = format!("/api/lots/{late}?after=0");
            let read = |headers: &[(&str, &str)]| {
                cluster
                    .call(gateway, "GET", &path, headers, b"", seconds(3))
                    .map(|read| read.status)
            };
            let (with_key, without_key) = (read(&KEY), read(&[]));
            record.note(format!(
                "read {round} of job {late} at gateway {gateway}: {with_key:?} with the key of the \
                 submission, {without_key:?} without one"
            ));
            reads += 1;
            missing += usize::from(with_key == Some(404));
        }
    }
    // More items than the workers have slots, so that some begin when others have ended.
    let ended = "9e6302bd";
    if !hand_in(ended, 24) {
        return None;
    }
    sleep(seconds(1));
    let path = format!("/api/lots/{ended}");
    let end = cluster.call(0, "DELETE", &path, &KEY, b"", seconds(3)).map(|end| end.status);
    record.note(format!("the end of job {ended} is asked with the key: {end:?}"));
    // `cancel-ms`.
    sleep(seconds(3));
    let before = record.matching(&format!("RUN {ended}")).len();
    sleep(seconds(9));
    let begun = record.matching(&format!("RUN {ended}")).len() - before;
    record
        .note(format!("{begun} items of job {ended} begin later than 3 s after its end was asked"));
    record.note(format!("{missing} of {reads} reads with the key are answered 404"));
    cluster.end();
    Some(missing > 0)
}
