//! Highest fencing token seen for each claim.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;

/// Claims that are remembered. Beyond this the oldest are dropped; their writes are still fenced
/// by the store.
const MAX_CLAIMS: usize = 16_384;

/// Refuses fencing tokens that are older than the newest seen for their claim.
#[derive(Debug, Default)]
pub(super) struct FenceGate {
    newest: BTreeMap<Name, Epoch>,
    order: VecDeque<Name>,
}

impl FenceGate {
    /// Tells whether a request under this claim may pass, and remembers its token.
    pub(super) fn admit(&mut self, claim: &Name, epoch: Epoch) -> bool {
        if let Some(newest) = self.newest.get_mut(claim) {
            if epoch < *newest {
                return false;
            }
            *newest = epoch;
            return true;
        }
        if self.order.len() == MAX_CLAIMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.newest.remove(&oldest);
        }
        self.order.push_back(Name::clone(claim));
        self.newest.insert(Name::clone(claim), epoch);
        true
    }
}
