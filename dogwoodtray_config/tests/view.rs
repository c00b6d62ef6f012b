//! Tests for lookups in a view.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use dogwoodtray_config::Retirement;
use dogwoodtray_config::RouteTarget;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::Subject;
use dogwoodtray_config::UtcTime;
use dogwoodtray_config::View;

fn view(example: &str) -> View {
    View::new(&common::next(&Snapshot::empty(), common::example_set(example)))
}

fn unix_ms(text: &str) -> u64 {
    text.parse::<UtcTime>().unwrap().unix_ms()
}

/// Guards against running a payout twice. This happens if a non-canonical spelling of a
/// non-idempotent path is treated as idempotent and the request is retried.
#[test]
fn non_canonical_paths_are_not_idempotent() {
    let view = view("kegtalk");
    let route = view.route("kegledger").unwrap();
    for path in ["/balances", "/balances/7", "/payoutsheet", "/accounts", "/balances?x=%2F", "/"] {
        assert!(route.is_idempotent(path), "{path}");
    }
    for path in [
        "/payouts",
        "/payouts/",
        "/PayOuts/7",
        "/payouts?x=1",
        "//payouts",
        "/%70ayouts",
        "/x/../payouts",
        "/./payouts",
        "/payouts;x",
        "\\payouts",
        "payouts",
        "",
    ] {
        assert!(!route.is_idempotent(path), "{path}");
    }
}

/// Guards against applying a last day too early, too late or to the wrong route. A route is subject
/// to its own plan and to the plan of its model.
#[test]
fn route_retires_on_the_earlier_last_day() {
    let view = view("kegtalk");
    let last_day = unix_ms("2027-06-30T22:00:00Z");
    let results_until = unix_ms("2027-09-30T22:00:00Z");
    assert_eq!(last_day, 1_814_392_800_000);
    let model = |now| view.retirement(Subject::Model("kegtalk"), now);
    assert!(matches!(model(last_day - 1), Retirement::Open(Some(_))));
    assert!(matches!(model(last_day), Retirement::Closed(_)));
    assert!(matches!(model(results_until), Retirement::ResultsExpired(_)));
    let route = |name| view.route_retirement(view.route(name).unwrap(), last_day - 1);
    assert!(route("kegtalk").is_open());
    assert_eq!(route("kegtalk-de").plan().unwrap().successor.as_deref(), Some("kegtalk"));
    assert!(!route("kegtalk-de").is_open());
    assert_eq!(route("kegledger"), Retirement::Open(None));
}

/// Guards against lookups that return the wrong object, such as the batch policy of the model for a
/// route that has a policy of its own.
#[test]
fn lookups_return_the_objects_of_the_snapshot() {
    let view = view("kegtalk");
    assert_eq!(view.generation().0, 1);
    let policy = |name| view.batch_policy(view.route(name).unwrap()).map(|policy| &*policy.name);
    assert_eq!(policy("kegtalk-de"), Some("day-slips"));
    assert_eq!(policy("kegledger"), Some("ledger-lookups"));
    let target = view.route("kegledger").unwrap().target();
    assert_eq!(target, Some(RouteTarget::Service("kegledger")));
    assert!(!view.route("kegledger").unwrap().allows("borduurhuis"));
    assert!(view.route("kegtalk").unwrap().allows("borduurhuis"));
    assert!(view.route("unknown").is_none());
}
