//! Measures the latency of one engine stand-in at increasing loads and draws it as a chart.
//!
//! `cargo run --release -p dogwoodtray_load --example engine_curve -- report.svg`

use std::error::Error;
use std::time::Duration;

use dogwoodtray_load::Arrivals;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::RequestShape;
use dogwoodtray_load::compare;
use dogwoodtray_load::run;
use dogwoodtray_load::write_svg;
use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;

/// Offered requests per second. The last rate exceeds the capacity of the engine.
const LOADS_PER_SECOND: [f64; 4] = [20.0, 100.0, 200.0, 400.0];

/// Labels of the two curves and their stragglers per second: short requests alone, and short
/// requests mixed with stragglers.
const MIXES: [(&str, f64); 2] = [("short", 0.0), ("with-stragglers", 2.0)];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut runs = Vec::new();
    for (label, stragglers_per_second) in MIXES {
        for load in LOADS_PER_SECOND {
            let engine = EngineStandin::bind(EngineConfig::default()).await?;
            let mut cfg = LoadConfig::new([engine.addr()])
                .label(label)
                .stream(RequestShape::counter_slips(), Arrivals::poisson(load))
                .warm_up(Duration::from_secs(1))
                .duration(Duration::from_secs(4))
                .request_timeout(Duration::from_secs(20));
            if stragglers_per_second > 0.0 {
                let arrivals = Arrivals::poisson(stragglers_per_second);
                cfg = cfg.stream(RequestShape::stragglers(), arrivals);
            }
            let report = run(cfg).await?;
            println!("{report}");
            runs.push(report);
        }
    }
    let report = compare(runs);
    println!("{report}");
    if let Some(path) = std::env::args().nth(1) {
        write_svg(&report, path)?;
    }
    Ok(())
}
