//! State that the router keeps for one endpoint.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use crate::Class;

/// Weight of a new observation in the moving average of the token gap.
const GAP_WEIGHT: f64 = 0.2;
/// Age above which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Timestamp,
    free_online: u32,
    queued_online: u32,
    /// Number of online requests that this router has sent since the report.
    sent_since: u32,
}

/// Availability, load and speed of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) models: Vec<Name>,
    pub(super) available: bool,
    pub(super) suspects: u32,
    pub(super) last_probe: Timestamp,
    online: u32,
    batch: u32,
    mean_gap: Option<f64>,
    last_gap_at: Timestamp,
    report: Option<Report>,
}

impl Endpoint {
    pub(super) fn new(models: &[Name]) -> Self {
        Self {
            models: models.to_vec(),
            available: true,
            suspects: 0,
            last_probe: Timestamp::ZERO,
            online: 0,
            batch: 0,
            mean_gap: None,
            last_gap_at: Timestamp::ZERO,
            report: None,
        }
    }

    pub(super) fn serves(&self, model: &Name) -> bool {
        self.models.contains(model)
    }

    pub(super) fn record_sent(&mut self, class: Class) {
        match class {
            Class::Online => {
                self.online += 1;
                if let Some(report) = &mut self.report {
                    report.sent_since += 1;
                }
            }
            Class::Batch => self.batch += 1,
        }
    }

    pub(super) fn record_finished(&mut self, class: Class) {
        let counter = match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *counter = counter.saturating_sub(1);
    }

    pub(super) fn record_token_gap(&mut self, now: Timestamp, gap: Duration) {
        self.last_gap_at = now;
        let gap = gap.as_secs_f64();
        let previous = self.mean_gap.unwrap_or(gap);
        self.mean_gap = Some(previous + (gap - previous) * GAP_WEIGHT);
    }

    pub(super) fn record_report(&mut self, at: Timestamp, free_online: u32, queued_online: u32) {
        self.report = Some(Report { at, free_online, queued_online, sent_since: 0 });
    }

    /// Returns the time since the last probe or token, whichever was later.
    pub(super) fn time_unobserved(&self, now: Timestamp) -> Duration {
        now - self.last_gap_at.max(self.last_probe)
    }

    /// Returns the mean time per token, if any was observed.
    pub(super) const fn mean_gap(&self) -> Option<f64> {
        self.mean_gap
    }

    /// Returns the load in requests: those sent by this router, plus the reported queue if recent.
    pub(super) fn load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.online) + f64::from(self.batch) * 0.1;
        let Some(report) = self.report.filter(|report| now - report.at <= REPORT_TTL) else {
            return own;
        };
        let excess = report.sent_since.saturating_sub(report.free_online);
        own + f64::from(report.queued_online + excess)
    }
}
