//! Tests for the distribution of snapshots between processes.

use dogwoodtray_config::CurrentSnapshot;
use dogwoodtray_config::Received;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::parse_file;
use dogwoodtray_coord::Generation;

/// Returns generations 1 to `count`, each of which changes one of 500 routes.
fn generations(count: u64) -> Vec<Snapshot> {
    let mut snapshots = Vec::new();
    let mut last = Snapshot::empty();
    for generation in 1..=count {
        let route = |index: u64| {
            let deadline_ms = if index == generation { 2_000 } else { 1_000 };
            format!(
                "[[route]]\nname = \"route-{index}\"\nservice = \"ledger\"\n\
                 default_deadline_ms = {deadline_ms}\norganisations = [\"*\"]\n"
            )
        };
        let text: String = (0..500).map(route).collect();
        let objects = parse_file("routes.toml", &text).expect("valid objects");
        let hash = last.encode().expect("small").hash;
        last = last.next(hash, objects);
        snapshots.push(last.clone());
    }
    snapshots
}

/// Guards against deltas whose result differs from the full snapshot, and against sending a full
/// snapshot to a peer that needs only the delta.
#[test]
fn peer_with_previous_generation_receives_only_the_delta() {
    let generations = generations(8);
    let (mut first, mut second) = (CurrentSnapshot::empty(), CurrentSnapshot::empty());
    for snapshot in &generations {
        let full = snapshot.encode().expect("small");
        assert_eq!(first.receive(&full.bytes), Received::Applied);
        let update = first.bytes_for(second.generation());
        if snapshot.generation() > Generation(1) {
            assert!(update.len() * 2 < full.bytes.len(), "{} bytes", update.len());
        }
        assert_eq!(second.receive(&update), Received::Applied);
        assert_eq!(second.snapshot(), snapshot);
        assert_eq!(second.full_bytes(), full.bytes);
    }
}

/// Guards against a process that misses a generation and then keeps an old snapshot or returns to
/// an older one. The process has to reject the delta and request a full snapshot.
#[test]
fn peer_that_missed_a_generation_needs_a_full_snapshot() {
    let generations = generations(3);
    let mut up_to_date = CurrentSnapshot::empty();
    let mut outdated = CurrentSnapshot::empty();
    let bytes = |index: usize| generations[index].encode().expect("small").bytes;
    assert_eq!(outdated.receive(&bytes(0)), Received::Applied);
    for index in 0..3 {
        assert_eq!(up_to_date.receive(&bytes(index)), Received::Applied);
    }
    let delta = up_to_date.bytes_for(Generation(2));
    assert_eq!(outdated.receive(&delta), Received::FullSnapshotNeeded);
    assert_eq!(outdated.generation(), Generation(1));
    assert_eq!(outdated.receive(&up_to_date.bytes_for(Generation(1))), Received::Applied);
    assert_eq!(outdated.receive(&bytes(1)), Received::NotNewer);
    assert_eq!(outdated.receive(&[7; 40]), Received::FullSnapshotNeeded);
    assert_eq!(outdated.generation(), Generation(3));
}
