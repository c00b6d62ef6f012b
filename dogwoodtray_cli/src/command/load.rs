//! The `load` subcommand, which sends an open-loop load to running entries or to fleets in this
//! process.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_load::Arrivals;
use dogwoodtray_load::JobShape;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::LoadReport;
use dogwoodtray_load::RequestShape;
use dogwoodtray_load::compare;
use dogwoodtray_load::write_svg;
use dogwoodtray_standin::EngineFaults;

use super::local::build_runtime;
use super::local::load_report;
use super::local::unreachable;
use super::options::LoadFault;
use super::options::LoadOptions;
use super::options::PolicyPair;
use super::report::Failure;
use super::report::Report;
use crate::local::Fleet;
use crate::local::FleetConfig;

const RESTART_AFTER: Duration = Duration::from_secs(1);
const SLOW_PERIOD: Duration = Duration::from_secs(2);
const SLOW_FACTOR: f64 = 5.0;

pub(super) fn run(options: &LoadOptions) -> Result<Report, Failure> {
    let runs = build_runtime()?.block_on(run_all(options))?;
    let comparison = compare(runs);
    if let Some(path) = &options.svg {
        write_svg(&comparison, path).map_err(unreachable)?;
    }
    Ok(load_report(&comparison))
}

async fn run_all(options: &LoadOptions) -> Result<Vec<LoadReport>, Failure> {
    let mut reports = Vec::new();
    // The runs of the policies alternate, so that a change in machine speed affects all of them.
    for round in 0..options.rounds {
        if !options.entries.is_empty() {
            let cfg = load_config(options, options.entries.clone(), format!("round-{round}"));
            reports.push(dogwoodtray_load::run(cfg).await.map_err(unreachable)?);
            continue;
        }
        for policy in &options.policies {
            reports.push(run_fleet(options, policy, round).await?);
        }
    }
    Ok(reports)
}

async fn run_fleet(
    options: &LoadOptions,
    policy: &PolicyPair,
    round: u32,
) -> Result<LoadReport, Failure> {
    let cfg = FleetConfig {
        entries: options.fleet_entries,
        endpoints: options.fleet_endpoints,
        routing: Name::from(policy.routing.as_str()),
        admission: Name::from(policy.admission.as_str()),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(&cfg).await.map_err(unreachable)?;
    let label = format!("{}/{}/{round}", policy.routing, policy.admission);
    let cfg = load_config(options, fleet.caller_addrs(), label).model("standin");
    let load = dogwoodtray_load::run(cfg);
    tokio::select! {
        report = load => report.map_err(unreachable),
        () = inject_faults(&fleet, options) => Err(unreachable("the faults ended before the load")),
    }
}

/// Injects the configured faults. Never returns, so that the caller waits for the load to end.
async fn inject_faults(fleet: &Fleet, options: &LoadOptions) {
    let total = Duration::from_secs(options.warm_up_s + options.seconds);
    let faults = options.faults.iter().map(|fault| async move {
        match fault {
            LoadFault::SlowFifth => slow_down_fifth(fleet).await,
            LoadFault::PlatformDown => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                fleet.platform.set_outage(true);
            }
            LoadFault::KillEngine => {
                tokio::time::sleep(total / 3).await;
                fleet.engines[0].crash(Some(RESTART_AFTER));
            }
        }
    });
    futures_util::future::join_all(faults).await;
    std::future::pending::<()>().await;
}

async fn slow_down_fifth(fleet: &Fleet) {
    let count = fleet.engines.len().div_ceil(5);
    let set_slow_factor = |slow_factor: f64| {
        for engine in fleet.engines.iter().take(count) {
            engine.set_faults(EngineFaults { slow_factor, ..EngineFaults::default() });
        }
    };
    loop {
        tokio::time::sleep(SLOW_PERIOD).await;
        set_slow_factor(SLOW_FACTOR);
        tokio::time::sleep(SLOW_PERIOD).await;
        set_slow_factor(1.0);
    }
}

fn load_config(options: &LoadOptions, entries: Vec<SocketAddr>, label: String) -> LoadConfig {
    let mut cfg = LoadConfig::new(entries)
        .label(label)
        .seed(options.seed)
        .warm_up(Duration::from_secs(options.warm_up_s))
        .duration(Duration::from_secs(options.seconds));
    if let Some(model) = &options.model {
        cfg = cfg.model(model.clone());
    }
    if options.rate > 0.0 {
        cfg = cfg.stream(shape_by_name(&options.shape), Arrivals::poisson(options.rate));
    }
    if options.stragglers > 0.0 {
        cfg = cfg.stream(RequestShape::stragglers(), Arrivals::poisson(options.stragglers));
    }
    if options.job_items > 0 {
        let every = Duration::from_secs(options.seconds.max(1));
        cfg = cfg.jobs(JobShape::lots(options.job_items), 1, every);
    }
    cfg
}

fn shape_by_name(name: &str) -> RequestShape {
    match name {
        "concierge-previews" => RequestShape::concierge_previews(),
        "shared-prefixes" => RequestShape::shared_prefixes(),
        _ => RequestShape::counter_slips(),
    }
}
