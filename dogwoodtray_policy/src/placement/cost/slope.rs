//! Dependence of a logarithm on another quantity.

/// Factor by which older samples lose weight with each new one.
const MEMORY: f64 = 0.98;

/// Sum of squares that the initial slope counts as.
const PRIOR_WEIGHT: f64 = 2.0;

/// Maximum distance from the mean that is extrapolated.
const MAX_DISTANCE: f64 = 3.0;

/// Regression of the logarithm of a quantity on a feature.
#[derive(Clone, Copy, Debug)]
pub(in crate::placement) struct Slope {
    initial: f64,
    samples: f64,
    mean: f64,
    sum_of_squares: f64,
    sum_of_products: f64,
}

impl Slope {
    pub(in crate::placement) const fn new(initial: f64) -> Self {
        Self { initial, samples: 0.0, mean: 0.0, sum_of_squares: 0.0, sum_of_products: 0.0 }
    }

    /// Returns the learned slope, between 0 and 1.
    pub(in crate::placement) fn slope(&self) -> f64 {
        let products = self.sum_of_products + self.initial * PRIOR_WEIGHT;
        (products / (self.sum_of_squares + PRIOR_WEIGHT)).clamp(0.0, 1.0)
    }

    /// Returns the factor that a feature contributes in comparison with its mean.
    pub(in crate::placement) fn factor(&self, feature: Option<f64>) -> f64 {
        match feature {
            Some(feature) if self.samples > 0.0 => (self.slope() * self.distance(feature)).exp(),
            _ => 1.0,
        }
    }

    /// Records a feature and the logarithm of the quantity in comparison with its mean.
    pub(in crate::placement) fn observe(&mut self, feature: Option<f64>, log: f64) {
        let Some(feature) = feature else { return };
        let distance = self.distance(feature);
        self.samples = self.samples * MEMORY + 1.0;
        self.mean += (feature - self.mean) / self.samples;
        self.sum_of_squares = self.sum_of_squares * MEMORY + distance * distance;
        self.sum_of_products = self.sum_of_products * MEMORY + distance * log;
    }

    fn distance(&self, feature: f64) -> f64 {
        if self.samples > 0.0 {
            (feature - self.mean).clamp(-MAX_DISTANCE, MAX_DISTANCE)
        } else {
            0.0
        }
    }
}
