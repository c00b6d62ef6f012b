//! Arrival times.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;

use crate::LoadError;

/// Arrival process of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Independent arrivals at a constant mean rate.
    Poisson {
        /// Mean rate.
        per_second: f64,
    },
    /// Independent arrivals with a higher mean rate in periodic bursts.
    Burst {
        /// Mean rate between bursts.
        per_second: f64,
        /// Mean rate in a burst.
        burst_per_second: f64,
        /// Time between the starts of two bursts. The first burst starts after one period.
        period: Duration,
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

    /// Samples at most `limit` arrival times before `end`.
    ///
    /// # Errors
    ///
    /// Returns an error if a rate is not positive and finite.
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
        self.sample_times(end, limit, &mut StdRng::seed_from_u64(seed))
    }

    pub(crate) fn sample_times(
        &self,
        end: Duration,
        limit: usize,
        rng: &mut StdRng,
    ) -> Result<Vec<Duration>, LoadError> {
        let peak_rate = self.peak_rate();
        let invalid_rate =
            || LoadError::Config(format!("rate {peak_rate} is not positive and finite"));
        if !peak_rate.is_finite() || peak_rate <= 0.0 {
            return Err(invalid_rate());
        }
        let interarrival = Exp::new(peak_rate).map_err(|_| invalid_rate())?;
        let mut times = Vec::new();
        let mut seconds = interarrival.sample(rng);
        while seconds < end.as_secs_f64() && times.len() < limit {
            // Thinning: candidates arrive at the peak rate and are accepted with the probability
            // `rate / peak_rate`.
            if rng.random::<f64>() * peak_rate < self.rate_at(seconds) {
                times.push(Duration::from_secs_f64(seconds));
            }
            seconds += interarrival.sample(rng);
        }
        Ok(times)
    }

    fn peak_rate(&self) -> f64 {
        match *self {
            Self::Poisson { per_second } => per_second,
            Self::Burst { per_second, burst_per_second, .. } => per_second.max(burst_per_second),
        }
    }

    fn rate_at(&self, seconds: f64) -> f64 {
        match *self {
            Self::Poisson { per_second } => per_second,
            Self::Burst { per_second, burst_per_second, period, length } => {
                let period = period.as_secs_f64();
                let in_burst = seconds >= period && seconds % period < length.as_secs_f64();
                if in_burst { burst_per_second } else { per_second }
            }
        }
    }
}
