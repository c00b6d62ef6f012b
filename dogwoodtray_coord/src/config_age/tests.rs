//! Ways in which an old configuration could appear recent, and the pacing of reads and checks.

use std::time::Duration;

use super::ConfigAge;
use super::ProofResult;
use super::Proofs;
use super::Unproven;
use crate::Generation;
use crate::Timestamp;

const BOUND: Duration = Duration::from_secs(5);
const MS: u64 = 1_000;

/// Time in milliseconds since an arbitrary start of the clock.
const fn at(ms: u64) -> Timestamp {
    Timestamp(60_000_000 + ms * MS)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state of a process that holds a generation since the start.
fn holding(generation: u64) -> ConfigAge {
    let mut age = ConfigAge::new(BOUND, 1);
    age.on_config(at(0), Generation(generation));
    age
}

fn with_read(generation: u64, start: u64) -> ConfigAge {
    let mut age = holding(generation);
    age.start_read(at(start));
    assert_eq!(age.on_read(at(start + 4), Some(Generation(generation))), Some(ProofResult::Counts));
    age
}

/// Relays the proof of `from` to `to`: sent, received and answered at these times.
fn relay(from: &ConfigAge, to: &mut ConfigAge, times: [u64; 3]) -> Option<ProofResult> {
    let token = to.start_check(at(times[0]));
    let (generation, age) = from.proof_for_peer(at(times[1]))?;
    Some(to.on_answer(at(times[2]), token, generation, age))
}

/// Guards against keys accepted past the bound, and refused long before it.
#[test]
fn keys_are_accepted_until_just_before_the_bound() {
    let age = with_read(3, 1_000);
    assert!(age.verify(at(1_004)).is_ok());
    assert!(age.verify(at(5_950)).is_ok());
    assert!(age.verify(at(6_000)).is_err());
    assert!(holding(3).verify(at(1)).is_err());
}

/// Guards against a driver that is frozen between its read and its answer.
#[test]
fn a_frozen_driver_makes_its_proof_older() {
    let driver = with_read(3, 0);
    let mut gateway = holding(3);
    // The driver handles the check after a freeze of 2 s.
    assert_eq!(relay(&driver, &mut gateway, [100, 2_100, 2_101]), Some(ProofResult::Counts));
    assert_eq!(gateway.age(at(2_101)), Some(ms(4_101)));
    assert!(gateway.verify(at(3_000)).is_err());
    // A driver that was frozen during its read counts from the start of it.
    let mut frozen = holding(3);
    frozen.start_read(at(0));
    frozen.on_read(at(4_990), Some(Generation(3)));
    assert!(frozen.verify(at(4_995)).is_err());
    assert_eq!(frozen.proof_for_peer(at(4_995)), None);
}

/// Guards against a replica of the store that answers a read with a past state.
#[test]
fn a_stale_replica_proves_nothing() {
    let mut age = holding(4);
    age.start_read(at(10));
    assert_eq!(age.on_read(at(14), Some(Generation(3))), Some(ProofResult::Contradicted));
    assert!(age.verify(at(14)).is_err());
    // A read that began before the newer configuration arrived is no contradiction.
    let mut age = holding(4);
    age.start_read(at(20));
    age.on_config(at(22), Generation(5));
    assert_eq!(age.on_read(at(24), Some(Generation(4))), Some(ProofResult::Counts));
}

/// Guards against an answer that counts from its arrival.
#[test]
fn a_late_frame_counts_from_the_check() {
    let driver = with_read(3, 0);
    let mut gateway = holding(3);
    assert_eq!(relay(&driver, &mut gateway, [10, 11, 4_000]), Some(ProofResult::Counts));
    assert!(gateway.age(at(4_000)) >= Some(ms(4_000)));
    // Later than the bound, it does not count at all.
    let mut gateway = holding(3);
    assert_eq!(relay(&driver, &mut gateway, [10, 11, 9_000]), Some(ProofResult::Outdated));
    assert_eq!(gateway.on_answer(at(9_000), 77, Generation(3), ms(0)), ProofResult::Outdated);
}

/// Guards against delays, on any part of the way, that make a proof younger than it is.
#[test]
fn no_delay_makes_a_proof_younger() {
    fn property(delays: [u16; 4]) -> bool {
        let [read, there, frozen, back] = delays.map(|delay| u64::from(delay) / 16);
        let sent = read + there;
        let received = sent + frozen;
        let arrived = received + back;
        let driver = with_read(3, 0);
        let mut gateway = holding(3);
        match relay(&driver, &mut gateway, [sent, received, arrived]) {
            Some(ProofResult::Counts) => gateway.age(at(arrived)) >= Some(ms(arrived)),
            _ => gateway.verify(at(arrived)).is_err(),
        }
    }
    quickcheck::quickcheck(property as fn([u16; 4]) -> bool);
}

/// Guards against a configuration that appears recent because a watch reports no change, or only
/// because one has just arrived.
#[test]
fn a_watch_proves_nothing() {
    let mut age = with_read(3, 0);
    age.on_config(at(4_900), Generation(4));
    assert_eq!(age.age(at(4_900)), Some(ms(4_900)));
    assert!(age.verify(at(5_000)).is_err());
}

/// Guards against a second driver in another partition, whose last proof is old.
#[test]
fn the_proof_of_a_partitioned_driver_does_not_replace_a_newer_one() {
    let partitioned = with_read(3, 0);
    let mut gateway = with_read(3, 2_000);
    assert_eq!(relay(&partitioned, &mut gateway, [3_000, 3_001, 3_002]), Some(ProofResult::Counts));
    assert_eq!(gateway.age(at(3_002)), Some(ms(1_002)));
    // Processes that only ask each other cannot renew a proof.
    let (mut a, mut b) = (with_read(3, 0), holding(3));
    for round in 0..40 {
        let time = 10 + round * 200;
        relay(&a, &mut b, [time, time + 1, time + 2]);
        relay(&b, &mut a, [time + 100, time + 101, time + 102]);
    }
    assert!(a.verify(at(5_000)).is_err());
    assert!(b.verify(at(5_000)).is_err());
}

/// Guards against a proof of a configuration that this process does not hold.
#[test]
fn a_proof_counts_once_its_configuration_is_in_force() {
    let driver = with_read(5, 0);
    let mut gateway = holding(4);
    assert_eq!(relay(&driver, &mut gateway, [10, 11, 12]), Some(ProofResult::NeedsConfig));
    assert!(gateway.verify(at(12)).is_err());
    assert_eq!(gateway.proof_for_peer(at(12)), None);
    gateway.on_config(at(300), Generation(5));
    assert!(gateway.verify(at(300)).is_ok());
    assert_eq!(gateway.age(at(300)), Some(ms(301)));
}

/// Guards against a suspension that is not counted: the clock of the caller advances by it, and the
/// proofs and outstanding checks of before age with it.
#[test]
fn a_suspension_ages_proofs_and_checks() {
    let mut age = with_read(3, 0);
    let token = age.start_check(at(100));
    let resumed = at(3_600_000);
    assert!(age.verify(resumed).is_err());
    assert_eq!(age.on_answer(resumed, token, Generation(3), ms(0)), ProofResult::Outdated);
}

/// Guards against an age that reaches back before the start of the clock, which a machine booted
/// moments ago cannot express, and would take for its boot.
#[test]
fn a_read_before_the_start_of_the_clock_does_not_count() {
    let mut age = ConfigAge::new(BOUND, 1);
    age.on_config(Timestamp(0), Generation(3));
    let token = age.start_check(Timestamp(1_000 * MS));
    let answer = age.on_answer(Timestamp(1_001 * MS), token, Generation(3), ms(4_500));
    assert_eq!(answer, ProofResult::Outdated);
}

/// Simulates 60 s of a process with a round trip of 4 ms for reads. Returns the number of reads and
/// of checks, and the highest age after the first second.
fn simulate(proofs: Proofs, reads_succeed: bool, peer_age: Option<u64>) -> (u32, u32, Duration) {
    let mut age = holding(3);
    let (mut reads, mut checks, mut highest) = (0, 0, Duration::ZERO);
    for now in 0..60_000 {
        let due = age.due(at(now), proofs);
        if due.read {
            reads += 1;
            age.on_read(at(now), reads_succeed.then_some(Generation(3)));
        }
        if let Some(check) = due.check {
            checks += 1;
            if let Some(peer_age) = peer_age {
                age.on_answer(at(now), check.token, Generation(3), ms(peer_age + now % 1_000));
            }
        }
        if now > 1_000 {
            highest = highest.max(age.age(at(now)).unwrap_or(Duration::MAX));
        }
    }
    (reads, checks, highest)
}

/// Guards against a call a second from each process in normal operation, and against ages that
/// leave no time for a failure.
#[test]
fn relayed_proofs_replace_own_reads() {
    let gateway = Proofs { reads_for_all: false, peers: 2 };
    let (reads, checks, highest) = simulate(gateway, true, Some(4));
    assert_eq!(reads, 1, "only the first proof is read");
    assert_eq!(checks, 150);
    assert!(highest < ms(1_500), "{highest:?}");
    let driver = Proofs { reads_for_all: true, peers: 2 };
    assert_eq!(simulate(driver, true, None).0, 60);
}

/// Guards against many calls of a process that is rejected or cut off.
#[test]
fn failed_reads_are_spread() {
    let gateway = Proofs { reads_for_all: false, peers: 0 };
    let (reads, _, _) = simulate(gateway, false, None);
    assert!((17..=30).contains(&reads), "{reads} reads in 60 s");
    let (reads, _, highest) = simulate(gateway, true, None);
    assert!((25..=40).contains(&reads), "{reads} reads in 60 s");
    assert!(highest < ms(2_300), "{highest:?}");
}

/// Guards against a refusal that names no time, or one after which nothing has been tried.
#[test]
fn a_refusal_names_the_next_attempt() {
    let mut age = holding(3);
    let proofs = Proofs { reads_for_all: false, peers: 1 };
    assert!(age.due(at(0), proofs).read);
    assert_eq!(age.verify(at(1)), Err(Unproven { retry_after: ms(150) }));
    age.on_read(at(5), None);
    let next = age.next_due_at(at(300), proofs).map(|next| next.max(at(350)));
    assert_eq!(age.verify(at(300)).err().map(|unproven| at(300) + unproven.retry_after), next);
}
