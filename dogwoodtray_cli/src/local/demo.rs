//! Demonstration of a fleet on built-in stand-ins.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use dogwoodtray_load::Arrivals;
use dogwoodtray_load::JobShape;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::LoadReport;
use dogwoodtray_load::RequestShape;
use dogwoodtray_load::run;
use serde::Serialize;

use super::Fleet;
use super::FleetConfig;
use super::FleetError;

/// Online requests per second.
const ONLINE_RATE: f64 = 40.0;

const DURATION: Duration = Duration::from_secs(5);

/// Number of items of the batch job.
const BATCH_ITEMS: usize = 200;

/// Time after the start at which one endpoint is killed.
const KILL_AFTER: Duration = Duration::from_secs(2);

/// Time between the kill and the restart of the endpoint.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// Result of the demonstration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DemoSummary {
    /// Online requests that were sent.
    pub online_sent: u64,
    /// Online requests that received a complete response.
    pub online_answered: u64,
    /// Rejected online requests by error code.
    pub online_refused: BTreeMap<String, u64>,
    /// Items of all jobs.
    pub batch_items: u64,
    /// Items that completed.
    pub batch_done: u64,
    /// Items that failed.
    pub batch_failed: u64,
    /// Items with more than one result, and responses that belong to another request.
    pub duplicates: u64,
    /// Requests and items without a result.
    pub lost: u64,
    /// Endpoints that were killed during the run.
    pub endpoints_killed: u64,
}

/// Serves online requests and a batch job, and kills one endpoint during the run.
///
/// # Errors
///
/// Returns an error if a part of the fleet cannot be started or the load cannot be sent.
pub async fn run_demo(seed: u64) -> Result<DemoSummary, Box<dyn std::error::Error>> {
    let fleet = start_fleet().await?;
    let job = JobShape::lots(BATCH_ITEMS);
    let items = job.items as u64;
    let cfg = LoadConfig::new(fleet.caller_addrs())
        .seed(seed)
        .model("standin")
        .stream(RequestShape::counter_slips(), Arrivals::poisson(ONLINE_RATE))
        .jobs(job, 1, DURATION)
        .warm_up(Duration::ZERO)
        .duration(DURATION);
    let killed_engine = &fleet.engines[0];
    let kill = async {
        tokio::time::sleep(KILL_AFTER).await;
        killed_engine.crash(Some(RESTART_AFTER));
    };
    let (report, ()) = tokio::join!(run(cfg), kill);
    Ok(DemoSummary::from_report(&report?, items, killed_engine.crashes()))
}

async fn start_fleet() -> Result<Fleet, FleetError> {
    Fleet::start(&FleetConfig::default()).await
}

impl DemoSummary {
    fn from_report(report: &LoadReport, batch_items: u64, endpoints_killed: u64) -> Self {
        let mut summary = Self {
            online_sent: 0,
            online_answered: 0,
            online_refused: BTreeMap::new(),
            batch_items,
            batch_done: 0,
            batch_failed: 0,
            duplicates: 0,
            lost: 0,
            endpoints_killed,
        };
        for class in report.classes.values() {
            summary.online_sent += class.sent;
            summary.online_answered += class.whole;
            summary.duplicates += class.wrong;
            summary.lost += class.truncated + class.failed;
            for (code, count) in &class.refused {
                *summary.online_refused.entry(code.clone()).or_default() += count;
            }
        }
        for job in report.jobs.values() {
            summary.batch_done += job.items.whole;
            summary.batch_failed += job.items.failed;
            summary.duplicates += job.items.duplicate + job.items.wrong;
            summary.lost += job.items.missing;
        }
        summary
    }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.online_refused.values().sum();
        writeln!(
            f,
            "online requests:  {} sent, {} answered whole, {refused} refused",
            self.online_sent, self.online_answered
        )?;
        writeln!(
            f,
            "batch items:      {} submitted, {} done, {} failed",
            self.batch_items, self.batch_done, self.batch_failed
        )?;
        writeln!(f, "endpoints killed: {}", self.endpoints_killed)?;
        write!(f, "duplicates: {}, lost: {}", self.duplicates, self.lost)
    }
}
