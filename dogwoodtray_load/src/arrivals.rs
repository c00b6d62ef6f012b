//! Arrival times.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;

use crate::LoadError;

/// When requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Independent arrivals at a constant mean rate.
    Poisson {
        /// Mean rate.
        per_second: f64,
    },
    /// Independent arrivals whose mean rate jumps up at regular times.
    Burst {
        /// Mean rate between bursts.
        per_second: f64,
        /// Mean rate in a burst.
        burst_per_second: f64,
        /// Time from the start of a burst to the start of the next. The first burst comes after
        /// one period.
        every: Duration,
        /// Duration of a burst.
        length: Duration,
    },
}

impl Arrivals {
    /// Creates arrivals at a constant mean rate.
    #[must_use]
    pub const fn poisson(per_second: f64) -> Self {
        Self::Poisson { per_second }
    }

    /// Draws the arrival times up to an end, but at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Returns an error for a rate that is not positive and finite.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodtray_load::Arrivals;
    ///
    /// let times = Arrivals::poisson(100.0).times(Duration::from_secs(10), 5_000, 1).unwrap();
    /// assert!((800..1_200).contains(&times.len()));
    /// ```
    pub fn times(
        &self,
        end: Duration,
        limit: usize,
        seed: u64,
    ) -> Result<Vec<Duration>, LoadError> {
        self.draw(end, limit, &mut StdRng::seed_from_u64(seed))
    }

    pub(crate) fn draw(
        &self,
        end: Duration,
        limit: usize,
        rng: &mut StdRng,
    ) -> Result<Vec<Duration>, LoadError> {
        let peak = self.peak();
        let bad_rate = || LoadError::Config(format!("rate {peak} is not positive and finite"));
        if !peak.is_finite() || peak <= 0.0 {
            return Err(bad_rate());
        }
        let gaps = Exp::new(peak).map_err(|_| bad_rate())?;
        let mut times = Vec::new();
        let mut at = gaps.sample(rng);
        while at < end.as_secs_f64() && times.len() < limit {
            // Thinning: candidates come at the peak rate and stay with the share of the rate.
            if rng.random::<f64>() * peak < self.rate(at) {
                times.push(Duration::from_secs_f64(at));
            }
            at += gaps.sample(rng);
        }
        Ok(times)
    }

    fn peak(&self) -> f64 {
        match *self {
            Self::Poisson { per_second } => per_second,
            Self::Burst { per_second, burst_per_second, .. } => per_second.max(burst_per_second),
        }
    }

    fn rate(&self, at: f64) -> f64 {
        match *self {
            Self::Poisson { per_second } => per_second,
            Self::Burst { per_second, burst_per_second, every, length } => {
                let every = every.as_secs_f64();
                let in_burst = at >= every && at % every < length.as_secs_f64();
                if in_burst { burst_per_second } else { per_second }
            }
        }
    }
}
