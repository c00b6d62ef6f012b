//! The `local` subcommand, which runs a whole fleet in this process.

use dogwoodtray_load::LoadComparison;
use tokio::runtime::Runtime;

use super::options::LocalOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::local::DemoSummary;
use crate::local::Fleet;
use crate::local::FleetConfig;
use crate::local::run_demo;

pub(super) fn run(options: &LocalOptions) -> Result<Report, Failure> {
    let rt = build_runtime()?;
    if options.demo {
        return demo(&rt, options.seed);
    }
    rt.block_on(serve(options))
}

fn demo(rt: &Runtime, seed: u64) -> Result<Report, Failure> {
    let summary = rt.block_on(run_demo(seed)).map_err(unreachable)?;
    let exit = if succeeded(&summary) { Exit::Ok } else { Exit::Findings };
    Ok(Report::new(exit, &summary).line(&summary))
}

fn succeeded(summary: &DemoSummary) -> bool {
    summary.lost == 0
        && summary.duplicates == 0
        && summary.online_answered == summary.online_sent
        && summary.batch_done == summary.batch_items
}

async fn serve(options: &LocalOptions) -> Result<Report, Failure> {
    let cfg = FleetConfig {
        entries: options.entries,
        endpoints: options.endpoints,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(&cfg).await.map_err(unreachable)?;
    for entry in &fleet.entries {
        println!("callers: http://{}  operators: {}", entry.caller_addr(), entry.operator_addr());
    }
    println!("platform: {}  model: {}  stop with Ctrl-C", fleet.platform.addr(), cfg.model);
    tokio::signal::ctrl_c().await.map_err(unreachable)?;
    Ok(Report::new(Exit::Ok, ()))
}

pub(super) fn build_runtime() -> Result<Runtime, Failure> {
    Runtime::new().map_err(unreachable)
}

pub(super) fn unreachable(err: impl std::fmt::Display) -> Failure {
    Failure { message: err.to_string(), exit: Exit::Unreachable }
}

/// Creates the report of a load comparison.
pub(super) fn load_report(comparison: &LoadComparison) -> Report {
    let json = serde_json::from_str(&comparison.to_json()).unwrap_or(serde_json::Value::Null);
    Report::new(Exit::Ok, json).line(comparison.summary())
}
