//! Decisions of the dispatcher, one at a time.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::EndpointPlaces;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceAsk;
use dogwoodtray_policy::PlaceEnd;
use dogwoodtray_policy::PlaceId;

/// Time in which a request can start; twice the time that a place is held at first.
const OBJECTIVE: Duration = Duration::from_secs(1);

struct Bench {
    dispatcher: Dispatcher,
    now: Timestamp,
}

fn id(ask: u64) -> PlaceId {
    PlaceId { holder: 1, ask }
}

fn grant(ask: u64, endpoint: &str) -> PlaceAction {
    PlaceAction::Grant { id: id(ask), endpoint: Name::from(endpoint) }
}

impl Bench {
    fn with(endpoints: &[(&str, u32)]) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_endpoints(&list(endpoints));
        Self { dispatcher, now: Timestamp::ZERO }
    }

    fn ask(&mut self, ask: u64, class: Class) -> Vec<PlaceAction> {
        self.ask_but(ask, class, &[])
    }

    fn ask_but(&mut self, ask: u64, class: Class, excluded: &[&str]) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        let ask = PlaceAsk {
            id: id(ask),
            service: Name::from("s"),
            class,
            start_by: self.now + OBJECTIVE,
            due: self.now + Duration::from_secs(18),
            excluded: excluded.iter().map(|name| Name::from(*name)).collect(),
        };
        self.dispatcher.ask(self.now, ask, &mut out);
        out
    }

    fn end(&mut self, ask: u64, end: PlaceEnd) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        self.dispatcher.end(self.now, id(ask), end, &mut out);
        out
    }

    fn sleep(&mut self, ms: u64) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        self.now = self.now + Duration::from_millis(ms);
        self.dispatcher.tick(self.now, &mut out);
        out
    }
}

fn list(endpoints: &[(&str, u32)]) -> Vec<EndpointPlaces> {
    let places = |(name, slots): &(&str, u32)| EndpointPlaces {
        name: Name::from(*name),
        service: Name::from("s"),
        slots: *slots,
    };
    endpoints.iter().map(places).collect()
}

/// Guards against requests that wait inside an endpoint, where nothing can overtake them.
#[test]
fn an_endpoint_gets_no_more_requests_than_places() {
    let mut bench = Bench::with(&[("a", 1)]);
    assert_eq!(bench.ask(1, Class::Online), [grant(1, "a")]);
    assert_eq!(bench.ask(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(bench.end(1, PlaceEnd::Answered), [grant(2, "a")]);
}

/// Guards against load on one endpoint while others stand empty.
#[test]
fn requests_spread_over_endpoints() {
    let mut bench = Bench::with(&[("a", 2), ("b", 2)]);
    let mut granted: Vec<_> = (1..=2).flat_map(|ask| bench.ask(ask, Class::Online)).collect();
    granted.sort_by_key(|action| format!("{action:?}"));
    let names: Vec<_> = granted
        .iter()
        .map(|action| match action {
            PlaceAction::Grant { endpoint, .. } => endpoint.to_string(),
            other => panic!("no place: {other:?}"),
        })
        .collect();
    assert!(names.contains(&"a".to_owned()) && names.contains(&"b".to_owned()), "{names:?}");
}

/// Guards against callers that wait for an answer that can no longer come in time.
#[test]
fn a_request_that_cannot_be_met_is_refused_at_once() {
    let mut bench = Bench::with(&[("a", 1)]);
    bench.ask(1, Class::Online);
    let refused =
        (2..20).flat_map(|ask| bench.ask(ask, Class::Online)).find_map(|action| match action {
            PlaceAction::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        });
    let cfg = DispatcherConfig::default();
    let retry_after = refused.expect("one of them cannot be met");
    assert!((cfg.min_retry_after..=cfg.max_retry_after).contains(&retry_after));
}

/// Guards against a refusal while no endpoint could ever take the request.
#[test]
fn a_service_without_endpoints_refuses_at_once() {
    let mut bench = Bench::with(&[]);
    let out = bench.ask(1, Class::Online);
    assert!(matches!(out[..], [PlaceAction::Refuse { .. }]), "{out:?}");
}

/// Guards against an online request that waits behind batch work.
#[test]
fn batch_work_gives_its_place_back() {
    let mut bench = Bench::with(&[("a", 1)]);
    assert_eq!(bench.ask(1, Class::Batch), [grant(1, "a")]);
    let queued = PlaceAction::Queued { id: id(2) };
    assert_eq!(bench.ask(2, Class::Online), [queued, PlaceAction::Preempt { id: id(1) }]);
    assert_eq!(bench.end(1, PlaceEnd::Withdrawn), [grant(2, "a")]);
    assert_eq!(bench.ask(1, Class::Batch), [PlaceAction::Queued { id: id(1) }]);
    assert_eq!(bench.end(2, PlaceEnd::Answered), [grant(1, "a")]);
}

impl Bench {
    fn item(&mut self, ask: u64, start_s: u64, due_s: u64) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        let ask = PlaceAsk {
            id: id(ask),
            service: Name::from("s"),
            class: Class::Batch,
            start_by: Timestamp::ZERO + Duration::from_secs(start_s),
            due: Timestamp::ZERO + Duration::from_secs(due_s),
            excluded: Vec::new(),
        };
        self.dispatcher.ask(self.now, ask, &mut out);
        out
    }
}

/// Guards against late items that make one item after the other late.
#[test]
fn late_items_wait_behind_those_that_can_still_be_met() {
    let mut bench = Bench::with(&[("a", 1)]);
    bench.sleep(10_000);
    assert_eq!(bench.item(1, 20, 25), [grant(1, "a")]);
    for (ask, start_s) in [(2, 5), (3, 14), (4, 12)] {
        bench.item(ask, start_s, start_s + 5);
    }
    for (ended, next) in [(1, 4), (4, 3), (3, 2)] {
        assert_eq!(bench.end(ended, PlaceEnd::Answered), [grant(next, "a")]);
    }
}

/// Guards against an item that can be met losing its place while a late one keeps its own.
#[test]
fn a_late_item_loses_its_place_first() {
    let mut bench = Bench::with(&[("a", 3)]);
    bench.sleep(10_000);
    for (ask, due_s) in [(1, 20), (2, 8), (3, 15)] {
        assert_eq!(bench.item(ask, due_s - 4, due_s), [grant(ask, "a")]);
    }
    let preempted = |out: Vec<PlaceAction>| {
        out.into_iter().find_map(|action| match action {
            PlaceAction::Preempt { id } => Some(id.ask),
            _ => None,
        })
    };
    assert_eq!(preempted(bench.ask(4, Class::Online)), Some(2));
    assert_eq!(preempted(bench.ask(5, Class::Online)), Some(1));
}

/// Guards against more batch work being cut off than online requests wait.
#[test]
fn one_place_is_taken_back_for_each_request_that_waits() {
    let mut bench = Bench::with(&[("a", 3)]);
    for ask in 1..=3 {
        bench.ask(ask, Class::Batch);
    }
    let out = bench.ask(4, Class::Online);
    let preempted = out.iter().filter(|a| matches!(a, PlaceAction::Preempt { .. })).count();
    assert_eq!(preempted, 1);
    assert_eq!(bench.sleep(20), []);
}

/// Guards against requests that are already late delaying those that can still be met, and
/// against late ones that never get a place.
#[test]
fn late_requests_wait_behind_those_that_can_be_met() {
    let mut bench = Bench::with(&[("a", 1)]);
    bench.ask(1, Class::Online);
    assert_eq!(bench.ask(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    bench.sleep(1_100);
    assert_eq!(bench.ask(3, Class::Online), [PlaceAction::Queued { id: id(3) }]);
    assert_eq!(bench.end(1, PlaceEnd::Answered), [grant(3, "a")]);
    assert_eq!(bench.end(3, PlaceEnd::Answered), [grant(2, "a")]);
}

/// Guards against a dead endpoint that swallows one request after another, and against one that
/// is never tried again.
#[test]
fn a_failed_endpoint_is_avoided_and_tried_again_with_one_request() {
    let mut bench = Bench::with(&[("a", 2)]);
    bench.ask(1, Class::Online);
    bench.end(1, PlaceEnd::Failed);
    assert_eq!(bench.ask(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(bench.ask(3, Class::Online), [PlaceAction::Queued { id: id(3) }]);
    bench.sleep(200);
    assert_eq!(bench.sleep(300), [grant(2, "a")]);
    assert_eq!(bench.end(2, PlaceEnd::Answered), [grant(3, "a")]);
    assert_eq!(bench.ask(4, Class::Online), [grant(4, "a")]);
}

/// Guards against a request that goes back to the endpoint that failed it, and against one that
/// waits for ever because there is no other.
#[test]
fn an_excluded_endpoint_is_used_only_if_there_is_no_other() {
    let mut bench = Bench::with(&[("a", 1), ("b", 1)]);
    assert_eq!(bench.ask_but(1, Class::Online, &["a"]), [grant(1, "b")]);
    let mut bench = Bench::with(&[("a", 1)]);
    assert_eq!(bench.ask_but(1, Class::Online, &["a"]), [grant(1, "a")]);
}

/// Guards against places that stay taken after their process or endpoint is gone.
#[test]
fn places_of_lost_processes_and_endpoints_are_free_again() {
    let mut bench = Bench::with(&[("a", 1)]);
    bench.ask(1, Class::Online);
    let mut out = Vec::new();
    bench.dispatcher.drop_holder(bench.now, 1, &mut out);
    assert_eq!(bench.ask(2, Class::Online), [grant(2, "a")]);
    bench.dispatcher.set_endpoints(&list(&[("b", 1)]));
    assert_eq!(bench.ask(3, Class::Online), [grant(3, "b")]);
    assert_eq!(bench.end(2, PlaceEnd::Answered), []);
    assert_eq!(bench.ask(4, Class::Online), [PlaceAction::Queued { id: id(4) }]);
}

/// Guards against endpoints that are overrun when another process starts to give places.
#[test]
fn places_that_another_dispatcher_gave_count() {
    let mut bench = Bench::with(&[("a", 1)]);
    let service = Name::from("s");
    bench.dispatcher.hold(bench.now, id(7), &service, "a", Class::Online);
    assert_eq!(bench.ask(1, Class::Online), [PlaceAction::Queued { id: id(1) }]);
    assert_eq!(bench.end(7, PlaceEnd::Answered), [grant(1, "a")]);
}

/// Guards against requests that pile up inside an endpoint which runs work that the dispatcher
/// does not know of.
#[test]
fn an_endpoint_inside_which_a_request_waits_gets_no_more() {
    let mut bench = Bench::with(&[("a", 8)]);
    assert_eq!(bench.ask(1, Class::Online), [grant(1, "a")]);
    bench.dispatcher.on_slow(bench.now, id(1));
    assert_eq!(bench.ask(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(bench.sleep(100), []);
    assert_eq!(bench.sleep(150), [grant(2, "a")]);
}
