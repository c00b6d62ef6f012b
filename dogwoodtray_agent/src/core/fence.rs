//! Fencing tokens by claim.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;

/// Maximum number of tracked claims. Beyond it the oldest are dropped; the store still fences their
/// writes.
const MAX_CLAIMS: usize = 16_384;

/// Highest fencing token seen for each claim.
#[derive(Debug, Default)]
pub(super) struct FencingTokens {
    highest: BTreeMap<Name, Epoch>,
    insertion_order: VecDeque<Name>,
}

impl FencingTokens {
    /// Records the token and returns `true`, or returns `false` if a newer token of the claim has
    /// been seen.
    pub(super) fn accept(&mut self, claim: &Name, epoch: Epoch) -> bool {
        if let Some(highest) = self.highest.get_mut(claim) {
            if epoch < *highest {
                return false;
            }
            *highest = epoch;
            return true;
        }
        if self.insertion_order.len() == MAX_CLAIMS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.highest.remove(&oldest);
        }
        self.insertion_order.push_back(Name::clone(claim));
        self.highest.insert(Name::clone(claim), epoch);
        true
    }
}
