//! Benchmarks of single decisions.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use divan::Bencher;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::EndpointPlaces;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_policy::PlaceRequest;
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
        policy.record_token_gap(Timestamp(1), key, Duration::from_millis(20));
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

/// One request that is queued behind 1,000 others, and one place that is released and granted, at
/// 3,000 endpoints with 8 places each. The argument is the number of organizations.
#[divan::bench(args = [0, 500])]
fn place_of_one_request(bencher: Bencher<'_, '_>, organizations: u64) {
    const ENDPOINTS: u64 = 3_000;
    const SLOTS: u32 = 8;
    const QUEUED: u64 = 1_000;
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    let service: Name = "s".into();
    let places = |index| EndpointPlaces {
        name: Name::from(format!("e{index}")),
        service: service.clone(),
        slots: SLOTS,
    };
    dispatcher.set_endpoints(&(0..ENDPOINTS).map(places).collect::<Vec<_>>());
    let names: Vec<Name> = (0..organizations).map(|n| Name::from(format!("o{n}"))).collect();
    let id = |number| PlaceId { holder: 1, number };
    let request = |now: Timestamp, number: u64| PlaceRequest {
        id: id(number),
        service: service.clone(),
        class: Class::Online,
        start_by: now + Duration::from_secs(60),
        due: now + Duration::from_secs(120),
        repeatable: false,
        excluded: Vec::new(),
        organization: (organizations > 0).then(|| names[(number % organizations) as usize].clone()),
        priority: 0,
        cost: PlaceCost::default(),
    };
    let mut now = Timestamp(0);
    let mut out = Vec::new();
    let filled = ENDPOINTS * u64::from(SLOTS) + QUEUED;
    (1..=filled).for_each(|number| dispatcher.request_place(now, request(now, number), &mut out));
    let granted = |action: &PlaceAction| match action {
        PlaceAction::Grant { id, .. } => Some(id.number),
        _ => None,
    };
    let mut held: VecDeque<u64> = out.iter().filter_map(granted).collect();
    let mut next = filled;
    bencher.bench_local(|| {
        out.clear();
        next += 1;
        now.0 += 21;
        dispatcher.request_place(now, black_box(request(now, next)), &mut out);
        let released = held.pop_front().expect("places are held");
        dispatcher.release_place(now, id(released), PlaceOutcome::Answered, &mut out);
        held.extend(out.iter().filter_map(granted));
    });
}
