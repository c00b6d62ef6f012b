//! Adaptive limit on the number of streams inside an engine.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

/// Minimum time between two adjustments of the limit, over which gaps are collected.
const WINDOW: Duration = Duration::from_millis(250);
/// Maximum number of gaps kept per window; more would not make the quartile more accurate.
const MAX_SAMPLES: usize = 1_024;
/// Minimum number of gaps for a usable quartile.
const MIN_SAMPLES: usize = 8;
/// Factor of the largest decrease in one window.
const MAX_DECREASE_FACTOR: f64 = 0.8;
/// Factor of the smallest decrease in one window, so that a slight excess is corrected too.
const MIN_DECREASE_FACTOR: f64 = 0.98;
/// Relative growth per window until the first decrease, so that a new agent quickly reaches the
/// capacity of its engine.
const INITIAL_GROWTH: f64 = 0.2;
/// Share of the places that must be in use for slow tokens to reduce the limit. Below it, the cause
/// is long prompts or a slow engine, and a lower limit would not help.
const IN_USE_SHARE: f64 = 0.8;
/// Weight of a new quartile when the baseline is raised, which happens only while the limit is at
/// its minimum. Otherwise, under constant load, the baseline would rise together with the limit.
const BASELINE_RISE_WEIGHT: f64 = 0.1;

/// Settings of an [`AdaptiveLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitConfig {
    /// Lower bound of the limit.
    pub min_places: u32,
    /// Upper bound of the limit.
    pub max_places: u32,
    /// Time between tokens above which the engine is saturated, regardless of the baseline.
    pub target_token_gap: Duration,
    /// Ratio of the time between tokens to its baseline above which the engine is saturated.
    pub gap_tolerance: f64,
}

/// A limit that keeps the number of streams inside an engine below its saturation knee.
///
/// The limit grows by one place per window while it is fully used and the time between tokens is
/// below the bound, and shrinks in proportion to the excess while the time is above the bound.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::{AdaptiveLimit, AdmissionConfig, LimitConfig};
///
/// let cfg = LimitConfig {
///     min_places: 2,
///     max_places: 16,
///     target_token_gap: Duration::from_millis(50),
///     gap_tolerance: 1.5,
/// };
/// let mut limit = AdaptiveLimit::new(cfg);
/// assert_eq!(limit.places(), 2);
/// for (window, gap_ms) in [(1, 20), (2, 20), (3, 90)] {
///     for _ in 0..10 {
///         limit.observe_gap(Duration::from_millis(gap_ms));
///     }
///     let inside = limit.places();
///     limit.update(Timestamp(window * 1_000_000), inside);
/// }
/// // The limit grew by two places and then shrank by one.
/// assert_eq!(limit.places(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: LimitConfig,
    places: f64,
    baseline_gap: Option<f64>,
    window_start: Timestamp,
    gaps: Vec<f64>,
    peak_inside: u32,
    has_decreased: bool,
}

impl AdaptiveLimit {
    /// Creates a limit at its lower bound. From a higher start, the gap of a saturated engine could
    /// become the baseline.
    #[must_use]
    pub fn new(cfg: LimitConfig) -> Self {
        debug_assert!(cfg.min_places >= 1, "min_places must be at least 1");
        debug_assert!(cfg.min_places <= cfg.max_places, "min_places exceeds max_places");
        Self {
            cfg,
            places: f64::from(cfg.min_places),
            baseline_gap: None,
            window_start: Timestamp::ZERO,
            gaps: Vec::with_capacity(MAX_SAMPLES),
            peak_inside: 0,
            has_decreased: false,
        }
    }

    /// Returns the number of streams allowed inside the engine.
    #[must_use]
    pub fn places(&self) -> u32 {
        self.places as u32
    }

    /// Sets the ratio of the time between tokens to its baseline that counts as saturation.
    pub fn set_gap_tolerance(&mut self, gap_tolerance: f64) {
        self.cfg.gap_tolerance = gap_tolerance;
    }

    /// Records the time between two tokens of one stream.
    pub fn observe_gap(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_SAMPLES {
            self.gaps.push(gap.as_secs_f64());
        }
    }

    /// Adjusts the limit at the end of each window. `inside` is the current number of streams.
    pub fn update(&mut self, now: Timestamp, inside: u32) {
        self.peak_inside = self.peak_inside.max(inside);
        if now - self.window_start < WINDOW || self.gaps.len() < MIN_SAMPLES {
            return;
        }
        let index = self.gaps.len() / 4;
        let lower_quartile = *self.gaps.select_nth_unstable_by(index, f64::total_cmp).1;
        let baseline = self.next_baseline(lower_quartile);
        self.baseline_gap = Some(baseline);
        self.adjust(lower_quartile, baseline);
        self.window_start = now;
        self.gaps.clear();
        self.peak_inside = inside;
    }

    /// Returns the new baseline of the time between tokens.
    fn next_baseline(&self, lower_quartile: f64) -> f64 {
        let Some(baseline) = self.baseline_gap else { return lower_quartile };
        if lower_quartile > baseline && self.places() <= self.cfg.min_places {
            return baseline + (lower_quartile - baseline) * BASELINE_RISE_WEIGHT;
        }
        lower_quartile.min(baseline)
    }

    /// Grows or shrinks the limit by the time between tokens in the last window.
    fn adjust(&mut self, lower_quartile: f64, baseline: f64) {
        let max_gap =
            (baseline * self.cfg.gap_tolerance).min(self.cfg.target_token_gap.as_secs_f64());
        let in_use = f64::from(self.peak_inside) >= self.places * IN_USE_SHARE;
        if lower_quartile > max_gap {
            if !in_use {
                return;
            }
            self.has_decreased = true;
            self.places *=
                (max_gap / lower_quartile).clamp(MAX_DECREASE_FACTOR, MIN_DECREASE_FACTOR);
        } else if self.peak_inside + 1 >= self.places() {
            let increase = if self.has_decreased { 1.0 } else { self.places * INITIAL_GROWTH };
            self.places += increase.max(1.0);
        }
        let min = f64::from(self.cfg.min_places);
        self.places = self.places.clamp(min, f64::from(self.cfg.max_places));
    }
}
