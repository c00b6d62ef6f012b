//! Snapshots on their way between processes.

use dogwoodtray_config::HeldSnapshot;
use dogwoodtray_config::Received;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::parse_file;
use dogwoodtray_coord::Generation;

/// Generations one to `count`. Each changes one of 500 routes.
fn generations(count: u64) -> Vec<Snapshot> {
    let mut all = Vec::new();
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
        all.push(last.clone());
    }
    all
}

/// Guards against changes that lead to another snapshot than the whole one, and against whole
/// snapshots where the changes suffice.
#[test]
fn a_peer_that_is_one_behind_gets_the_changes_only() {
    let generations = generations(8);
    let (mut first, mut second) = (HeldSnapshot::empty(), HeldSnapshot::empty());
    for snapshot in &generations {
        let whole = snapshot.encode().expect("small");
        assert_eq!(first.receive(&whole.bytes), Received::Applied);
        let sent = first.bytes_for(second.generation());
        if snapshot.generation() > Generation(1) {
            assert!(sent.len() * 2 < whole.bytes.len(), "{} bytes", sent.len());
        }
        assert_eq!(second.receive(&sent), Received::Applied);
        assert_eq!(second.snapshot(), snapshot);
        assert_eq!(second.whole(), whole.bytes);
    }
}

/// Guards against a process that stays behind, or steps back, after it missed a generation.
#[test]
fn a_peer_that_missed_a_generation_asks_for_the_whole() {
    let generations = generations(3);
    let mut ahead = HeldSnapshot::empty();
    let mut behind = HeldSnapshot::empty();
    let bytes = |index: usize| generations[index].encode().expect("small").bytes;
    assert_eq!(behind.receive(&bytes(0)), Received::Applied);
    for index in 0..3 {
        assert_eq!(ahead.receive(&bytes(index)), Received::Applied);
    }
    let changes = ahead.bytes_for(Generation(2));
    assert_eq!(behind.receive(&changes), Received::WholeNeeded);
    assert_eq!(behind.generation(), Generation(1));
    assert_eq!(behind.receive(&ahead.bytes_for(Generation(1))), Received::Applied);
    assert_eq!(behind.receive(&bytes(1)), Received::NotNewer);
    assert_eq!(behind.receive(&[7; 40]), Received::WholeNeeded);
    assert_eq!(behind.generation(), Generation(3));
}
