//! Hybrid logical clock.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum by which a received stamp may be ahead of the local wall clock.
///
/// Without a bound, one process with a wrong wall clock would permanently move the clocks of all
/// others forward.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Timestamp of a hybrid logical clock, consistent with the causal order of events.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcStamp {
    /// Microseconds of wall-clock time since the Unix epoch.
    pub wall_us: u64,
    /// Logical counter that distinguishes stamps with the same wall-clock time.
    pub logical: u32,
}

impl HlcStamp {
    const fn successor(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { wall_us: self.wall_us, logical },
            None => Self { wall_us: self.wall_us + 1, logical: 0 },
        }
    }
}

impl fmt::Display for HlcStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}+{}", self.wall_us / 1_000_000, self.wall_us % 1_000_000, self.logical)
    }
}

/// Hybrid logical clock, which follows the wall clock and never runs backwards.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{Hlc, HlcStamp};
///
/// let mut clock = Hlc::default();
/// let first = clock.stamp(1_000);
/// // A message from a process whose wall clock is ahead.
/// let remote = HlcStamp { wall_us: 5_000, logical: 3 };
/// let received = clock.receive(1_001, remote);
/// assert!(first < remote && remote < received);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Hlc {
    last: HlcStamp,
}

impl Hlc {
    /// Returns a stamp for a local event or for a message to send.
    pub fn stamp(&mut self, wall_us: u64) -> HlcStamp {
        self.last = HlcStamp { wall_us, logical: 0 }.max(self.last.successor());
        self.last
    }

    /// Returns a stamp for the receipt of a message, later than the stamp in the message.
    ///
    /// A remote stamp that is more than [`MAX_CLOCK_SKEW`] ahead of the wall clock is ignored.
    pub fn receive(&mut self, wall_us: u64, remote: HlcStamp) -> HlcStamp {
        let ahead = Duration::from_micros(remote.wall_us.saturating_sub(wall_us));
        if ahead <= MAX_CLOCK_SKEW {
            self.last = self.last.max(remote);
        }
        self.stamp(wall_us)
    }
}
