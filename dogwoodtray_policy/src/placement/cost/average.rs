//! Mean that forgets old samples.

use dogwoodtray_coord::Timestamp;

/// Time constant with which samples lose weight, in seconds.
const MEMORY: f64 = 60.0;

/// Maximum number of samples that a mean counts as, so that it follows changes.
const MAX_SAMPLES: f64 = 100.0;

/// Mean of samples that lose weight with time and with further samples.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::placement) struct Average {
    mean: f64,
    samples: f64,
    observed_at: Timestamp,
}

impl Average {
    pub(in crate::placement) fn of(now: Timestamp, mean: f64, samples: f64) -> Self {
        let samples = if samples.is_finite() { samples.clamp(0.0, MAX_SAMPLES) } else { 0.0 };
        Self { mean, samples, observed_at: now }
    }

    pub(in crate::placement) fn observe(&mut self, now: Timestamp, value: f64) {
        self.merge(now, &Self { mean: value, samples: 1.0, observed_at: now });
    }

    /// Adds the samples of another mean.
    pub(in crate::placement) fn merge(&mut self, now: Timestamp, other: &Self) {
        let age = (now - self.observed_at).as_secs_f64();
        self.observed_at = now;
        let samples = self.samples * (-age / MEMORY).exp() + other.samples;
        if samples > 0.0 {
            self.mean += (other.mean - self.mean) * other.samples / samples;
        }
        self.samples = samples.min(MAX_SAMPLES);
    }

    /// Returns the mean together with `weight` samples of the value `prior`.
    pub(in crate::placement) fn shrunk_to(&self, prior: f64, weight: f64) -> f64 {
        (self.mean * self.samples + prior * weight) / (self.samples + weight)
    }

    pub(in crate::placement) const fn mean(&self) -> f64 {
        self.mean
    }

    pub(in crate::placement) const fn samples(&self) -> f64 {
        self.samples
    }

    pub(in crate::placement) const fn observed_at(&self) -> Timestamp {
        self.observed_at
    }
}
