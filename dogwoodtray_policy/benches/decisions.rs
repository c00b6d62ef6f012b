//! Benchmarks of single decisions.

use std::hint::black_box;

use divan::Bencher;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::RouteRequest;
use dogwoodtray_policy::WorkId;
use dogwoodtray_policy::admission_policy;
use dogwoodtray_policy::route_policy;
use rand::SeedableRng;
use rand::rngs::StdRng;

const COST: Cost = Cost { prompt_tokens: 200, output_tokens: 60 };

const NAMES: [&str; 3] = ["adaptive", "least-outstanding", "round-robin"];
const ROUTER: usize = 0;
const LEAST_OUTSTANDING: usize = 1;
const ROUND_ROBIN: usize = 2;

fn main() {
    divan::main();
}

/// One pick, with the records of sending and finishing the request.
#[divan::bench(args = [18, 256], consts = [ROUTER, LEAST_OUTSTANDING, ROUND_ROBIN])]
fn pick<const POLICY: usize>(bencher: Bencher<'_, '_>, endpoints: usize) {
    let name = NAMES[POLICY];
    let mut policy = route_policy(name).expect("the policy exists");
    let model: Name = "m".into();
    for _ in 0..endpoints {
        let key = policy.add(std::slice::from_ref(&model), &"dc".into());
        policy.record_token_gap(Timestamp(1), key, std::time::Duration::from_millis(20));
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut request = RouteRequest::new(model, COST);
    bencher.bench_local(|| {
        request.prefix = request.prefix.wrapping_add(1);
        let key =
            policy.pick(Timestamp(2), black_box(&request), &mut rng).expect("one is available");
        policy.record_sent(Timestamp(2), key, Class::Online, COST);
        policy.record_finished(Timestamp(2), key, Class::Online, COST, true);
    });
}

/// The five events of one online request, on an engine that is filled with batch work.
#[divan::bench(args = ["adaptive", "fixed-limit", "fifo"])]
fn admission_of_one_request(bencher: Bencher<'_, '_>, name: &str) {
    let cfg = AdmissionConfig { max_batch_prefills: 64, ..AdmissionConfig::default() };
    let mut policy = admission_policy(name, cfg).expect("the policy exists");
    let mut out = Vec::new();
    let mut now = Timestamp(0);
    let arrive = |id, class| AdmissionEvent::Arrive { id, class, cost: COST, deadline: None };
    for id in 0..24 {
        policy.handle(now, arrive(WorkId(id), Class::Batch), &mut out);
    }
    let mut next = 1_000;
    bencher.bench_local(|| {
        out.clear();
        next += 1;
        now.0 += 20_000;
        let id = WorkId(next);
        policy.handle(now, arrive(id, Class::Online), &mut out);
        policy.handle(now, AdmissionEvent::FirstToken { id }, &mut out);
        policy.handle(now, AdmissionEvent::Progress { id, tokens: 2 }, &mut out);
        policy.handle(now, AdmissionEvent::Progress { id, tokens: 3 }, &mut out);
        policy.handle(now, AdmissionEvent::Finished { id }, &mut out);
    });
}
