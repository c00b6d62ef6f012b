//! Lookup.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use dogwoodtray_config::Retirement;
use dogwoodtray_config::RouteTarget;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::Subject;
use dogwoodtray_config::UtcTime;
use dogwoodtray_config::View;

fn view(example: &str) -> View {
    View::new(&common::next(&Snapshot::empty(), common::example(example)))
}

fn unix_ms(text: &str) -> u64 {
    text.parse::<UtcTime>().unwrap().unix_ms()
}

/// Guards against a refund that runs twice because its path is spelled in another way.
#[test]
fn unusual_spellings_of_a_path_are_not_idempotent() {
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

/// Guards against a last day that is applied too early, too late, or to the wrong route.
#[test]
fn retirement_follows_the_plan_that_closes_first() {
    let view = view("kegtalk");
    let last = unix_ms("2027-06-30T22:00:00Z");
    let gone = unix_ms("2027-09-30T22:00:00Z");
    assert_eq!(last, 1_814_392_800_000);
    let model = |now| view.retirement(Subject::Model("kegtalk"), now);
    assert!(matches!(model(last - 1), Retirement::Open(Some(_))));
    assert!(matches!(model(last), Retirement::Closed(_)));
    assert!(matches!(model(gone), Retirement::ResultsExpired(_)));
    let route = |name| view.route_retirement(view.route(name).unwrap(), last - 1);
    assert!(route("kegtalk").is_open());
    assert_eq!(route("kegtalk-de").plan().unwrap().successor.as_deref(), Some("kegtalk"));
    assert!(!route("kegtalk-de").is_open());
    assert_eq!(route("kegledger"), Retirement::Open(None));
}

/// Guards against a job that runs under the policy of its model although its route has one.
#[test]
fn lookups_find_the_objects_of_the_generation() {
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
