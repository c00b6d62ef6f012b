//! Settings of admission.

use std::time::Duration;

use super::LimitConfig;

/// Settings of [`Admission`](crate::Admission) and of the admission baselines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Most streams inside the engine.
    pub max_places: u32,
    /// Fewest streams that the limit allows inside the engine.
    pub min_places: u32,
    /// Time between tokens that the limit keeps to.
    pub target_token_gap: Duration,
    /// Ratio of the time between tokens to its lowest level that counts as saturation.
    pub gap_tolerance: f64,
    /// The same for batch when the online tail comes first: batch stops adding streams there.
    pub batch_tolerance_min: f64,
    /// The same for batch when batch throughput comes first.
    pub batch_tolerance_max: f64,
    /// Fewest places that batch leaves free for online requests.
    pub online_reserve_min: u32,
    /// Most places that batch leaves free for online requests.
    pub online_reserve_max: u32,
    /// Share of the places that long online work may hold.
    pub long_share: f64,
    /// Work, in output tokens, from which an online request counts as long.
    pub long_work: u32,
    /// Work, in output tokens, by which one second of waiting advances an online request.
    pub ageing: f64,
    /// Balance between the classes: 0.0 puts the online tail first, 1.0 batch throughput.
    pub batch_weight: f64,
    /// Batch streams whose prompt may be processed at the same time. Prompts of batch delay the first
    /// token of online requests. Endpoints that report no first token need a high value.
    pub max_starting_batch: u32,
    /// The same while online work is absent.
    pub max_starting_batch_idle: u32,
    /// Time without online work after which batch uses every place.
    pub online_idle_after: Duration,
    /// Online requests that may wait.
    pub max_queued_online: u32,
    /// Batch items that may wait.
    pub max_queued_batch: u32,
}

impl AdmissionConfig {
    pub(crate) const fn limit(&self) -> LimitConfig {
        LimitConfig {
            min_places: self.min_places,
            max_places: self.max_places,
            target_token_gap: self.target_token_gap,
            gap_tolerance: self.gap_tolerance,
        }
    }

    /// Returns the settings of the lower limit that batch keeps to.
    pub(crate) fn batch_limit(&self) -> LimitConfig {
        let weight = self.batch_weight.clamp(0.0, 1.0);
        let range = self.batch_tolerance_max - self.batch_tolerance_min;
        LimitConfig { gap_tolerance: self.batch_tolerance_min + range * weight, ..self.limit() }
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_places: 64,
            min_places: 16,
            // 95 in 100 gaps between tokens are to stay within 71 ms; the mean is kept below that.
            target_token_gap: Duration::from_millis(60),
            gap_tolerance: 2.0,
            batch_tolerance_min: 1.02,
            batch_tolerance_max: 1.1,
            online_reserve_min: 0,
            online_reserve_max: 8,
            long_share: 0.25,
            long_work: 1_000,
            ageing: 200.0,
            batch_weight: 0.5,
            max_starting_batch: 1,
            max_starting_batch_idle: 8,
            online_idle_after: Duration::from_secs(5),
            max_queued_online: 1_024,
            max_queued_batch: 64,
        }
    }
}
