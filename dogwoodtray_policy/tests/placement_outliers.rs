//! Tests of what callers get from the dispatcher while some endpoints fail their requests.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::EndpointPlaces;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_policy::PlaceRequest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(1);
const SLOTS: u32 = 7;

/// Run time of a request at a sound endpoint. A failing one answers within a step.
const RUN_TIME: Duration = Duration::from_millis(300);

/// Dispatcher in virtual time, with endpoints of which some fail their requests.
struct Simulation {
    dispatcher: Dispatcher,
    now: Timestamp,
    /// Share of its requests that each endpoint fails.
    error_shares: BTreeMap<Name, f64>,
    running: BTreeMap<(Timestamp, u64), (Name, PlaceOutcome)>,
    rng: StdRng,
    last_number: u64,
    /// Whether each tenth request may be repeated.
    has_repeatable: bool,
    /// Requests that an endpoint failed and that may not be repeated.
    lost: usize,
    answered: BTreeMap<Name, usize>,
}

impl Simulation {
    fn new(endpoints: usize, failing: usize, error_share: f64) -> Self {
        let names: Vec<Name> =
            (0..endpoints).map(|index| Name::from(format!("e{index}"))).collect();
        let places: Vec<EndpointPlaces> = names
            .iter()
            .map(|name| EndpointPlaces {
                name: Name::clone(name),
                service: Name::from("s"),
                slots: SLOTS,
            })
            .collect();
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_endpoints(&places);
        let error_shares = names
            .into_iter()
            .enumerate()
            .map(|(index, name)| (name, if index < failing { error_share } else { 0.0 }))
            .collect();
        Self {
            dispatcher,
            now: Timestamp::ZERO,
            error_shares,
            running: BTreeMap::new(),
            rng: StdRng::seed_from_u64(5),
            last_number: 0,
            has_repeatable: true,
            lost: 0,
            answered: BTreeMap::new(),
        }
    }

    fn request(&mut self) {
        self.last_number += 1;
        let repeatable = self.has_repeatable && self.last_number.is_multiple_of(10);
        let request = PlaceRequest {
            id: PlaceId { holder: u64::from(repeatable), number: self.last_number },
            service: Name::from("s"),
            class: Class::Online,
            start_by: self.now + Duration::from_millis(240),
            due: self.now + Duration::from_secs(5),
            repeatable,
            excluded: Vec::new(),
            organization: None,
            priority: 0,
            cost: PlaceCost::default(),
        };
        let mut out = Vec::new();
        self.dispatcher.request_place(self.now, request, &mut out);
        self.perform(out);
    }

    fn perform(&mut self, actions: Vec<PlaceAction>) {
        for action in actions {
            let PlaceAction::Grant { id, endpoint } = action else { continue };
            let is_repeatable = id.holder == 1;
            let (time, outcome) = if self.rng.random_bool(self.error_shares[&endpoint]) {
                self.lost += usize::from(!is_repeatable);
                (STEP, PlaceOutcome::Errored)
            } else {
                *self.answered.entry(Name::clone(&endpoint)).or_default() += 1;
                (RUN_TIME, PlaceOutcome::Answered)
            };
            let key = (self.now + time, id.number * 2 + id.holder);
            self.running.insert(key, (endpoint, outcome));
        }
    }

    /// Plays `time` with this many requests a second.
    fn play(&mut self, time: Duration, per_second: f64) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now = self.now + STEP;
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
            while let Some(entry) = self.running.first_entry()
                && entry.key().0 <= self.now
            {
                let (_, key) = *entry.key();
                let (_, outcome) = entry.remove();
                let id = PlaceId { holder: key % 2, number: key / 2 };
                let mut out = Vec::new();
                self.dispatcher.release_place(self.now, id, outcome, &mut out);
                self.perform(out);
            }
            let mut out = Vec::new();
            self.dispatcher.tick(self.now, &mut out);
            self.perform(out);
        }
    }

    /// Plays valleys and peaks around 1,000 requests a second.
    fn play_cycles(&mut self, cycles: u32) {
        for _ in 0..cycles {
            self.play(Duration::from_millis(3_400), 383.0);
            self.play(Duration::from_millis(2_400), 1_870.0);
        }
    }
}

/// Guards against endpoints that fail fast, therefore always have free places, and draw most of the
/// requests: 24 of 160 answer an error within 1 ms, for as long as on the users' platform.
#[test]
fn endpoints_that_fail_fast_lose_few_requests() {
    for has_repeatable in [true, false] {
        let mut simulation = Simulation::new(160, 24, 1.0);
        simulation.has_repeatable = has_repeatable;
        simulation.play_cycles(2);
        assert!(simulation.lost <= 100, "{} requests lost", simulation.lost);
    }
}

/// Guards against endpoints that fail a part of their requests and are used like all others.
#[test]
fn endpoints_that_fail_in_part_lose_fewer_requests_than_their_share() {
    let mut simulation = Simulation::new(160, 24, 0.4);
    simulation.play_cycles(2);
    // 11,600 requests, of which 24 endpoints in 160 would get 1,740 and fail 696.
    assert!(simulation.lost <= 300, "{} requests lost", simulation.lost);
}

/// Guards against a healed endpoint that stays without requests.
#[test]
fn a_healed_endpoint_serves_again_within_three_seconds() {
    let mut simulation = Simulation::new(160, 24, 1.0);
    simulation.play_cycles(2);
    simulation.error_shares.values_mut().for_each(|share| *share = 0.0);
    simulation.play(Duration::from_secs(3), 1_000.0);
    simulation.answered.clear();
    simulation.play(Duration::from_secs(2), 1_000.0);
    for index in 0..24 {
        let answered = simulation.answered.get(&*format!("e{index}")).copied().unwrap_or(0);
        assert!(answered >= 6, "e{index} answered {answered} requests");
    }
}

/// Guards against the ejection of all endpoints by requests that fail everywhere, after which
/// nothing is served.
#[test]
fn requests_that_fail_everywhere_eject_no_service() {
    let mut simulation = Simulation::new(16, 16, 0.6);
    simulation.play(Duration::from_secs(5), 100.0);
    simulation.answered.clear();
    simulation.play(Duration::from_secs(5), 100.0);
    let answered: usize = simulation.answered.values().sum();
    // Four in ten of 500 requests succeed if each of them is sent to an endpoint.
    assert!(answered >= 160, "{answered} answered");
}

/// Guards against the ejection of the only endpoint of a service.
#[test]
fn a_single_endpoint_is_not_ejected() {
    let mut simulation = Simulation::new(1, 1, 0.5);
    simulation.play(Duration::from_secs(5), 10.0);
    assert_eq!(
        simulation.running.len() + simulation.lost + simulation.answered[&Name::from("e0")],
        50
    );
}
