//! Batch jobs on a correct and on a faulty entry.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::time::Duration;

use dogwoodtray_load::ItemCounts;
use dogwoodtray_load::JobReport;
use dogwoodtray_load::JobShape;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::TokenDistribution;
use dogwoodtray_load::run;

use crate::common::Fault;
use crate::common::start_entry;

async fn run_job(fault: Fault, shape: JobShape, timeout: Duration) -> JobReport {
    let cfg = LoadConfig::new([start_entry(fault).await])
        .jobs(shape.clone(), 1, Duration::ZERO)
        .warm_up(Duration::ZERO)
        .duration(Duration::from_secs(10))
        .poll_interval(Duration::from_millis(10))
        .job_timeout(timeout);
    run(cfg).await.unwrap().jobs[&shape.name].clone()
}

fn lots() -> JobShape {
    JobShape::new("lots", 10, TokenDistribution::constant(5))
}

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against items that are submitted but missing from the counts of the report.
#[tokio::test]
async fn result_of_each_item_is_checked() {
    let report = run_job(Fault::None, lots(), JOB_TIMEOUT).await;
    assert_eq!(report.items, ItemCounts { whole: 10, ..ItemCounts::default() });
    assert_eq!((report.accepted, report.ended, report.late), (1, 1, 0));
    assert_eq!((report.tokens, report.turnaround.count), (50, 1));
    assert_eq!(report.done_in_window, 3, "count of the last poll");
    assert!(report.tokens_per_second > 0.0);
    let design = run_job(Fault::None, JobShape::design_runs(30), JOB_TIMEOUT).await;
    assert_eq!(design.items.whole, 30);
}

/// Guards against wrong, unknown, duplicate, missing or failed results that count as `whole`.
#[tokio::test]
async fn faulty_items_are_counted_by_kind() {
    let wrong = run_job(Fault::WrongAnswers, lots(), JOB_TIMEOUT).await;
    let expected =
        ItemCounts { whole: 8, wrong: 1, failed: 1, unknown: 1, ..ItemCounts::default() };
    assert_eq!(wrong.items, expected);
    let truncated = run_job(Fault::TruncatedAnswers, lots(), JOB_TIMEOUT).await;
    let expected = ItemCounts { whole: 9, missing: 1, duplicate: 1, ..ItemCounts::default() };
    assert_eq!(truncated.items, expected);
}

/// Guards against a refused job that is not submitted again, and against a refusal that the report
/// omits.
#[tokio::test]
async fn refused_job_is_resubmitted() {
    let report = run_job(Fault::Overloaded, lots(), JOB_TIMEOUT).await;
    assert_eq!(report.refused["429 overloaded"], 1);
    assert_eq!((report.accepted, report.items.whole), (1, 10));
}

/// Guards against a job that ends after its deadline but does not count as late, and against a job
/// that is polled beyond the job timeout.
#[tokio::test]
async fn late_and_unfinished_jobs_are_counted() {
    let late = run_job(Fault::None, lots().deadline(Duration::from_millis(1)), JOB_TIMEOUT).await;
    assert_eq!((late.ended, late.late), (1, 1));
    let unfinished = run_job(Fault::None, lots(), Duration::from_millis(15)).await;
    assert_eq!((unfinished.ended, unfinished.unfinished), (0, 1));
}
