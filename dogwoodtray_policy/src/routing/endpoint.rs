//! What a router knows about one endpoint.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use crate::Class;

/// Weight of a new reading in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Age from which a load report says nothing any more.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Timestamp,
    free_online: u32,
    queued_online: u32,
    /// Online work sent from here since the report.
    sent_since: u32,
}

/// One endpoint as the router sees it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) models: Vec<Name>,
    pub(super) available: bool,
    pub(super) suspects: u32,
    pub(super) last_probe: Timestamp,
    online: u32,
    batch: u32,
    gap: Option<f64>,
    gap_at: Timestamp,
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
            gap: None,
            gap_at: Timestamp::ZERO,
            report: None,
        }
    }

    pub(super) fn serves(&self, model: &Name) -> bool {
        self.models.contains(model)
    }

    pub(super) fn sent(&mut self, class: Class) {
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

    pub(super) fn finished(&mut self, class: Class) {
        let counter = match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *counter = counter.saturating_sub(1);
    }

    pub(super) fn token_gap(&mut self, now: Timestamp, gap: Duration) {
        self.gap_at = now;
        let gap = gap.as_secs_f64();
        let old = self.gap.unwrap_or(gap);
        self.gap = Some(old + (gap - old) * AVERAGE_WEIGHT);
    }

    pub(super) fn report(&mut self, at: Timestamp, free_online: u32, queued_online: u32) {
        self.report = Some(Report { at, free_online, queued_online, sent_since: 0 });
    }

    /// Returns the time since the last probe or token, whichever is later.
    pub(super) fn unobserved(&self, now: Timestamp) -> Duration {
        now - self.gap_at.max(self.last_probe)
    }

    /// Returns the mean time per token, if known.
    pub(super) const fn gap(&self) -> Option<f64> {
        self.gap
    }

    /// Returns the number of requests to reckon with: own ones, and the reported queue if recent.
    pub(super) fn load(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.online) + f64::from(self.batch) * 0.1;
        let Some(report) = self.report.filter(|report| now - report.at <= REPORT_TTL) else {
            return own;
        };
        let excess = report.sent_since.saturating_sub(report.free_online);
        own + f64::from(report.queued_online + excess)
    }
}
