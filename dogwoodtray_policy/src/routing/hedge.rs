//! Hedging of online requests whose first token is late.

use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;

/// Ratio between the upper bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.1;
/// Upper bound of the first bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of buckets; the last one starts at about 190 s.
const BUCKETS: usize = 128;

/// Settings of a [`HedgePolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Share of the requests that may be hedged.
    pub budget: f64,
    /// Maximum number of unused hedges that are kept.
    pub max_saved_hedges: f64,
    /// Quantile of the time to first token after which a request is hedged.
    pub quantile: f64,
    /// Minimum number of observations for a usable quantile.
    pub min_samples: u32,
    /// Number of observations after which the weight of older ones is halved.
    pub half_life_samples: u32,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            budget: 0.03,
            max_saved_hedges: 10.0,
            quantile: 0.99,
            min_samples: 50,
            half_life_samples: 1_000,
        }
    }
}

/// Decides when an idempotent online request is sent to a second endpoint.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::Name;
/// use dogwoodtray_policy::{HedgeConfig, HedgePolicy};
///
/// let mut hedge = HedgePolicy::new(HedgeConfig::default());
/// let model: Name = Arc::from("m");
/// assert_eq!(hedge.hedge_delay(&model), None);
/// for _ in 0..100 {
///     hedge.record_request();
///     hedge.record_first_token(&model, Duration::from_millis(100));
/// }
/// let delay = hedge.hedge_delay(&model).unwrap();
/// assert!(delay >= Duration::from_millis(100) && delay < Duration::from_millis(111));
/// // A budget of 3% allows three hedges for a hundred requests.
/// assert_eq!((0..5).filter(|_| hedge.try_consume_budget()).count(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    cfg: HedgeConfig,
    available_hedges: f64,
    models: HashMap<Name, Histogram>,
}

impl HedgePolicy {
    /// Creates a policy without observations and with an empty budget.
    #[must_use]
    pub fn new(cfg: HedgeConfig) -> Self {
        Self { cfg, available_hedges: 0.0, models: HashMap::new() }
    }

    /// Records the first attempt of a request. Must not be called for hedges.
    pub fn record_request(&mut self) {
        self.available_hedges =
            (self.available_hedges + self.cfg.budget).min(self.cfg.max_saved_hedges);
    }

    /// Records the time from sending a request to its first token.
    pub fn record_first_token(&mut self, model: &Name, took: Duration) {
        if let Some(histogram) = self.models.get_mut(model) {
            histogram.add(took, self.cfg.half_life_samples);
            return;
        }
        let mut histogram = Histogram::default();
        histogram.add(took, self.cfg.half_life_samples);
        self.models.insert(model.clone(), histogram);
    }

    /// Returns the time without a first token after which a request should be hedged, or `None` if
    /// there are too few observations.
    #[must_use]
    pub fn hedge_delay(&self, model: &Name) -> Option<Duration> {
        let histogram = self.models.get(model)?;
        if histogram.total < self.cfg.min_samples {
            return None;
        }
        Some(histogram.quantile(self.cfg.quantile))
    }

    /// Takes one hedge from the budget. Returns `false` if the budget is exhausted.
    pub fn try_consume_budget(&mut self) -> bool {
        // The budget is a sum of floating-point shares, so a full hedge may be slightly below 1.0.
        const ROUNDING_TOLERANCE: f64 = 1e-6;
        if self.available_hedges + ROUNDING_TOLERANCE < 1.0 {
            return false;
        }
        self.available_hedges -= 1.0;
        true
    }

    /// Returns a hedge to the budget that was consumed and not run.
    pub fn give_back(&mut self) {
        self.available_hedges = (self.available_hedges + 1.0).min(self.cfg.max_saved_hedges);
    }
}

/// Histogram of durations in buckets of exponentially increasing width.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    fn add(&mut self, sample: Duration, half_life: u32) {
        let ratio = sample.as_secs_f64() / FIRST_BUCKET_SECONDS;
        let bucket =
            if ratio <= 1.0 { 0 } else { (ratio.ln() / BUCKET_RATIO.ln()).ceil() as usize };
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= half_life.saturating_mul(2) {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// Returns the upper bound of the bucket that contains the quantile.
    fn quantile(&self, quantile: f64) -> Duration {
        let target_count = (f64::from(self.total) * quantile).ceil();
        let mut cumulative = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += f64::from(*count);
            if cumulative >= target_count {
                return bucket_upper_bound(bucket);
            }
        }
        bucket_upper_bound(BUCKETS - 1)
    }
}

/// Returns the upper bound of a bucket.
fn bucket_upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BUCKET_SECONDS * BUCKET_RATIO.powi(bucket as i32))
}
