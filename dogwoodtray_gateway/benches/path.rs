//! Benchmarks of the time and allocations of single steps of request handling.

use std::hint::black_box;
use std::time::Duration;

use divan::AllocProfiler;
use divan::Bencher;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_gateway::Directory;
use dogwoodtray_gateway::Endpoint;
use dogwoodtray_gateway::EndpointState;
use dogwoodtray_gateway::EventParser;
use dogwoodtray_gateway::Limits;
use dogwoodtray_gateway::Organization;
use dogwoodtray_gateway::Organizations;
use dogwoodtray_gateway::Route;
use dogwoodtray_gateway::RouteKind;
use dogwoodtray_gateway::SiteConfig;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::LearnedService;
use dogwoodtray_policy::LearnedSpeed;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_policy::PlaceRequest;

/// Number of hosts that the routes are distributed over.
const HOSTS: usize = 8;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |index: usize| Endpoint {
        id: Name::from(format!("endpoint-{index}")),
        service: Name::from("s"),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: Name::from("z"),
        slots: 16,
        state: EndpointState::Ready,
        started_unix_ms: 0,
    };
    (0..count).map(endpoint).collect()
}

/// Parses one event of a stream.
#[divan::bench]
fn event(bencher: Bencher<'_, '_>) {
    let mut parser = EventParser::default();
    bencher.bench_local(|| {
        parser.push(black_box(b"id: 7\ndata: {\"text\":\"a token or two\"}\n\n"));
        black_box(parser.next_event())
    });
}

/// Requests, grants and returns a place at an endpoint.
#[divan::bench(args = [47, 3_000])]
fn place(bencher: Bencher<'_, '_>, count: usize) {
    place_at(bencher, count, &[]);
}

/// As `place`, with a third of the endpoints slower than usual.
#[divan::bench(args = [47, 3_000])]
fn place_uneven(bencher: Bencher<'_, '_>, count: usize) {
    let speeds = (0..count / 3).map(|index| LearnedSpeed {
        endpoint: Name::from(format!("endpoint-{index}")),
        speed: 0.6,
    });
    let speeds = speeds.collect();
    let service = LearnedService { service: Name::from("s"), speeds, routes: Vec::new() };
    place_at(bencher, count, &[service]);
}

fn place_at(bencher: Bencher<'_, '_>, count: usize, learned: &[LearnedService]) {
    let mut directory = Directory::new();
    directory.set_endpoints(Timestamp::ZERO, Version(1), endpoints(count));
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    dispatcher.set_endpoints(&directory.places());
    dispatcher.apply_learned(Timestamp::ZERO, learned);
    let service = Name::from("s");
    let (mut out, mut number, mut now) = (Vec::new(), 0, Timestamp::ZERO);
    bencher.bench_local(|| {
        number += 1;
        now = now + Duration::from_millis(1);
        let id = PlaceId { holder: 1, number };
        let request = PlaceRequest {
            id,
            service: Name::clone(&service),
            class: Class::Online,
            start_by: now + Duration::from_secs(1),
            due: now + Duration::from_secs(5),
            repeatable: false,
            excluded: Vec::new(),
            organization: None,
            priority: 0,
            cost: PlaceCost::default(),
        };
        dispatcher.request_place(now, request, &mut out);
        dispatcher.release_place(now, id, PlaceOutcome::Answered, &mut out);
        out.clear();
    });
}

/// Applies an unchanged list of endpoints in the driver that reads it from the store.
#[divan::bench(args = [47, 3_000])]
fn own_list(bencher: Bencher<'_, '_>, count: usize) {
    let mut directory = Directory::new();
    let mut revision = 0;
    bencher.with_inputs(|| endpoints(count)).bench_local_values(|list| {
        revision += 1;
        directory.set_endpoints(Timestamp(revision), Version(revision), list);
        directory.take_changes()
    });
}

/// Applies an unchanged list of endpoints in a process that it is relayed to.
#[divan::bench(args = [47, 3_000])]
fn relayed_list(bencher: Bencher<'_, '_>, count: usize) {
    let (mut sender, mut receiver) = (Directory::new(), Directory::new());
    sender.set_endpoints(Timestamp::ZERO, Version(1), endpoints(count));
    sender.take_changes();
    receiver.set_relayed_endpoints(Timestamp::ZERO, Version(1), endpoints(count));
    let changes = sender.take_changes();
    let mut revision = 1;
    bencher.bench_local(|| {
        revision += 1;
        receiver.apply(Timestamp(revision), Version(revision), black_box(&changes))
    });
}

/// Finds the route of a request in a typical and in a large configuration.
#[divan::bench(args = [20, 400])]
fn route(bencher: Bencher<'_, '_>, count: usize) {
    let route = |index: usize| Route {
        name: Name::from(format!("r{index}")),
        host: Name::from(format!("h{}.example", index % HOSTS)),
        path_prefix: Name::from(format!("/p{index}/")),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        services: vec![(Name::from("s"), 1)],
        anonymous: false,
        priority: 0,
    };
    let routes = (0..count).map(route).collect();
    let config = SiteConfig::new(Generation(1), routes, Limits::default());
    let last = count - 1;
    let (host, path) = (format!("h{}.example", last % HOSTS), format!("/p{last}/x/y"));
    bencher.bench_local(|| black_box(config.route(black_box(&host), black_box(&path))));
}

/// Finds the organization of a key among those of today and of the target size.
#[divan::bench(args = [81, 5_700])]
fn key(bencher: Bencher<'_, '_>, count: usize) {
    let organization = |index: usize| {
        let name = Name::from(format!("organization-{index}"));
        let keys = (0..2).map(|key| Name::from(format!("key-{index}-{key}-of-32-bytes"))).collect();
        (Organization { name, priority: None, rate_per_s: 10.0, burst: 10.0 }, keys)
    };
    let organizations = Organizations::new((0..count).map(organization).collect());
    let mut index = 0;
    let keys: Vec<String> = (0..count).map(|index| format!("key-{index}-1-of-32-bytes")).collect();
    bencher.bench_local(|| {
        index = (index + 7) % count;
        organizations.by_key(black_box(&keys[index])).is_some()
    });
}
