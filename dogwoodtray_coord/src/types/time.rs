//! Timestamps for the state machines.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Time in microseconds since an arbitrary start, monotonic within one process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dogwoodtray_coord::Timestamp;
///
/// let start = Timestamp::ZERO;
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later - start, Duration::from_millis(2));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Arbitrary start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the timestamp `by` before this one, saturating at [`Timestamp::ZERO`].
    #[must_use]
    pub fn saturating_sub(self, by: Duration) -> Self {
        let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the microseconds since the start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Subtraction saturates at zero, because events may contain a slightly older timestamp.
impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
