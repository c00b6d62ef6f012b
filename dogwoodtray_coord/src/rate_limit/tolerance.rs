use std::time::Duration;

use super::RateLimit;

/// Part of the slack with which a bucket starts. Together with the part of gateways without a
/// driver, the slack covers two takeovers in a window, such as a restart of the driver.
const START_PART: f64 = 0.25;

/// Part of the slack for all gateways that reach no driver.
const LOCAL_SLACK_PART: f64 = 0.25;

/// Part of the overrun for all gateways that reach no driver. The rest covers the time in which two
/// drivers count the same gateways.
const LOCAL_OVERRUN_PART: f64 = 0.1;

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

impl LimitTolerance {
    /// Returns the number of requests that may run in a window.
    #[must_use]
    pub fn bound(&self, limit: RateLimit) -> f64 {
        self.regular(limit) * (1.0 + self.overrun) + self.slack
    }

    /// Returns the number of tokens with which a process that begins to assign places starts a
    /// bucket.
    #[must_use]
    pub fn start_level(&self, limit: RateLimit) -> f64 {
        (self.slack * START_PART).min(limit.burst)
    }

    /// Returns the number of requests that all gateways without a driver may run in a window.
    #[must_use]
    pub fn local_part(&self, limit: RateLimit) -> f64 {
        self.regular(limit) * self.overrun * LOCAL_OVERRUN_PART + self.slack * LOCAL_SLACK_PART
    }

    /// Returns the limit of an organization that the configuration does not name. The slack covers it
    /// whatever its limit is in a newer configuration.
    #[must_use]
    pub fn unknown_limit(&self) -> RateLimit {
        let rate_per_s = self.slack * 0.5 / self.window.as_secs_f64().max(1.0);
        RateLimit { rate_per_s, burst: self.slack * START_PART }
    }

    fn regular(&self, limit: RateLimit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.1, slack: 0.0 }
    }
}
