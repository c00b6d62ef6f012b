//! Distribution of suspicions to other processes.

use std::collections::BTreeSet;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Quarantine;

const SUSPECTS: u64 = 200;
const LIMIT: usize = 64;

fn next_contents(table: &mut Quarantine) -> BTreeSet<u64> {
    table.next_suspicions(LIMIT).into_iter().map(|suspicion| suspicion.content.0).collect()
}

/// A change must be sent at once, even if the current round through a large table is not complete.
/// Older suspicions must still be sent in turn, for processes that started later.
#[test]
fn gossip_sends_changes_first_and_the_rest_in_turn() {
    for rounds in 0..10 {
        let mut table = Quarantine::new(1_000);
        for content in 0..SUSPECTS {
            table.record_crash(ContentHash(content), 1);
        }
        for _ in 0..4 + rounds {
            next_contents(&mut table);
        }
        table.record_crash(ContentHash(7), 2);
        assert!(next_contents(&mut table).contains(&7), "after {rounds} more rounds");
        let later: BTreeSet<u64> = (0..4).flat_map(|_| next_contents(&mut table)).collect();
        assert_eq!(later.len() as u64, SUSPECTS);
    }
}
