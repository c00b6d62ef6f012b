//! Command-line parser of the subcommands for development and measurement.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use super::json;
use super::parse_address;

const SHAPES: [&str; 3] = ["counter-slips", "concierge-previews", "shared-prefixes"];

/// Arguments of `local`.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Whether to run the demonstration and exit.
    pub demo: bool,
    /// Seed of the demonstration.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Whether to print JSON.
    pub json: bool,
}

/// Combination of a routing policy and an admission policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyPair {
    /// Name of the routing policy.
    pub routing: String,
    /// Name of the admission policy.
    pub admission: String,
}

impl FromStr for PolicyPair {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let Some((routing, admission)) = text.split_once('/') else {
            return Err(format!("{text:?} is not of the form ROUTING/ADMISSION"));
        };
        Ok(Self { routing: routing.to_owned(), admission: admission.to_owned() })
    }
}

/// Fault that is injected into a fleet in this process while a load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFault {
    /// A fifth of the engines is five times slower for 2 s out of every 4 s.
    SlowFifth,
    /// The platform is unavailable from 1 s after the start.
    PlatformDown,
    /// One engine crashes after a third of the run and restarts after 1 s.
    KillEngine,
}

impl FromStr for LoadFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "slow-fifth" => Ok(Self::SlowFifth),
            "platform-down" => Ok(Self::PlatformDown),
            "kill-engine" => Ok(Self::KillEngine),
            _ => Err(format!("{text:?} is not one of slow-fifth, platform-down, kill-engine")),
        }
    }
}

/// Arguments of `load`.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entries that receive the load. If empty, a fleet is started in this process.
    pub entries: Vec<SocketAddr>,
    /// Public name of the model.
    pub model: Option<String>,
    /// Number of entries of a fleet in this process.
    pub fleet_entries: usize,
    /// Number of endpoints of a fleet in this process.
    pub fleet_endpoints: usize,
    /// Policies to compare.
    pub policies: Vec<PolicyPair>,
    /// Number of rounds. Each round runs every policy once.
    pub rounds: u32,
    /// Name of the shape of the online requests.
    pub shape: String,
    /// Online requests per second.
    pub rate: f64,
    /// Additional long online requests per second.
    pub stragglers: f64,
    /// Number of items of a batch job, or 0 for no job.
    pub job_items: usize,
    /// Duration of the measurement in seconds.
    pub seconds: u64,
    /// Duration of the warm-up, which is not measured, in seconds.
    pub warm_up_s: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults to inject into fleets in this process.
    pub faults: Vec<LoadFault>,
    /// File to write an SVG plot to.
    pub svg: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

pub(super) fn local_options() -> impl Parser<LocalOptions> {
    let demo = long("demo")
        .help("Serve requests and a job, kill one endpoint on the way, print a summary and end")
        .switch();
    let seed = seed();
    let entries = number("entries", "Number of entries", 2);
    let endpoints = number("endpoints", "Number of endpoints", 4);
    let json = json();
    construct!(LocalOptions { demo, seed, entries, endpoints, json })
}

pub(super) fn load_options() -> impl Parser<LoadOptions> {
    let entries = long("entry")
        .help("Address for callers of an entry; without any, fleets run in this process")
        .argument::<String>("IP:PORT")
        .parse(|text| parse_address("entry", &text))
        .many();
    let model = long("model").help("Public name of the model").argument("NAME").optional();
    let fleet_entries = number("fleet-entries", "Entries of a fleet in this process", 2);
    let fleet_endpoints = number("fleet-endpoints", "Endpoints of a fleet in this process", 4);
    let policies = long("policy")
        .help("Policies of a fleet in this process; several take turns (default adaptive/adaptive)")
        .argument::<PolicyPair>("ROUTING/ADMISSION")
        .many()
        .map(or_default_policy);
    let rounds = long("rounds")
        .help("Rounds in which the policies take turns")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let shape = long("shape")
        .help("Shape of the online requests: counter-slips, concierge-previews, shared-prefixes")
        .argument::<String>("SHAPE")
        .guard(|shape| SHAPES.contains(&shape.as_str()), "no such shape")
        .fallback(SHAPES[0].to_owned());
    let rate = rate("rate", "Online requests a second", 50.0);
    let stragglers = self::rate("stragglers", "Long online requests a second beside them", 0.0);
    let job_items = number("job-items", "Items of a batch job; 0 for none", 0);
    let seconds = seconds("seconds", "Seconds that are measured", 10);
    let warm_up_s = self::seconds("warm-up-s", "Seconds before, which are not measured", 2);
    let seed = seed();
    let faults = long("fault")
        .help("Fault of fleets in this process: slow-fifth, platform-down or kill-engine")
        .argument::<LoadFault>("FAULT")
        .many();
    let svg = long("svg").help("File for a plot").argument("FILE").optional();
    let json = json();
    construct!(LoadOptions {
        entries,
        model,
        fleet_entries,
        fleet_endpoints,
        policies,
        rounds,
        shape,
        rate,
        stragglers,
        job_items,
        seconds,
        warm_up_s,
        seed,
        faults,
        svg,
        json,
    })
}

fn or_default_policy(policies: Vec<PolicyPair>) -> Vec<PolicyPair> {
    if !policies.is_empty() {
        return policies;
    }
    vec![PolicyPair { routing: "adaptive".to_owned(), admission: "adaptive".to_owned() }]
}

fn number(flag: &'static str, help: &'static str, default: usize) -> impl Parser<usize> {
    long(flag).help(help).argument("N").fallback(default).display_fallback()
}

fn seconds(flag: &'static str, help: &'static str, default: u64) -> impl Parser<u64> {
    long(flag)
        .help(help)
        .argument("SECONDS")
        .guard(|seconds| *seconds <= 3600, "allowed are 0 to 3600")
        .fallback(default)
        .display_fallback()
}

fn rate(flag: &'static str, help: &'static str, default: f64) -> impl Parser<f64> {
    long(flag)
        .help(help)
        .argument("PER_SECOND")
        .guard(|rate| (0.0..=100_000.0).contains(rate), "allowed are 0 to 100000")
        .fallback(default)
        .display_fallback()
}

fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of all random choices").argument("N").fallback(1).display_fallback()
}
