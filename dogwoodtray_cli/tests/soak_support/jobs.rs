//! Callers that submit, read and end jobs.

use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::history::Job;
use super::run::TestRun;
use super::standin::caller;
use super::standin::caller::ItemResult;
use super::standin::caller::Page;
use super::standin::site::submission;

/// Maximum number of attempts to submit or to end a job.
const MAX_ATTEMPTS: usize = 8;

/// Maximum pause of a caller between two jobs, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;

/// Maximum time until all results of a job can be read after the load has ended.
const FINISH_TIMEOUT: Duration = Duration::from_secs(40);

/// Submits jobs, reads some of their results and ends some jobs early, until the load ends.
pub(crate) async fn run(test_run: &TestRun, caller: usize) {
    let mut rng = StdRng::seed_from_u64(test_run.seed ^ (0xbeef + caller as u64) << 20);
    for number in 0.. {
        if test_run.stop_load.load(SeqCst) {
            return;
        }
        let id = format!("job{}{caller}.{number}", test_run.seed);
        let items = (0..rng.random_range(1..12)).map(|item| format!("{id}.{item}")).collect();
        let mut job = Job { id, items, refused: true, ..Job::default() };
        submit(test_run, &mut job, &mut rng).await;
        let reads = if job.accepted { rng.random_range(0..4) } else { 0 };
        for _ in 0..reads {
            sleep(Duration::from_millis(rng.random_range(100..700))).await;
            read_some(test_run, &mut job, &mut rng).await;
        }
        if job.accepted && rng.random_bool(0.3) {
            end(test_run, &mut job, &mut rng).await;
        }
        test_run.jobs.lock().unwrap().push(job);
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}

fn random_gateway(test_run: &TestRun, rng: &mut StdRng) -> SocketAddr {
    let gateways = test_run.fleet.gateways();
    gateways[rng.random_range(0..gateways.len())].callers
}

async fn submit(test_run: &TestRun, job: &mut Job, rng: &mut StdRng) {
    let items: Vec<&str> = job.items.iter().map(|item| &**item).collect();
    let body = submission(&items);
    for _ in 0..MAX_ATTEMPTS {
        match caller::submit(random_gateway(test_run, rng), &job.id, &body).await {
            Some(202) => {
                job.accepted = true;
                return;
            }
            Some(408 | 421 | 429 | 503) => {}
            Some(500..=599) | None => job.refused = false,
            Some(status) => {
                job.refused = false;
                test_run.record_violation(format!("job {} received status {status}", job.id));
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
}

/// Reads results from a random position and compares them with those read before.
async fn read_some(test_run: &TestRun, job: &mut Job, rng: &mut StdRng) {
    let after = rng.random_range(0..=job.first_seen.len());
    let Ok(page) = caller::results(random_gateway(test_run, rng), &job.id, after).await else {
        return;
    };
    if page.total != job.items.len() || page.next != after + page.results.len() {
        test_run.record_violation(format!(
            "job {} has {} items: {page:?}",
            job.id,
            job.items.len()
        ));
    }
    for (index, result) in page.results.into_iter().enumerate() {
        let first_seen = job.first_seen.entry(after + index).or_insert_with(|| result.clone());
        if *first_seen != result {
            test_run
                .record_violation(format!("job {}: {result:?} instead of {first_seen:?}", job.id));
        }
    }
}

async fn end(test_run: &TestRun, job: &mut Job, rng: &mut StdRng) {
    job.end_requested = true;
    for _ in 0..MAX_ATTEMPTS {
        if caller::end(random_gateway(test_run, rng), &job.id).await == Some(200) {
            job.end_confirmed = Some(Instant::now());
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Reads the results of all accepted jobs from each gateway.
pub(crate) async fn read_final_results(test_run: &TestRun) {
    let deadline = Instant::now() + FINISH_TIMEOUT;
    let mut jobs = std::mem::take(&mut *test_run.jobs.lock().unwrap());
    for job in jobs.iter_mut().filter(|job| job.accepted) {
        for (index, gateway) in test_run.fleet.gateways().iter().enumerate() {
            let min_results = if job.end_requested { 0 } else { job.items.len() };
            job.final_reads
                .push((index, read_results(gateway.callers, job, min_results, deadline).await));
        }
    }
    *test_run.jobs.lock().unwrap() = jobs;
}

/// Reads all results of a job, and waits until there are at least `min_results` or the deadline has
/// passed.
async fn read_results(
    gateway: SocketAddr,
    job: &Job,
    min_results: usize,
    deadline: Instant,
) -> Result<Vec<ItemResult>, String> {
    let mut results = Vec::new();
    loop {
        let timed_out = Instant::now() > deadline;
        match caller::results(gateway, &job.id, results.len()).await {
            Ok(Page { results: more, .. }) if !more.is_empty() => results.extend(more),
            Ok(_) if results.len() >= min_results || timed_out => return Ok(results),
            Err(outcome) if timed_out => return Err(format!("{outcome:?}")),
            Ok(_) | Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}
