//! What a process believes about configuration and endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_gateway::Directory;
use dogwoodtray_gateway::Endpoint;
use dogwoodtray_gateway::EndpointState;
use dogwoodtray_gateway::Limits;
use dogwoodtray_gateway::SiteConfig;

fn endpoint(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: Name::from(id),
        service: Name::from("s"),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("z"),
        slots: 4,
        state,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

/// Guards against a configuration that goes back to an older generation.
#[test]
fn the_configuration_never_goes_back() {
    let mut directory = Directory::new();
    let config =
        |generation| SiteConfig::new(Generation(generation), Vec::new(), Limits::default());
    assert!(directory.set_config(config(3)));
    assert!(!directory.set_config(config(2)));
    assert!(!directory.set_config(config(3)));
    assert!(directory.set_config(config(8)));
    assert_eq!(directory.generation(), Generation(8));
}

/// Guards against requests to endpoints that are gone or leaving, and against an old list that
/// arrives late.
#[test]
fn endpoints_that_are_gone_or_draining_get_nothing() {
    let mut directory = Directory::new();
    let ready = |id| endpoint(id, EndpointState::Ready);
    assert!(directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]));
    let draining = endpoint("b", EndpointState::Draining);
    assert!(directory.set_endpoints(at(400), Version(6), vec![draining]));
    assert!(directory.endpoint("a").is_none());
    assert!(directory.endpoint("b").is_none());
    assert!(directory.places().is_empty());
    assert!(!directory.set_endpoints(at(500), Version(5), vec![ready("a"), ready("b")]));
    assert!(directory.endpoint("a").is_none());
}

/// Guards against endpoints that are dropped because their entries lapsed in an outage, and
/// against lapsed entries that are kept for good.
#[test]
fn lapsed_entries_have_time_to_come_back() {
    let mut directory = Directory::new();
    let ready = |id| endpoint(id, EndpointState::Ready);
    directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    directory.on_list_failed();
    directory.set_endpoints(at(5_000), Version(6), vec![ready("a")]);
    assert!(directory.endpoint("b").is_some());
    directory.set_endpoints(at(6_900), Version(7), vec![ready("a")]);
    assert!(directory.endpoint("b").is_some());
    directory.set_endpoints(at(7_400), Version(8), vec![ready("a")]);
    assert!(directory.endpoint("b").is_none());
}

/// Guards against entries that are kept, and relayed to all others, by a process that the store
/// turned away while it was kept up to date on its links.
#[test]
fn a_process_that_was_kept_up_to_date_keeps_no_gone_entry() {
    let mut directory = Directory::new();
    let ready = |id| endpoint(id, EndpointState::Ready);
    directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    directory.on_list_failed();
    directory.set_endpoints(at(1_000), Version(6), vec![ready("a")]);
    assert!(directory.endpoint("b").is_none());
}
