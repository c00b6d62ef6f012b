//! The cases. Each returns whether its rule was broken, or `None` if it could not run.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cluster::{self, Bounds, Cluster, KEGTRACK};
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
        "item-tenant" => item_tenant(trouble, record),
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
    let config = cluster::config("", "");
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
    record.note(format!("{given_up} of {} items are given up, with no answer 422 or 500", items.len()));
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
    let config = cluster::config("", "");
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
    record.note(format!("{} of {} items are listed, after {runs} runs", listed.len(), late_items.len()));
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
    let config = cluster::config("", "");
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
        // `drain-ms` after the store has accepted that, and a little longer.
        sleep(Duration::from_millis(2_000 + 300));
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
    let config = cluster::config("", "");
    let cluster = start(record, KEGTRACK, &config, 8, (20, 30, "chunked"))?;
    if trouble {
        cluster.tell(0, "noise on");
    }
    let job = "7c41e09b";
    let items = item_ids(job, 12);
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

/// A client without a key names a tenant in the headers of the items of a batch job.
///
/// UNASKED: a worker runs a request whose `Tenant` is not the tenant of the client's key.
fn item_tenant(trouble: bool, record: &Record) -> Option<bool> {
    const ASANTEWAA: Bounds = Bounds {
        config_apply_ms: 3_000,
        revoke_ms: "5000",
        strict_revoke: "true",
        quota_window_s: "5",
        quota_slack: "20",
    };
    let tenants = ",\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"key-clinic\"],\"priority\":1,\
                   \"rate-per-s\":190,\"burst\":190}]";
    let config = cluster::config(",\"anonymous\":true", tenants);
    let cluster = start(record, ASANTEWAA, &config, 2, (10, 20, "chunked"))?;
    let job = "7c41e09b";
    let items = item_ids(job, 4);
    let more = if trouble { ",\"Tenant\":\"clinic\"" } else { "" };
    if !cluster.submit(job, &cluster::submission(&items, more), &[]) {
        return None;
    }
    let listed = wait_for_results(&cluster, &[job], items.len(), seconds(20));
    record.note(format!("{} of {} items are listed", listed.len(), items.len()));
    let named = record.matching("tenant=clinic").len();
    record.note(format!("{named} runs at workers with the name of a tenant, none with its key"));
    cluster.end();
    Some(named > 0)
}
