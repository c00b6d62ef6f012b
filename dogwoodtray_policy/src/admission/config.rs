//! Settings of admission control.

use std::time::Duration;

use super::LimitConfig;

/// Settings of [`Admission`](crate::Admission) and of the admission baselines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Upper bound of the number of streams inside the engine.
    pub max_places: u32,
    /// Lower bound of the adaptive limit on streams inside the engine.
    pub min_places: u32,
    /// Target of the mean time between tokens of a stream.
    pub target_token_gap: Duration,
    /// Ratio of the time between tokens to its baseline above which the engine is saturated.
    pub gap_tolerance: f64,
    /// Ratio above which batch adds no streams when `batch_weight` is 0.0.
    pub batch_tolerance_min: f64,
    /// Ratio above which batch adds no streams when `batch_weight` is 1.0.
    pub batch_tolerance_max: f64,
    /// Lower bound of the places that batch leaves free for online requests.
    pub online_reserve_min: u32,
    /// Upper bound of the places that batch leaves free for online requests.
    pub online_reserve_max: u32,
    /// Share of the places that long online requests may occupy.
    pub long_share: f64,
    /// Work, in output tokens, from which an online request is treated as long.
    pub long_work_tokens: u32,
    /// Aging of queued online requests, in output tokens of work per second of waiting.
    pub aging_rate: f64,
    /// Balance between the classes: 0.0 favors online tail latency, 1.0 batch throughput.
    pub batch_weight: f64,
    /// Batch streams that may prefill at the same time, as their prompts delay the first token of
    /// online requests. Endpoints that do not report the first token need a high value.
    pub max_batch_prefills: u32,
    /// Batch streams that may prefill at the same time while there is no online work.
    pub max_batch_prefills_idle: u32,
    /// Time without online work after which batch may also use places kept for online requests.
    pub online_idle_after: Duration,
    /// Capacity of the queue of online requests.
    pub max_queued_online: u32,
    /// Capacity of the queue of batch items.
    pub max_queued_batch: u32,
}

impl AdmissionConfig {
    /// Returns the settings of the limit on all streams.
    pub(crate) const fn limit(&self) -> LimitConfig {
        LimitConfig {
            min_places: self.min_places,
            max_places: self.max_places,
            target_token_gap: self.target_token_gap,
            gap_tolerance: self.gap_tolerance,
        }
    }

    /// Returns the settings of the lower limit that applies to batch.
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
            // The objective is a 95th percentile of 71 ms; the mean has to stay below that.
            target_token_gap: Duration::from_millis(60),
            gap_tolerance: 2.0,
            batch_tolerance_min: 1.02,
            batch_tolerance_max: 1.1,
            online_reserve_min: 0,
            online_reserve_max: 8,
            long_share: 0.25,
            long_work_tokens: 1_000,
            aging_rate: 200.0,
            batch_weight: 0.5,
            max_batch_prefills: 1,
            max_batch_prefills_idle: 8,
            online_idle_after: Duration::from_secs(5),
            max_queued_online: 1_024,
            max_queued_batch: 64,
        }
    }
}
