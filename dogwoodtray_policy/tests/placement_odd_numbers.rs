//! Tests of the dispatcher with numbers that no sound endpoint or caller states.

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
use quickcheck::quickcheck;

const ODD_SLOTS: [u32; 6] = [0, 1, 8, 65_536, u32::MAX / 2, u32::MAX];

/// Times from now, in milliseconds.
const ODD_TIMES: [u64; 5] = [0, 1, 18_000, u64::MAX / 2_000, u64::MAX];

const OUTCOMES: [PlaceOutcome; 5] = [
    PlaceOutcome::Answered,
    PlaceOutcome::Withdrawn,
    PlaceOutcome::Full,
    PlaceOutcome::Failed,
    PlaceOutcome::Errored,
];

fn pick<T: Copy>(list: &[T], seed: u8) -> T {
    list[usize::from(seed) % list.len()]
}

fn places(endpoints: &[(String, u32)]) -> Vec<EndpointPlaces> {
    let places = |(name, slots): &(String, u32)| EndpointPlaces {
        name: Name::from(name.as_str()),
        service: Name::from("s"),
        slots: *slots,
    };
    endpoints.iter().map(places).collect()
}

fn request(number: u64, class: Class, start_by: Timestamp, due: Timestamp) -> PlaceRequest {
    PlaceRequest {
        id: PlaceId { holder: 1, number },
        service: Name::from("s"),
        class,
        start_by,
        due,
        repeatable: true,
        excluded: Vec::new(),
        organization: None,
        priority: 0,
        cost: PlaceCost::default(),
    }
}

quickcheck! {
    /// Guards against a sum or a product of numbers that others state and that stops the process.
    fn no_number_stops_the_dispatcher(slots: Vec<u8>, steps: Vec<(u8, u8, u8)>) -> bool {
        let endpoints: Vec<(String, u32)> =
            slots.iter().enumerate().map(|(i, s)| (format!("e{i}"), pick(&ODD_SLOTS, *s))).collect();
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_endpoints(&places(&endpoints));
        let mut now = Timestamp::ZERO;
        let mut granted = Vec::new();
        for (number, (kind, first, second)) in steps.into_iter().enumerate() {
            let mut out = Vec::new();
            let after = |seed| now + Duration::from_millis(pick(&ODD_TIMES, seed));
            match kind % 4 {
                0 | 1 => {
                    let class = if kind % 4 == 0 { Class::Online } else { Class::Batch };
                    let mut request =
                        request(number as u64, class, after(first), after(second));
                    let organization = kind / 4 % 4;
                    request.organization =
                        (organization > 0).then(|| Name::from(format!("o{organization}")));
                    request.priority = u32::from(kind / 16 % 2) * u32::MAX;
                    dispatcher.request_place(now, request, &mut out);
                }
                2 if !granted.is_empty() => {
                    let id = granted.swap_remove(usize::from(first) % granted.len());
                    dispatcher.release_place(now, id, pick(&OUTCOMES, second), &mut out);
                }
                _ => {
                    now = now + Duration::from_millis(u64::from(first) * 10);
                    dispatcher.tick(now, &mut out);
                }
            }
            let (held, _, _) = dispatcher.load("s");
            if held == 0 && !granted.is_empty() {
                return false;
            }
            for action in out {
                if let PlaceAction::Grant { id, endpoint } = action {
                    granted.push(id);
                    if !endpoints.iter().any(|(name, slots)| **name == *endpoint && *slots > 0) {
                        return false;
                    }
                }
            }
        }
        true
    }
}

/// Guards against batch work that gets no place because a dead endpoint claims many slots, a share of
/// which is kept free for online requests.
#[test]
fn the_slots_of_a_dead_endpoint_hold_back_no_batch_work() {
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    dispatcher.set_endpoints(&places(&[("sound".to_owned(), 8), ("dead".to_owned(), 60_000)]));
    let mut now = Timestamp::ZERO;
    let mut out = Vec::new();
    let online = request(1, Class::Online, now + Duration::from_secs(1), now);
    dispatcher.request_place(now, online, &mut out);
    let id = PlaceId { holder: 1, number: 1 };
    assert_eq!(out, [PlaceAction::Grant { id, endpoint: Name::from("dead") }]);
    dispatcher.release_place(now, id, PlaceOutcome::Failed, &mut out);
    out.clear();
    let due = now + Duration::from_secs(18);
    dispatcher.request_place(now, request(2, Class::Batch, due, due), &mut out);
    now = now + Duration::from_millis(200);
    dispatcher.tick(now, &mut out);
    let id = PlaceId { holder: 1, number: 2 };
    assert_eq!(out, [PlaceAction::Grant { id, endpoint: Name::from("sound") }]);
}
