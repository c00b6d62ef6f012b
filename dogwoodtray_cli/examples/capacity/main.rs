//! Measures the control overhead of each process, and how it grows with the number of links.
//!
//! Starts entries and agents as separate processes and reads their processor time, memory and link
//! counters. Build the daemons with `cargo build --release` first, then run
//! `cargo run --release --example capacity`.

mod fit;
mod process;

use std::error::Error;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use dogwoodtray_load::Arrivals;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::RequestShape;
use dogwoodtray_load::run;
use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformStandin;
use dogwoodtray_standin::Vm;
use dogwoodtray_standin::VmRole;
use tokio::runtime::Runtime;

use crate::fit::fit;
use crate::process::Daemon;
use crate::process::Usage;
use crate::process::mean_usage;

const IDLE_DURATION: Duration = Duration::from_secs(8);
const LOAD_DURATION: Duration = Duration::from_secs(8);
const SETTLE_DURATION: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Numbers of entries and agents of each run. One of them varies while the other is constant.
const SIZES: [(usize, usize); 6] = [(2, 8), (2, 24), (2, 64), (8, 8), (24, 8), (64, 8)];

const LOAD_RATES: [f64; 3] = [50.0, 150.0, 300.0];
const PUBLICATIONS: u64 = 10;

struct Fleet {
    rt: Runtime,
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    entries: Vec<Daemon>,
    agents: Vec<Daemon>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut entry_links = Vec::new();
    let mut agent_links = Vec::new();
    println!(
        "entries agents | entry cpu% rss_mb out_b/s in_b/s | agent cpu% rss_mb out_b/s in_b/s"
    );
    for (entries, agents) in SIZES {
        let fleet = Fleet::start(entries, agents)?;
        let (entry, agent) = fleet.measure_idle()?;
        println!("{entries:7} {agents:6} | {entry} | {agent}");
        if entries == SIZES[0].0 {
            entry_links.push((agents as f64, entry));
        }
        if agents == SIZES[0].1 {
            agent_links.push((entries as f64, agent));
        }
    }
    print_fits("entry, by agent", &entry_links);
    print_fits("agent, by entry", &agent_links);
    measure_load()?;
    measure_changes()
}

fn print_fits(name: &str, points: &[(f64, Usage)]) {
    let fit_column = |read: fn(&Usage) -> f64| -> String {
        let xy: Vec<(f64, f64)> = points.iter().map(|(x, usage)| (*x, read(usage))).collect();
        let line = fit(&xy);
        format!("{:.4} + {:.5}/unit (r2 {:.2})", line.intercept, line.slope, line.r_squared)
    };
    println!("{name}: cpu% {}", fit_column(|u| u.cpu_percent));
    println!("{name}: rss MB {}", fit_column(|u| u.rss_mb));
    println!("{name}: control bytes/s out {}", fit_column(|u| u.control_bytes_out));
    println!("{name}: control bytes/s in {}", fit_column(|u| u.control_bytes_in));
}

/// Measures processor time and bytes under load, by request rate and by token rate.
fn measure_load() -> Result<(), Box<dyn Error>> {
    println!("rate | entry cpu% rss_mb out_b/s in_b/s | agent cpu% ... | tokens/s");
    let mut entry_rate = Vec::new();
    let mut agent_rate = Vec::new();
    for rate in LOAD_RATES {
        let fleet = Fleet::start(2, 8)?;
        let (entry, agent, tokens) = fleet.measure_load(rate)?;
        println!("{rate:5} | {entry} | {agent} | {tokens:.0}");
        entry_rate.push((tokens / 2.0, entry));
        agent_rate.push((tokens / 8.0, agent));
    }
    print_fits("entry, by token/s", &entry_rate);
    print_fits("agent, by token/s", &agent_rate);
    Ok(())
}

/// Measures the time from an accepted publication until every process has applied it.
fn measure_changes() -> Result<(), Box<dyn Error>> {
    for (entries, agents) in [(4, 8), (16, 24), (64, 64)] {
        let fleet = Fleet::start(entries, agents)?;
        let mut latencies_ms = Vec::new();
        for change in 1..=PUBLICATIONS {
            latencies_ms.push(fleet.publish_and_wait(change)?.as_millis());
        }
        latencies_ms.sort_unstable();
        let (median, max) =
            (latencies_ms[latencies_ms.len() / 2], latencies_ms[latencies_ms.len() - 1]);
        println!("changes, {entries} entries, {agents} agents: median {median} ms, max {max} ms");
    }
    Ok(())
}

impl Fleet {
    fn start(entries: usize, agents: usize) -> Result<Self, Box<dyn Error>> {
        let rt = Runtime::new()?;
        let platform = rt.block_on(PlatformStandin::bind(PlatformConfig::default()))?;
        let mut engines = Vec::new();
        for seed in 0..agents.min(8) {
            let cfg = EngineConfig::default().seed(seed as u64);
            engines.push(rt.block_on(EngineStandin::bind(cfg))?);
        }
        let mut fleet = Self { rt, platform, engines, entries: Vec::new(), agents: Vec::new() };
        for index in 0..agents {
            let engine = fleet.engines[index % fleet.engines.len()].addr();
            let agent = Daemon::start(|| Daemon::agent(index, engine))?;
            fleet.register(&agent, VmRole::Agent);
            fleet.agents.push(agent);
        }
        for index in 0..entries {
            let platform = fleet.platform.addr();
            let entry = Daemon::start(|| Daemon::entry(index, platform))?;
            fleet.register(&entry, VmRole::Entry);
            fleet.entries.push(entry);
        }
        fleet.wait_until_ready()?;
        sleep(SETTLE_DURATION);
        Ok(fleet)
    }

    fn register(&self, daemon: &Daemon, role: VmRole) {
        let addr = daemon.peer.to_string();
        self.platform.set_vm(Vm::live(daemon.node.as_str(), role, addr, "dc-a"));
    }

    fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entries.iter().all(|entry| entry.links() >= self.agents.len().min(64)) {
            if Instant::now() > deadline {
                return Err("the fleet did not become ready".into());
            }
            sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    fn measure_idle(&self) -> Result<(Usage, Usage), Box<dyn Error>> {
        let before = self.read_usage()?;
        sleep(IDLE_DURATION);
        let after = self.read_usage()?;
        Ok((
            mean_usage(&before.0, &after.0, IDLE_DURATION),
            mean_usage(&before.1, &after.1, IDLE_DURATION),
        ))
    }

    fn measure_load(&self, rate: f64) -> Result<(Usage, Usage, f64), Box<dyn Error>> {
        let entries: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.listen).collect();
        let cfg = LoadConfig::new(entries)
            .model("standin")
            .stream(RequestShape::counter_slips(), Arrivals::poisson(rate))
            .warm_up(Duration::ZERO)
            .duration(LOAD_DURATION);
        let before = self.read_usage()?;
        let report = self.rt.block_on(run(cfg))?;
        let after = self.read_usage()?;
        let tokens = report.tokens_per_second();
        Ok((
            mean_usage(&before.0, &after.0, LOAD_DURATION),
            mean_usage(&before.1, &after.1, LOAD_DURATION),
            tokens,
        ))
    }

    fn read_usage(&self) -> Result<(Vec<Usage>, Vec<Usage>), Box<dyn Error>> {
        let read = |daemons: &[Daemon]| daemons.iter().map(Daemon::usage).collect();
        let entries: Result<Vec<Usage>, Box<dyn Error>> = read(&self.entries);
        Ok((entries?, read(&self.agents)?))
    }

    fn publish_and_wait(&self, change: u64) -> Result<Duration, Box<dyn Error>> {
        process::publish(self.platform.addr(), change)?;
        let start = Instant::now();
        let all = || self.entries.iter().chain(&self.agents);
        while !all().all(|daemon| daemon.generation() >= change) {
            if start.elapsed() > READY_TIMEOUT {
                return Err("a change did not reach every process".into());
            }
        }
        Ok(start.elapsed())
    }
}
