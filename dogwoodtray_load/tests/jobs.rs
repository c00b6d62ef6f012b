//! Batch jobs against an entry that is right or flawed.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::time::Duration;

use dogwoodtray_load::ItemCounts;
use dogwoodtray_load::JobReport;
use dogwoodtray_load::JobShape;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::TokenCount;
use dogwoodtray_load::run;

use crate::common::Flaw;
use crate::common::start_entry;

async fn submit(flaw: Flaw, shape: JobShape, timeout: Duration) -> JobReport {
    let cfg = LoadConfig::new([start_entry(flaw).await])
        .jobs(shape.clone(), 1, Duration::ZERO)
        .warm_up(Duration::ZERO)
        .duration(Duration::from_secs(10))
        .poll_interval(Duration::from_millis(10))
        .job_timeout(timeout);
    run(cfg).await.unwrap().jobs[&shape.name].clone()
}

fn lots() -> JobShape {
    JobShape::new("lots", 10, TokenCount::constant(5))
}

const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against items that are lost between the submission and the check.
#[tokio::test]
async fn whole_job_is_checked_item_by_item() {
    let report = submit(Flaw::None, lots(), PATIENCE).await;
    assert_eq!(report.items, ItemCounts { whole: 10, ..ItemCounts::default() });
    assert_eq!((report.accepted, report.ended, report.late), (1, 1, 0));
    assert_eq!((report.tokens, report.turnaround.count), (50, 1));
    assert_eq!(report.done_in_window, 3, "as the last poll said");
    assert!(report.tokens_per_second > 0.0);
    let design = submit(Flaw::None, JobShape::design_runs(30), PATIENCE).await;
    assert_eq!(design.items.whole, 30);
}

/// Guards against wrong, unknown, doubled, missing or failed items that pass as whole.
#[tokio::test]
async fn flawed_items_are_told_apart() {
    let mixed = submit(Flaw::Mixed, lots(), PATIENCE).await;
    let expected =
        ItemCounts { whole: 8, wrong: 1, failed: 1, unknown: 1, ..ItemCounts::default() };
    assert_eq!(mixed.items, expected);
    let cut = submit(Flaw::Cut, lots(), PATIENCE).await;
    let expected = ItemCounts { whole: 9, missing: 1, duplicate: 1, ..ItemCounts::default() };
    assert_eq!(cut.items, expected);
}

/// Guards against a caller that gives up on a refused job, or hides the refusal.
#[tokio::test]
async fn refused_job_is_submitted_again() {
    let report = submit(Flaw::Busy, lots(), PATIENCE).await;
    assert_eq!(report.refused["429 overloaded"], 1);
    assert_eq!((report.accepted, report.items.whole), (1, 10));
}

/// Guards against a late job that counts as in time, and a wait without end.
#[tokio::test]
async fn late_and_unfinished_jobs_are_counted() {
    let late = submit(Flaw::None, lots().deadline(Duration::from_millis(1)), PATIENCE).await;
    assert_eq!((late.ended, late.late), (1, 1));
    let unfinished = submit(Flaw::None, lots(), Duration::from_millis(15)).await;
    assert_eq!((unfinished.ended, unfinished.unfinished), (0, 1));
}
