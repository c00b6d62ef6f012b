//! Limit of the log lines about what another writer writes.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of lines in one period.
const MAX_LINES: u32 = 100;

/// Period in which the number of lines is limited.
const LINE_PERIOD: Duration = Duration::from_secs(600);

/// Limit of log lines over time.
///
/// # Examples
///
/// ```
/// use dogwoodtray_platform::LineLimit;
///
/// let mut limit = LineLimit::default();
/// let lines = (0..1_000).filter(|_| limit.allows_line()).count();
/// assert_eq!(lines, 100);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LineLimit {
    period_start: Option<Instant>,
    lines: u32,
}

impl LineLimit {
    /// Counts a line and returns `true`, unless the limit of the period is reached.
    pub fn allows_line(&mut self) -> bool {
        let now = Instant::now();
        if self.period_start.is_none_or(|start| now - start >= LINE_PERIOD) {
            (self.period_start, self.lines) = (Some(now), 0);
        }
        let allows = self.lines < MAX_LINES;
        self.lines += u32::from(allows);
        allows
    }
}
