//! Limit of the number of streams inside an engine.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

/// Time over which the observed gaps are collected before the limit changes.
const WINDOW: Duration = Duration::from_millis(250);
/// Most gaps kept in a window; the rest of a window adds nothing to the quartile.
const MAX_SAMPLES: usize = 1_024;
/// Fewest gaps that make a usable quartile.
const MIN_SAMPLES: usize = 8;
/// Largest decrease in one window.
const MAX_DECREASE: f64 = 0.8;
/// Smallest decrease in one window, so that a slight excess is corrected too.
const MIN_DECREASE: f64 = 0.98;
/// Growth in one window until the limit shrinks for the first time, so that a new agent soon offers
/// what its engine can do.
const START_GROWTH: f64 = 0.2;
/// Share of the places in use from which slow tokens are put down to the number of streams. Below
/// it, long prompts or a slow engine are the cause, and a lower limit would not help.
const IN_USE_SHARE: f64 = 0.8;
/// Weight of a new quartile in the lowest level while the limit is at its minimum. The level is only
/// raised there: under a constant load, a level that follows the quartile would follow the limit up.
const BASE_RISE: f64 = 0.1;

/// Settings of an [`AdaptiveLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitConfig {
    /// Lowest limit.
    pub min_places: u32,
    /// Highest limit.
    pub max_places: u32,
    /// Time between tokens that counts as saturation, whatever the lowest level is.
    pub target_token_gap: Duration,
    /// Ratio of the time between tokens to its lowest level that counts as saturation.
    pub gap_tolerance: f64,
}

/// Keeps the number of streams inside an engine below its saturation knee.
///
/// The limit grows by one place per window while it is in use and the time between tokens is
/// short, and shrinks in proportion to the excess otherwise.
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
/// // The limit has grown by two places and lost one again.
/// assert_eq!(limit.places(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: LimitConfig,
    places: f64,
    base_gap: Option<f64>,
    window_start: Timestamp,
    gaps: Vec<f64>,
    peak_inside: u32,
    has_shrunk: bool,
}

impl AdaptiveLimit {
    /// Creates a limit at its lowest value. A higher start would take the gap of a saturated engine
    /// for the lowest one.
    #[must_use]
    pub fn new(cfg: LimitConfig) -> Self {
        debug_assert!(cfg.min_places >= 1, "a limit of zero would stop the endpoint");
        debug_assert!(cfg.min_places <= cfg.max_places, "limits are out of order");
        Self {
            cfg,
            places: f64::from(cfg.min_places),
            base_gap: None,
            window_start: Timestamp::ZERO,
            gaps: Vec::with_capacity(MAX_SAMPLES),
            peak_inside: 0,
            has_shrunk: false,
        }
    }

    /// Returns the number of streams allowed inside the engine.
    #[must_use]
    pub fn places(&self) -> u32 {
        self.places as u32
    }

    /// Sets the ratio of the time between tokens to its lowest level that counts as saturation.
    pub fn set_tolerance(&mut self, gap_tolerance: f64) {
        self.cfg.gap_tolerance = gap_tolerance;
    }

    /// Takes the time between two tokens of one stream.
    pub fn observe_gap(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_SAMPLES {
            self.gaps.push(gap.as_secs_f64());
        }
    }

    /// Adjusts the limit at the end of each window. `inside` is the number of streams now inside.
    pub fn update(&mut self, now: Timestamp, inside: u32) {
        self.peak_inside = self.peak_inside.max(inside);
        if now - self.window_start < WINDOW || self.gaps.len() < MIN_SAMPLES {
            return;
        }
        let quarter = self.gaps.len() / 4;
        let typical = *self.gaps.select_nth_unstable_by(quarter, f64::total_cmp).1;
        let base = self.next_base(typical);
        self.base_gap = Some(base);
        self.adjust(typical, base);
        self.window_start = now;
        self.gaps.clear();
        self.peak_inside = inside;
    }

    fn next_base(&self, typical: f64) -> f64 {
        let Some(base) = self.base_gap else { return typical };
        if typical > base && self.places() <= self.cfg.min_places {
            return base + (typical - base) * BASE_RISE;
        }
        typical.min(base)
    }

    fn adjust(&mut self, typical: f64, base: f64) {
        let bound = (base * self.cfg.gap_tolerance).min(self.cfg.target_token_gap.as_secs_f64());
        let in_use = f64::from(self.peak_inside) >= self.places * IN_USE_SHARE;
        if typical > bound {
            if !in_use {
                return;
            }
            self.has_shrunk = true;
            self.places *= (bound / typical).clamp(MAX_DECREASE, MIN_DECREASE);
        } else if self.peak_inside + 1 >= self.places() {
            let step = if self.has_shrunk { 1.0 } else { self.places * START_GROWTH };
            self.places += step.max(1.0);
        }
        let min = f64::from(self.cfg.min_places);
        self.places = self.places.clamp(min, f64::from(self.cfg.max_places));
    }
}
