//! What a process believes about configuration and endpoints.

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
use quickcheck::quickcheck;

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
    let set = directory.set_endpoints(at(0), Version(5), vec![ready("a"), ready("b")]);
    assert_eq!(set, Applied::Changed);
    let draining = endpoint("b", EndpointState::Draining);
    assert_eq!(directory.set_endpoints(at(400), Version(6), vec![draining]), Applied::Changed);
    assert!(directory.endpoint("a").is_none());
    assert!(directory.endpoint("b").is_none());
    assert!(directory.places().is_empty());
    let set = directory.set_endpoints(at(500), Version(5), vec![ready("a"), ready("b")]);
    assert_eq!(set, Applied::Older);
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

fn known(directory: &Directory) -> Vec<Endpoint> {
    let mut known: Vec<Endpoint> =
        directory.endpoints().map(|endpoint| Endpoint::clone(endpoint)).collect();
    known.sort_by(|a, b| a.id.cmp(&b.id));
    known
}

/// Brings the receiver up to date as the relay does.
fn relay(sender: &mut Directory, receiver: &mut Directory, now: u64) -> Applied {
    let changes = sender.take_changes();
    let revision = sender.revision();
    let applied = receiver.apply(at(now), revision, &changes);
    if applied != Applied::OtherList {
        return applied;
    }
    receiver.set_relayed(at(now), revision, known(sender))
}

quickcheck! {
    /// Guards against a process that misses a change of the endpoints, or keeps one that is gone,
    /// because it is sent changes and not the whole list, and some of them are lost.
    fn changes_lead_to_the_same_endpoints(lists: Vec<(Vec<(u8, bool)>, bool)>) -> bool {
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
            if known(&sender) != known(&receiver) {
                return false;
            }
        }
        true
    }
}

/// Guards against lists that are sent although nothing has changed, whose size grows with the
/// endpoints and which go to every process, and against an age that grows meanwhile.
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

/// Guards against changes that are applied to another list than they belong to.
#[test]
fn changes_of_another_list_are_not_applied() {
    let ready = |id| endpoint(id, EndpointState::Ready);
    let (mut sender, mut receiver) = (Directory::new(), Directory::new());
    sender.set_endpoints(at(0), Version(5), vec![ready("a")]);
    sender.take_changes();
    assert_eq!(receiver.apply(at(0), Version(5), &sender.take_changes()), Applied::OtherList);
    receiver.set_relayed(at(0), Version(5), vec![ready("a"), ready("b")]);
    sender.set_endpoints(at(400), Version(6), vec![ready("c")]);
    let changes = sender.take_changes();
    assert_eq!(receiver.apply(at(400), Version(6), &changes), Applied::OtherList);
    assert!(receiver.endpoint("c").is_none());
}

/// Guards against entries that a process keeps in its own time of grace and never drops, because
/// the changes that it is sent do not name them.
#[test]
fn a_kept_entry_goes_without_a_change() {
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
