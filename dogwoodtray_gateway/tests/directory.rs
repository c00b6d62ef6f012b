//! Tests of the directory of the configuration and the endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_gateway::Applied;
use dogwoodtray_gateway::Directory;
use dogwoodtray_gateway::Endpoint;
use dogwoodtray_gateway::EndpointState;
use dogwoodtray_gateway::Limits;
use dogwoodtray_gateway::SiteConfig;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::quickcheck;

fn endpoint(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: Name::from(id),
        service: Name::from("s"),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("z"),
        slots: 4,
        state,
        started_unix_ms: 0,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

/// Guards against an older generation of the configuration that replaces a newer one.
#[test]
fn an_older_configuration_is_ignored() {
    let mut directory = Directory::new();
    let config =
        |generation| SiteConfig::new(Generation(generation), Vec::new(), Limits::default());
    assert!(directory.set_config(config(3)));
    assert!(!directory.set_config(config(2)));
    assert!(!directory.set_config(config(3)));
    assert!(directory.set_config(config(8)));
    assert_eq!(directory.generation(), Generation(8));
}

/// Guards against requests to removed or draining endpoints, and against an outdated list that
/// arrives late and restores them.
#[test]
fn removed_and_draining_endpoints_get_no_requests() {
    let mut directory = Directory::new();
    let ready = |id| endpoint(id, EndpointState::Ready);
    let set = directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    assert_eq!(set, Applied::Changed);
    let draining = endpoint("b", EndpointState::Draining);
    assert_eq!(directory.set_endpoints(at(400), Version(6), vec![draining]), Applied::Changed);
    assert!(directory.endpoint("a").is_none());
    assert!(directory.endpoint("b").is_none());
    assert!(directory.places().is_empty());
    let set = directory.set_endpoints(at(500), Version(5), vec![ready("a"), ready("b")]);
    assert_eq!(set, Applied::Outdated);
    assert!(directory.endpoint("a").is_none());
}

/// Guards against endpoints that are removed because their entries expired during an outage of the
/// store, and against expired entries that are never removed.
#[test]
fn expired_entries_are_removed_after_a_grace_period() {
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

/// Guards against removed entries that a process keeps and relays to all others. This occurs if the
/// store rejected the calls of the process while it received current lists on its links.
#[test]
fn a_process_with_a_recent_list_removes_missing_entries_at_once() {
    let mut directory = Directory::new();
    let ready = |id| endpoint(id, EndpointState::Ready);
    directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    directory.on_list_failed();
    directory.set_endpoints(at(1_000), Version(6), vec![ready("a")]);
    assert!(directory.endpoint("b").is_none());
}

/// Returns the endpoints of a directory in order of id.
fn endpoints_by_id(directory: &Directory) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> =
        directory.endpoints().map(|endpoint| Endpoint::clone(endpoint)).collect();
    endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    endpoints
}

/// Sends the changes to the receiver, or the complete list if they do not apply, as the relay does.
fn relay(sender: &mut Directory, receiver: &mut Directory, now: u64) -> Applied {
    let changes = sender.take_changes();
    let revision = sender.revision();
    let applied = receiver.apply(at(now), revision, &changes);
    if applied != Applied::BaseMismatch {
        return applied;
    }
    receiver.set_relayed_endpoints(at(now), revision, endpoints_by_id(sender))
}

quickcheck! {
    /// Guards against a receiver that misses a change of the endpoints or keeps a removed endpoint.
    /// This occurs if some of the changes, which are sent instead of the complete list, are lost.
    fn relayed_changes_converge_to_the_same_endpoints(lists: Vec<(Vec<(u8, bool)>, bool)>) -> bool {
        let mut sender = Directory::new();
        let mut receiver = Directory::new();
        for (step, (list, lost)) in lists.into_iter().enumerate() {
            let now = 400 * step as u64;
            let mut endpoints: Vec<Endpoint> = Vec::new();
            for (id, draining) in list {
                let state = if draining { EndpointState::Draining } else { EndpointState::Ready };
                endpoints.retain(|other| *other.id != *format!("e{}", id % 6));
                endpoints.push(endpoint(&format!("e{}", id % 6), state));
            }
            sender.set_endpoints(at(now), Version(step as u64), endpoints);
            if lost {
                sender.take_changes();
                continue;
            }
            relay(&mut sender, &mut receiver, now);
            if endpoints_by_id(&sender) != endpoints_by_id(&receiver) {
                return false;
            }
        }
        true
    }
}

/// Guards against complete lists that are sent to every process although nothing has changed, as
/// their size grows with the number of endpoints. Also guards against an age that grows while an
/// unchanged list is confirmed.
#[test]
fn an_unchanged_list_is_confirmed_without_its_endpoints() {
    let ready = |id| endpoint(id, EndpointState::Ready);
    let (mut sender, mut receiver) = (Directory::new(), Directory::new());
    sender.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    relay(&mut sender, &mut receiver, 0);
    sender.set_endpoints(at(400), Version(6), vec![ready("b"), ready("a")]);
    let changes = sender.take_changes();
    assert_eq!((changes.changed.len(), changes.removed.len()), (0, 0));
    assert_eq!(receiver.apply(at(400), Version(6), &changes), Applied::Same);
    assert_eq!((receiver.listed_at(), receiver.revision()), (Some(at(400)), Version(6)));
}

/// Guards against changes that are applied to a list other than the one that they are based on.
#[test]
fn changes_based_on_another_list_are_not_applied() {
    let ready = |id| endpoint(id, EndpointState::Ready);
    let (mut sender, mut receiver) = (Directory::new(), Directory::new());
    sender.set_endpoints(at(0), Version(5), vec![ready("a")]);
    sender.take_changes();
    assert_eq!(receiver.apply(at(0), Version(5), &sender.take_changes()), Applied::BaseMismatch);
    receiver.set_relayed_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    sender.set_endpoints(at(400), Version(6), vec![ready("c")]);
    let changes = sender.take_changes();
    assert_eq!(receiver.apply(at(400), Version(6), &changes), Applied::BaseMismatch);
    assert!(receiver.endpoint("c").is_none());
}

/// Guards against entries that a process keeps during its grace period and never removes, because
/// the changes that it receives do not contain them.
#[test]
fn an_expired_entry_is_removed_without_a_change() {
    let ready = |id| endpoint(id, EndpointState::Ready);
    let (mut sender, mut receiver) = (Directory::new(), Directory::new());
    sender.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    relay(&mut sender, &mut receiver, 0);
    receiver.on_list_failed();
    sender.set_endpoints(at(4_000), Version(6), vec![ready("a")]);
    relay(&mut sender, &mut receiver, 4_000);
    assert!(receiver.endpoint("b").is_some());
    sender.set_endpoints(at(6_400), Version(6), vec![ready("a")]);
    relay(&mut sender, &mut receiver, 6_400);
    assert!(receiver.endpoint("b").is_none());
}

/// Guards against a list that clears the mark of an endpoint that is leaving, and against a mark that
/// outlives the endpoint. Compares random lists, losses, restarts and marks with a simple model.
#[test]
fn a_mark_holds_for_one_life_of_an_endpoint() {
    fn property(steps: Vec<u8>) -> bool {
        let mut directory = Directory::new();
        let life = |started_unix_ms| {
            let mut endpoint = endpoint("a", EndpointState::Ready);
            endpoint.started_unix_ms = started_unix_ms;
            endpoint
        };
        let (mut current, mut is_listed, mut marked) = (1, false, Vec::new());
        for (number, step) in (1..).zip(steps) {
            let (now, revision) = (at(number * 400), Version(number));
            match step % 5 {
                0 => current += 1,
                1 => {
                    directory.mark_leaving(now, &life(current));
                    marked.push(current);
                }
                2 => {
                    directory.set_endpoints(now, revision, Vec::new());
                    is_listed = false;
                    continue;
                }
                _ => {}
            }
            directory.set_endpoints(now, revision, vec![life(current)]);
            is_listed = true;
            let is_used = directory.endpoint("a").is_some();
            if is_used == marked.contains(&current) || is_used == directory.places().is_empty() {
                return false;
            }
        }
        directory.known_endpoint("a").is_some() == is_listed
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 28))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
