//! Tests of single decisions of the dispatcher.

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

/// Time within which an online request has to start; twice the initially assumed hold time.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// A dispatcher in virtual time.
struct Fixture {
    dispatcher: Dispatcher,
    now: Timestamp,
}

fn id(number: u64) -> PlaceId {
    PlaceId { holder: 1, number }
}

fn grant(number: u64, endpoint: &str) -> PlaceAction {
    PlaceAction::Grant { id: id(number), endpoint: Name::from(endpoint) }
}

impl Fixture {
    fn with_endpoints(endpoints: &[(&str, u32)]) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_endpoints(&endpoint_places(endpoints));
        Self { dispatcher, now: Timestamp::ZERO }
    }

    fn request_place(&mut self, number: u64, class: Class) -> Vec<PlaceAction> {
        self.request_place_excluding(number, class, &[])
    }

    fn request_place_excluding(
        &mut self,
        number: u64,
        class: Class,
        excluded: &[&str],
    ) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        let request = PlaceRequest {
            id: id(number),
            service: Name::from("s"),
            class,
            start_by: self.now + OBJECTIVE,
            due: self.now + Duration::from_secs(18),
            repeatable: false,
            excluded: excluded.iter().map(|name| Name::from(*name)).collect(),
            organization: None,
            priority: 0,
            cost: PlaceCost::default(),
        };
        self.dispatcher.request_place(self.now, request, &mut out);
        out
    }

    fn release(&mut self, number: u64, outcome: PlaceOutcome) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        self.dispatcher.release_place(self.now, id(number), outcome, &mut out);
        out
    }

    fn advance(&mut self, ms: u64) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        self.now = self.now + Duration::from_millis(ms);
        self.dispatcher.tick(self.now, &mut out);
        out
    }
}

fn endpoint_places(endpoints: &[(&str, u32)]) -> Vec<EndpointPlaces> {
    let places = |(name, slots): &(&str, u32)| EndpointPlaces {
        name: Name::from(*name),
        service: Name::from("s"),
        slots: *slots,
    };
    endpoints.iter().map(places).collect()
}

/// Guards against more grants than places: the excess would be queued inside the endpoint, where it
/// cannot be overtaken.
#[test]
fn an_endpoint_gets_no_more_requests_than_places() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    assert_eq!(fixture.request_place(1, Class::Online), [grant(1, "a")]);
    assert_eq!(fixture.request_place(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(fixture.release(1, PlaceOutcome::Answered), [grant(2, "a")]);
}

/// Guards against granting all places at one endpoint while others are idle.
#[test]
fn requests_are_spread_over_endpoints() {
    let mut fixture = Fixture::with_endpoints(&[("a", 2), ("b", 2)]);
    let mut granted: Vec<_> =
        (1..=2).flat_map(|number| fixture.request_place(number, Class::Online)).collect();
    granted.sort_by_key(|action| format!("{action:?}"));
    let names: Vec<_> = granted
        .iter()
        .map(|action| match action {
            PlaceAction::Grant { endpoint, .. } => endpoint.to_string(),
            other => panic!("expected a grant, got {other:?}"),
        })
        .collect();
    assert!(names.contains(&"a".to_owned()) && names.contains(&"b".to_owned()), "{names:?}");
}

/// Guards against queueing a request whose expected wait already exceeds its objective, so that the
/// caller waits in vain.
#[test]
fn requests_that_cannot_start_in_time_are_refused_immediately() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    fixture.request_place(1, Class::Online);
    let refused = (2..20).flat_map(|number| fixture.request_place(number, Class::Online)).find_map(
        |action| match action {
            PlaceAction::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        },
    );
    let cfg = DispatcherConfig::default();
    let retry_after = refused.expect("one request cannot start in time");
    assert!((cfg.min_retry_after..=cfg.max_retry_after).contains(&retry_after));
}

/// Guards against queueing a request that no endpoint can serve.
#[test]
fn a_service_without_endpoints_refuses_immediately() {
    let mut fixture = Fixture::with_endpoints(&[]);
    let out = fixture.request_place(1, Class::Online);
    assert!(matches!(out[..], [PlaceAction::Refuse { .. }]), "{out:?}");
}

/// Guards against online requests that are queued until running batch work ends by itself.
#[test]
fn batch_work_is_preempted_by_a_queued_online_request() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    assert_eq!(fixture.request_place(1, Class::Batch), [grant(1, "a")]);
    let queued = PlaceAction::Queued { id: id(2) };
    assert_eq!(
        fixture.request_place(2, Class::Online),
        [queued, PlaceAction::Preempt { id: id(1) }]
    );
    assert_eq!(fixture.release(1, PlaceOutcome::Withdrawn), [grant(2, "a")]);
    assert_eq!(fixture.request_place(1, Class::Batch), [PlaceAction::Queued { id: id(1) }]);
    assert_eq!(fixture.release(2, PlaceOutcome::Answered), [grant(1, "a")]);
}

impl Fixture {
    fn request_batch_place(&mut self, number: u64, start_s: u64, due_s: u64) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        let request = PlaceRequest {
            id: id(number),
            service: Name::from("s"),
            class: Class::Batch,
            start_by: Timestamp::ZERO + Duration::from_secs(start_s),
            due: Timestamp::ZERO + Duration::from_secs(due_s),
            repeatable: false,
            excluded: Vec::new(),
            organization: None,
            priority: 0,
            cost: PlaceCost::default(),
        };
        self.dispatcher.request_place(self.now, request, &mut out);
        out
    }
}

/// Guards against granting places to late items first, which would make further items late.
#[test]
fn late_batch_items_are_granted_places_last() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    fixture.advance(10_000);
    assert_eq!(fixture.request_batch_place(1, 20, 25), [grant(1, "a")]);
    for (number, start_s) in [(2, 5), (3, 14), (4, 12)] {
        fixture.request_batch_place(number, start_s, start_s + 5);
    }
    for (ended, next) in [(1, 4), (4, 3), (3, 2)] {
        assert_eq!(fixture.release(ended, PlaceOutcome::Answered), [grant(next, "a")]);
    }
}

/// Guards against preempting an item that can still be done in time while a late one keeps running.
#[test]
fn late_batch_items_are_preempted_first() {
    let mut fixture = Fixture::with_endpoints(&[("a", 3)]);
    fixture.advance(10_000);
    for (number, due_s) in [(1, 20), (2, 8), (3, 15)] {
        assert_eq!(fixture.request_batch_place(number, due_s - 4, due_s), [grant(number, "a")]);
    }
    let preempted = |out: Vec<PlaceAction>| {
        out.into_iter().find_map(|action| match action {
            PlaceAction::Preempt { id } => Some(id.number),
            _ => None,
        })
    };
    assert_eq!(preempted(fixture.request_place(4, Class::Online)), Some(2));
    assert_eq!(preempted(fixture.request_place(5, Class::Online)), Some(1));
}

/// Guards against preempting more batch items than there are queued online requests, also when
/// `tick` runs again before the preempted place is released.
#[test]
fn one_batch_item_is_preempted_per_queued_online_request() {
    let mut fixture = Fixture::with_endpoints(&[("a", 3)]);
    for number in 1..=3 {
        fixture.request_place(number, Class::Batch);
    }
    let out = fixture.request_place(4, Class::Online);
    let preempted = out.iter().filter(|a| matches!(a, PlaceAction::Preempt { .. })).count();
    assert_eq!(preempted, 1);
    assert_eq!(fixture.advance(20), []);
}

/// Guards against late requests that delay those that can still start in time, and against late
/// requests that are never granted a place.
#[test]
fn late_online_requests_are_granted_places_last() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    fixture.request_place(1, Class::Online);
    assert_eq!(fixture.request_place(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    fixture.advance(1_100);
    assert_eq!(fixture.request_place(3, Class::Online), [PlaceAction::Queued { id: id(3) }]);
    assert_eq!(fixture.release(1, PlaceOutcome::Answered), [grant(3, "a")]);
    assert_eq!(fixture.release(3, PlaceOutcome::Answered), [grant(2, "a")]);
}

/// Guards against sending one request after another to a failed endpoint, and against never using
/// it again after its backoff.
#[test]
fn a_failed_endpoint_is_retried_with_one_request_after_its_backoff() {
    let mut fixture = Fixture::with_endpoints(&[("a", 2)]);
    fixture.request_place(1, Class::Online);
    fixture.release(1, PlaceOutcome::Failed);
    assert_eq!(fixture.request_place(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(fixture.request_place(3, Class::Online), [PlaceAction::Queued { id: id(3) }]);
    fixture.advance(200);
    assert_eq!(fixture.advance(300), [grant(2, "a")]);
    assert_eq!(fixture.release(2, PlaceOutcome::Answered), [grant(3, "a")]);
    assert_eq!(fixture.request_place(4, Class::Online), [grant(4, "a")]);
}

/// Guards against sending a request back to the endpoint at which it failed, and against queueing
/// it indefinitely if the service has no other endpoint.
#[test]
fn an_excluded_endpoint_is_used_only_if_there_is_no_other() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1), ("b", 1)]);
    assert_eq!(fixture.request_place_excluding(1, Class::Online, &["a"]), [grant(1, "b")]);
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    assert_eq!(fixture.request_place_excluding(1, Class::Online, &["a"]), [grant(1, "a")]);
}

/// Guards against places that remain in use after their process has terminated, and against a
/// request at a removed endpoint that frees a place elsewhere when it ends.
#[test]
fn places_of_terminated_processes_and_removed_endpoints_are_released() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    fixture.request_place(1, Class::Online);
    let mut out = Vec::new();
    fixture.dispatcher.remove_holder(fixture.now, 1, &mut out);
    assert_eq!(fixture.request_place(2, Class::Online), [grant(2, "a")]);
    fixture.dispatcher.set_endpoints(&endpoint_places(&[("b", 1)]));
    assert_eq!(fixture.request_place(3, Class::Online), [grant(3, "b")]);
    assert_eq!(fixture.release(2, PlaceOutcome::Answered), []);
    assert_eq!(fixture.request_place(4, Class::Online), [PlaceAction::Queued { id: id(4) }]);
}

/// Guards against overloading endpoints when another process becomes the dispatcher: it has to
/// count the places that its predecessor granted.
#[test]
fn places_granted_by_another_dispatcher_are_counted() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    let service = Name::from("s");
    fixture.dispatcher.record_granted_place(fixture.now, id(7), &service, "a", Class::Online);
    assert_eq!(fixture.request_place(1, Class::Online), [PlaceAction::Queued { id: id(1) }]);
    assert_eq!(fixture.release(7, PlaceOutcome::Answered), [grant(1, "a")]);
}

/// Guards against requests that accumulate inside an endpoint because it runs work that the
/// dispatcher does not track.
#[test]
fn an_endpoint_with_an_internal_queue_gets_no_further_requests() {
    let mut fixture = Fixture::with_endpoints(&[("a", 8)]);
    assert_eq!(fixture.request_place(1, Class::Online), [grant(1, "a")]);
    fixture.dispatcher.record_internal_queue(fixture.now, id(1));
    assert_eq!(fixture.request_place(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(fixture.advance(100), []);
    assert_eq!(fixture.advance(150), [grant(2, "a")]);
}

/// Guards against online requests that stay queued for a service whose last endpoint has left, until
/// their time is up.
#[test]
fn queued_online_requests_are_refused_when_the_last_endpoint_leaves() {
    let mut fixture = Fixture::with_endpoints(&[("a", 1)]);
    assert_eq!(fixture.request_place(1, Class::Online), [grant(1, "a")]);
    assert_eq!(fixture.request_place(2, Class::Online), [PlaceAction::Queued { id: id(2) }]);
    assert_eq!(fixture.request_place(3, Class::Batch), [PlaceAction::Queued { id: id(3) }]);
    fixture.dispatcher.set_endpoints(&[]);
    let retry_after = DispatcherConfig::default().max_retry_after;
    assert_eq!(fixture.advance(20), [PlaceAction::Refuse { id: id(2), retry_after }]);
    // The batch item stays queued.
    fixture.dispatcher.set_endpoints(&endpoint_places(&[("b", 1)]));
    assert_eq!(fixture.advance(20), [grant(3, "b")]);
}

/// Guards against an ejected endpoint that is not tried again, because its single request was withdrawn
/// or its holder was lost.
#[test]
fn the_trial_of_a_failed_endpoint_is_free_again_however_it_ends() {
    for is_holder_lost in [false, true] {
        let mut fixture = Fixture::with_endpoints(&[("a", 4)]);
        assert_eq!(fixture.request_place(1, Class::Online), [grant(1, "a")]);
        fixture.release(1, PlaceOutcome::Failed);
        fixture.advance(500);
        assert_eq!(fixture.request_place(2, Class::Online), [grant(2, "a")]);
        let queued = PlaceAction::Queued { id: id(3) };
        assert_eq!(fixture.request_place(3, Class::Batch), [queued], "one request at a time");
        let granted = if is_holder_lost {
            let (mut out, other) = (Vec::new(), PlaceId { holder: 2, number: 1 });
            let request = PlaceRequest {
                id: other,
                service: Name::from("s"),
                class: Class::Batch,
                start_by: fixture.now,
                due: fixture.now + OBJECTIVE,
                repeatable: true,
                excluded: Vec::new(),
                organization: None,
                priority: 0,
                cost: PlaceCost::default(),
            };
            fixture.dispatcher.request_place(fixture.now, request, &mut out);
            out.clear();
            fixture.dispatcher.remove_holder(fixture.now, 1, &mut out);
            assert_eq!(out, [PlaceAction::Grant { id: other, endpoint: Name::from("a") }]);
            continue;
        } else {
            fixture.release(2, PlaceOutcome::Withdrawn)
        };
        assert_eq!(granted, [grant(3, "a")]);
    }
}
