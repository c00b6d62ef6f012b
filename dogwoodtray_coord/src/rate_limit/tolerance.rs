use std::time::Duration;

/// By how much the requests that run may exceed the limit of their organization.
///
/// In any window, at most (rate x window + burst) x (1 + overrun) + slack requests run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Share of the limit.
    pub overrun: f64,
    /// Number of requests.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.1, slack: 0.0 }
    }
}
