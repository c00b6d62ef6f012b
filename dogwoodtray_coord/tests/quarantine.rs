//! Distribution of suspicions to other processes.

use std::collections::BTreeSet;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Quarantine;

const SUSPECTS: u64 = 200;
const LIMIT: usize = 64;

fn gossip(table: &mut Quarantine) -> BTreeSet<u64> {
    table.gossip(LIMIT).into_iter().map(|suspicion| suspicion.content.0).collect()
}

/// A change must be sent at once, even if the current round through a large table is not complete.
/// Older suspicions must still be sent in turn, for processes that started later.
#[test]
fn gossip_sends_changes_first_and_the_rest_in_turn() {
    for rounds in 0..10 {
        let mut table = Quarantine::new(1_000);
        for content in 0..SUSPECTS {
            table.record_death(ContentHash(content), 1);
        }
        for _ in 0..4 + rounds {
            gossip(&mut table);
        }
        table.record_death(ContentHash(7), 2);
        assert!(gossip(&mut table).contains(&7), "after {rounds} more rounds");
        let later: BTreeSet<u64> = (0..4).flat_map(|_| gossip(&mut table)).collect();
        assert_eq!(later.len() as u64, SUSPECTS);
    }
}
