//! Share of the requests of each organization that got a place.

use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

/// Time constant with which past requests are discounted.
const WINDOW: Duration = Duration::from_secs(10);

/// Discounted number of requests below which an organization is left out. The share of a single
/// request says nothing.
const MIN_ASKED: f64 = 2.0;

/// Number of organizations from which idle ones are removed.
const MAX_IDLE: usize = 1_024;

/// Discounted numbers of requests of an organization.
#[derive(Clone, Copy, Debug)]
struct Counts {
    asked: f64,
    served: f64,
    at: Timestamp,
}

impl Counts {
    fn at(self, now: Timestamp) -> Self {
        let decay = (-(now - self.at).as_secs_f64() / WINDOW.as_secs_f64()).exp();
        Self { asked: self.asked * decay, served: self.served * decay, at: now }
    }
}

/// Requests that got a place, and all that were decided, by organization.
#[derive(Debug, Default)]
pub(super) struct ServedShares {
    counts: HashMap<Name, Counts>,
}

impl ServedShares {
    /// Records a decision: a place, or none.
    pub(super) fn record(&mut self, now: Timestamp, organization: Option<&Name>, served: bool) {
        let Some(name) = organization else { return };
        if self.counts.len() >= MAX_IDLE && !self.counts.contains_key(name) {
            self.counts.retain(|_, counts| counts.at(now).asked >= MIN_ASKED);
        }
        let initial = Counts { asked: 0.0, served: 0.0, at: now };
        let counts = self.counts.entry(Name::clone(name)).or_insert(initial);
        *counts = counts.at(now);
        counts.asked += 1.0;
        counts.served += f64::from(u8::from(served));
    }

    /// Returns the share of each organization that sent requests lately.
    pub(super) fn shares(&self, now: Timestamp) -> impl Iterator<Item = f64> {
        let counts = self.counts.values().map(move |counts| counts.at(now));
        counts.filter(|counts| counts.asked >= MIN_ASKED).map(|counts| counts.served / counts.asked)
    }
}

/// Returns the share below or at which a tenth of the organizations are served, or `None` without
/// organizations.
pub(super) fn worst_tenth(mut shares: Vec<f64>) -> Option<f64> {
    let rank = shares.len().div_ceil(10).checked_sub(1)?;
    shares.sort_unstable_by(f64::total_cmp);
    shares.get(rank).copied()
}
