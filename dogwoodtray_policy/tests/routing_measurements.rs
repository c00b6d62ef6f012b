//! Measures routing over model engines against the targets of section 1.3 of the design.

mod support;

use dogwoodtray_policy::RoutePolicy;
use dogwoodtray_policy::Router;
use dogwoodtray_policy::RouterConfig;
use dogwoodtray_policy::route_policy;

use self::support::fleet::ENDPOINTS;
use self::support::fleet::Figures;
use self::support::fleet::Fleet;
use self::support::fleet::Setup;
use self::support::quantile;
use self::support::workload::Request;
use self::support::workload::Source;

const SECONDS: u64 = 120;
const SEEDS: [u64; 2] = [1, 2];
const PREFIXES: u64 = 200;

fn trace(seed: u64) -> Vec<Request> {
    let per_second = 12.0 * ENDPOINTS as f64;
    let source = Source { per_second, swing: 0.3, prompt: 200.0, output: 60.0, stragglers: 0.0 };
    let mut requests = source.arrivals(SECONDS, seed);
    requests.iter_mut().for_each(|request| request.prefix = request.prefix % PREFIXES + 1);
    requests
}

fn run(name: &str, hedge: bool, resume: bool, slowed: bool, seed: u64) -> Figures {
    let requests = trace(seed);
    let make = || -> Box<dyn RoutePolicy> {
        match name {
            "router without affinity" => {
                Box::new(Router::new(RouterConfig { affinity: false, ..RouterConfig::default() }))
            }
            _ => route_policy(name).unwrap(),
        }
    };
    Fleet::new(Setup { hedge, resume, slowed, seed }, &requests, make).run()
}

/// Guards against routers that keep sending to slowed endpoints, or all to the same fast one.
#[test]
fn online_tail_with_slowed_endpoints() {
    let variants = [
        ("round-robin", false, false),
        ("least-outstanding", false, false),
        ("router without affinity", false, false),
        ("router", false, false),
        ("router", true, false),
        ("router", false, true),
    ];
    for seed in SEEDS {
        for (name, hedge, resume) in variants {
            let mut normal = run(name, hedge, resume, false, seed);
            let mut slowed = run(name, hedge, resume, true, seed);
            let first = quantile(&mut normal.first_token, 0.99);
            let total = quantile(&mut normal.total, 0.99);
            let first_slowed = quantile(&mut slowed.first_token, 0.99);
            let total_slowed = quantile(&mut slowed.total, 0.99);
            println!(
                "seed {seed} {name} hedge {hedge} resume {resume}: first token p99 {first:.0} -> \
                 {first_slowed:.0} ms ({:.2}), total p99 {total:.0} -> {total_slowed:.0} ms \
                 ({:.2}), hit share {:.2} -> {:.2}, hedged {:.3}, \
                 resumed {:.3}",
                first_slowed / first,
                total_slowed / total,
                normal.prefix_hits as f64 / normal.sent as f64,
                slowed.prefix_hits as f64 / slowed.sent as f64,
                slowed.hedges as f64 / slowed.sent as f64,
                slowed.moves as f64 / slowed.sent as f64,
            );
        }
    }
}
