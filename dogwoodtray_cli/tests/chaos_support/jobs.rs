//! Callers of batch jobs.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use super::callers::chat_body;
use super::callers::text_mismatch;
use super::fleet::MODEL;
use super::history::Cancellation;
use super::history::Job;
use super::history::JobView;
use super::history::ResultLine;
use super::http;
use super::run::TestRun;

/// Maximum time until a driver that has missed the message of a cancellation receives it in another
/// way, in milliseconds.
const CANCEL_PROPAGATION_MS: u64 = 5_000;
const RESEND_DELAY: Duration = Duration::from_millis(150);
const MAX_CALLS: usize = 40;

/// Submits one job after another until the load ends.
pub(crate) fn run(test_run: &TestRun, caller: u64) {
    let mut rng = StdRng::seed_from_u64(test_run.seed ^ (caller << 40));
    let mut number = 0;
    while !test_run.stop_load.load(SeqCst) {
        submit(test_run, &format!("{caller}-{number}"), &mut rng);
        std::thread::sleep(Duration::from_millis(rng.random_range(200..900)));
        number += 1;
    }
}

fn prompt(key: &str, index: usize) -> String {
    format!("design {key} {index}")
}

fn tokens(index: usize) -> u64 {
    4 + index as u64 % 16
}

/// Submits a job through two entries concurrently, and cancels it later with a fixed probability.
fn submit(test_run: &TestRun, key: &str, rng: &mut StdRng) {
    let count = rng.random_range(10..40);
    let idempotent = rng.random_bool(0.7);
    let items: Vec<String> = (0..count).map(|index| format!("{key}/{index}")).collect();
    let requests: Vec<Value> = (0..count)
        .map(|index| {
            let body = chat_body(&prompt(key, index), tokens(index), false);
            json!({ "custom_id": items[index], "body": body })
        })
        .collect();
    let body = json!({ "model": MODEL, "requests": requests, "idempotent": idempotent });
    let body = body.to_string();
    let first = test_run.random_entry(None, rng);
    let second = test_run.random_entry(Some(first), rng);
    let ids = std::thread::scope(|scope| {
        let body = &body;
        let sends = [first, second]
            .map(|entry| scope.spawn(move || submit_until_accepted(test_run, key, body, entry)));
        sends.map(|send| send.join().unwrap())
    });
    let Some(id) = ids.iter().flatten().next().cloned() else { return };
    assert!(ids.iter().flatten().all(|other| *other == id), "one key gave two jobs: {ids:?}");
    let job = Job { id: id.clone(), items, idempotent, cancelled: None, views: Vec::new() };
    test_run.jobs.lock().unwrap().push(job);
    if rng.random_bool(0.35) {
        std::thread::sleep(Duration::from_millis(rng.random_range(0..800)));
        cancel(test_run, &id, rng);
    }
}

fn submit_until_accepted(
    test_run: &TestRun,
    key: &str,
    body: &str,
    first: usize,
) -> Option<String> {
    let entries = test_run.fleet.entries.len();
    for call in 0..MAX_CALLS {
        let addr = test_run.fleet.entries[(first + call) % entries].listen;
        let headers = [("idempotency-key", key)];
        if let Ok((200 | 201, answer)) = http::send("POST", addr, "/v1/batches", &headers, body) {
            let answer: Value = serde_json::from_slice(&answer).unwrap();
            return Some(answer["id"].as_str().unwrap().to_owned());
        }
        std::thread::sleep(RESEND_DELAY);
    }
    None
}

fn cancel(test_run: &TestRun, id: &str, rng: &mut StdRng) {
    let mut last = None;
    for _ in 0..MAX_CALLS {
        let entry = test_run.random_entry(last, rng);
        last = Some(entry);
        let addr = test_run.fleet.entries[entry].listen;
        match http::send("POST", addr, &format!("/v1/batches/{id}/cancel"), &[], "") {
            Ok((200, answer)) => {
                let counts = &serde_json::from_slice::<Value>(&answer).unwrap()["request_counts"];
                let field = |name: &str| counts[name].as_u64().unwrap();
                let results = field("completed") + field("failed");
                let cancelled = Some(Cancellation { results, runs_started: None });
                test_run.update_job(id, |job| job.cancelled = cancelled);
                test_run.pending_cancels.lock().unwrap().push((test_run.now_ms(), id.to_owned()));
                return;
            }
            // The job finished before the cancellation.
            Ok((409, _)) => return,
            _ => std::thread::sleep(RESEND_DELAY),
        }
    }
}

/// Records the number of started runs of each cancelled job, at the time by which every process
/// must have received the cancellation.
pub(crate) fn record_runs_after_cancel(test_run: &TestRun) {
    while !test_run.stop_observers.load(SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
        let now = test_run.now_ms();
        let propagated_by = |at: u64| at + CANCEL_PROPAGATION_MS + test_run.paused_ms(at, now);
        let due: Vec<String> = {
            let mut pending_cancels = test_run.pending_cancels.lock().unwrap();
            let (due, waiting) =
                pending_cancels.drain(..).partition(|(at, _)| propagated_by(*at) <= now);
            *pending_cancels = waiting;
            due.into_iter().map(|(_, id): (u64, String)| id).collect()
        };
        if due.is_empty() {
            continue;
        }
        super::observer::read_run_records(test_run);
        for id in due {
            let prefix = format!("{id}.");
            let runs_started = test_run.count_started(|run| run.starts_with(&prefix));
            let record =
                |job: &mut Job| job.cancelled.as_mut().unwrap().runs_started = Some(runs_started);
            test_run.update_job(&id, record);
        }
    }
}

/// Reads the status and the results of a job through an entry, after it has ended or at `deadline`.
pub(crate) fn read_view(test_run: &TestRun, job: &Job, entry: usize, deadline: Instant) -> JobView {
    let addr = test_run.fleet.entries[entry].listen;
    let mut status = String::from("unread");
    loop {
        if let Some(read) = http::get_json(addr, &format!("/v1/batches/{}", job.id)) {
            status = read["status"].as_str().unwrap().to_owned();
            if status != "in_progress" {
                break;
            }
        }
        if Instant::now() >= deadline {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let path = format!("/v1/batches/{}/results", job.id);
    let results = http::send("GET", addr, &path, &[], "");
    let results = results.ok().filter(|(status, _)| *status == 200).unwrap_or_default().1;
    let lines = String::from_utf8_lossy(&results).lines().map(parse_result_line).collect();
    JobView { entry, status, lines }
}

fn parse_result_line(line: &str) -> ResultLine {
    let line: Value = serde_json::from_str(line).unwrap();
    let custom_id = line["custom_id"].as_str().unwrap().to_owned();
    let outcome = match line["status"].as_str().unwrap() {
        "failed" => line["error"]["code"].as_str().unwrap().to_owned(),
        other => other.to_owned(),
    };
    let mismatch = (outcome == "done").then(|| {
        let (key, index) = custom_id.split_once('/').unwrap();
        let index = index.parse().unwrap();
        let text = line["response"]["body"]["choices"][0]["message"]["content"].as_str();
        let body = chat_body(&prompt(key, index), tokens(index), false);
        text_mismatch(&body, tokens(index), text.unwrap_or_default())
    });
    ResultLine { custom_id, outcome, mismatch: mismatch.flatten() }
}
