//! Tests of the predicted work of requests, by its exported error and the waits that follow from it.

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

fn id(number: u64) -> PlaceId {
    PlaceId { holder: 1, number }
}

fn request(
    now: Timestamp,
    number: u64,
    cost: PlaceCost,
    organization: Option<&str>,
) -> PlaceRequest {
    PlaceRequest {
        id: id(number),
        service: Name::from("s"),
        class: Class::Online,
        start_by: now + Duration::from_secs(1),
        due: now + Duration::from_secs(60),
        repeatable: false,
        excluded: Vec::new(),
        organization: organization.map(Name::from),
        priority: 0,
        cost,
    }
}

fn dispatcher(slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    let endpoint = EndpointPlaces { name: Name::from("e"), service: Name::from("s"), slots };
    dispatcher.set_endpoints(&[endpoint]);
    dispatcher
}

/// Serves 400 requests one after the other and returns the error of the predictions.
fn error_of(mut next: impl FnMut(&mut StdRng) -> (PlaceCost, Option<&'static str>, f64)) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut dispatcher = dispatcher(1);
    let (mut now, mut out) = (Timestamp::ZERO, Vec::new());
    for number in 0..400 {
        let (cost, organization, seconds) = next(&mut rng);
        dispatcher.request_place(now, request(now, number, cost, organization), &mut out);
        now = now + Duration::from_secs_f64(seconds);
        dispatcher.release_place(now, id(number), PlaceOutcome::Answered, &mut out);
    }
    dispatcher.metrics(now).prediction_error
}

/// Guards against statements that are ignored although they are true, and against false ones that make
/// predictions worse than none.
#[test]
fn stated_lengths_are_used_as_far_as_they_are_true() {
    let play = |states: bool, is_true: bool| {
        error_of(|rng| {
            let seconds = 0.5 * rng.random_range(-1.0..1.0_f64).exp();
            let other = 0.5 * rng.random_range(-1.0..1.0_f64).exp();
            let stated = if is_true { seconds } else { other } * 100.0;
            let expected_output_tokens = if states { stated as u32 } else { 0 };
            (PlaceCost { route: 1, expected_output_tokens, ..PlaceCost::default() }, None, seconds)
        })
    };
    let (none, honest, random) = (play(false, true), play(true, true), play(true, false));
    assert!(honest < none / 2.0, "{honest} {none}");
    assert!(random < none * 1.15, "{random} {none}");
}

/// Guards against one mean for organizations and prompt parts whose requests differ.
#[test]
fn organizations_and_prompt_parts_are_distinguished() {
    let play = |is_known: bool| {
        error_of(|rng| {
            let (is_large, is_long) = (rng.random_bool(0.5), rng.random_bool(0.5));
            let seconds = if is_large { 1.0 } else { 0.3 } * if is_long { 2.0 } else { 0.7 };
            let prefix = if is_known { 1 + u32::from(is_long) } else { 0 };
            let organization = is_known.then_some(if is_large { "large" } else { "small" });
            (PlaceCost { route: 1, prefix, ..PlaceCost::default() }, organization, seconds)
        })
    };
    let (known, unknown) = (play(true), play(false));
    assert!(known < unknown / 2.0, "{known} {unknown}");
}

/// Guards against memory that grows with the prompt parts, and against new ones that push out routes.
#[test]
fn many_prompt_parts_do_not_displace_a_route() {
    let mut prefix = 0;
    let error = error_of(|_| {
        prefix += 1;
        (PlaceCost { route: 1, prefix, ..PlaceCost::default() }, None, 0.2)
    });
    assert!(error < 0.05, "{error}");
}

/// Guards against stragglers that are guessed away: while the places are held by runs that have long
/// outlived their prediction, a request is refused that could only start after the usual time.
#[test]
fn runs_that_outlive_their_prediction_are_expected_to_go_on() {
    let mut dispatcher = dispatcher(4);
    let cost = PlaceCost { route: 1, ..PlaceCost::default() };
    let (mut now, mut out) = (Timestamp::ZERO, Vec::new());
    for number in 0..200 {
        dispatcher.request_place(now, request(now, number, cost, None), &mut out);
        now = now + Duration::from_millis(if number % 20 == 0 { 4_000 } else { 200 });
        dispatcher.release_place(now, id(number), PlaceOutcome::Answered, &mut out);
    }
    for number in 200..204 {
        dispatcher.request_place(now, request(now, number, cost, None), &mut out);
    }
    let refused = |out: &[PlaceAction]| matches!(out, [PlaceAction::Refuse { .. }]);
    out.clear();
    let mut waiting = dispatcher;
    waiting.request_place(now, request(now, 204, cost, None), &mut out);
    assert!(!refused(&out), "{out:?}");
    now = now + Duration::from_secs(12);
    let refusals = (205..216).filter(|number| {
        out.clear();
        waiting.request_place(now, request(now, *number, cost, None), &mut out);
        refused(&out)
    });
    assert!(refusals.count() > 9);
}
