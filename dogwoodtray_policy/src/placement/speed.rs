//! Speed of endpoints in comparison with the others of their service.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::cost::Slope;

/// Bounds of a speed; 1 is usual.
const MIN_SPEED: f64 = 0.2;
pub(super) const MAX_SPEED: f64 = 5.0;

/// Logarithm of the speed from which an endpoint is regarded as faster or slower than usual (15%), and
/// below which it is regarded as usual again.
const DEAD_BAND: f64 = 0.14;
const RETURN_BAND: f64 = 0.07;

/// Standard errors by which the logarithm of a speed must differ from 0.
const SIGNIFICANCE: f64 = 3.0;

/// Samples that a speed rests on at least, and at most, so that it follows changes.
const MIN_SAMPLES: f64 = 4.0;
const MAX_SAMPLES: f64 = 24.0;

/// Samples that a speed counts as after its endpoint failed or when another dispatcher learned it.
const DOUBTED_SAMPLES: f64 = 4.0;
const ADOPTED_SAMPLES: f64 = 12.0;

/// Maximum logarithm of one ratio; stragglers are more frequent than endpoints outside of it.
const MAX_DEVIATION: f64 = 1.6;

/// Variance of the ratios of one endpoint before the first observation.
const INITIAL_VARIANCE: f64 = 0.16;

/// Weights of a new observation in the moving averages of the service.
const MEAN_WEIGHT: f64 = 0.01;
const VARIANCE_WEIGHT: f64 = 0.02;

/// Half-life of the deviation of an endpoint that answers nothing. A slow endpoint that gets no
/// requests is tried again in this way.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(20);

/// Time without an answer after which an endpoint counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(3);

/// Time after the last report of a slow stream during which its endpoint is regarded as slow; longer
/// if it was regarded as slow before the report. Reports are repeated every 200 ms.
const SLOW_TIME: Duration = Duration::from_millis(300);
const REPEATED_SLOW_TIME: Duration = Duration::from_millis(450);

/// Levels by which an endpoint with slow streams is assumed to be slower; a factor of 2.5.
const SLOW_LEVELS: f32 = 6.5;

/// What the runs of all endpoints of a service have in common.
#[derive(Debug)]
pub(super) struct ServiceSpeed {
    /// Mean logarithm of the ratio of observed to predicted time.
    mean: f64,
    samples: f64,
    /// Variance of the ratios of one endpoint around its mean.
    variance: f64,
    /// Dependence of the ratio on the share of the endpoint's places that are in use.
    by_occupancy: Slope,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self { mean: 0.0, samples: 0.0, variance: INITIAL_VARIANCE, by_occupancy: Slope::new(0.0) }
    }
}

impl ServiceSpeed {
    /// Returns the levels by which an endpoint is slower when all of its places are in use.
    pub(super) fn occupancy_levels(&self) -> f32 {
        (self.by_occupancy.slope() / DEAD_BAND) as f32
    }

    /// Records the ratio of observed to predicted time of an answered run. Returns its logarithm in
    /// comparison with the other runs.
    fn observe(&mut self, ratio: f64, occupancy: f64, endpoint: f64) -> f64 {
        let log = ratio.ln();
        let deviation = (log - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.samples = (self.samples + 1.0).min(1.0 / MEAN_WEIGHT);
        self.mean += (log - self.mean) / self.samples;
        let by_occupancy = self.by_occupancy.factor(Some(occupancy)).ln();
        self.by_occupancy.observe(Some(occupancy), deviation - endpoint);
        deviation - by_occupancy
    }
}

/// Speed of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointSpeed {
    /// Mean logarithm of the ratio of observed to predicted time, in comparison with the service.
    deviation: f64,
    samples: f64,
    answered_at: Timestamp,
    /// Speed that placement assumes; 1 unless the deviation is evident.
    speed: f64,
    /// Its logarithm in steps of the dead band.
    level: f32,
    slow_until: Timestamp,
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self {
            deviation: 0.0,
            samples: 0.0,
            answered_at: Timestamp::ZERO,
            speed: 1.0,
            level: 0.0,
            slow_until: Timestamp::ZERO,
        }
    }
}

impl EndpointSpeed {
    /// Returns the lasting speed.
    pub(super) const fn lasting(&self) -> f64 {
        self.speed
    }

    /// Returns the logarithm of the lasting speed in steps of the dead band.
    pub(super) const fn lasting_level(&self) -> f32 {
        self.level
    }

    /// Returns the logarithm of the speed, including brief slowness, in steps of the dead band.
    pub(super) fn current_level(&self, now: Timestamp) -> f32 {
        if self.is_briefly_slow(now) { self.level - SLOW_LEVELS } else { self.level }
    }

    pub(super) const fn is_uneven(&self) -> bool {
        self.speed != 1.0
    }

    pub(super) fn is_briefly_slow(&self, now: Timestamp) -> bool {
        now < self.slow_until
    }

    pub(super) const fn slow_until(&self) -> Timestamp {
        self.slow_until
    }

    /// Records the ratio of observed to predicted time of an answered run.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        ratio: f64,
        occupancy: f64,
        service: &mut ServiceSpeed,
    ) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let deviation = service.observe(ratio, occupancy, self.deviation);
        self.answered_at = now;
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let difference = deviation - self.deviation;
        self.deviation += difference / self.samples;
        if self.samples >= MIN_SAMPLES {
            let square = difference * difference;
            service.variance += VARIANCE_WEIGHT * (square - service.variance);
        }
        self.update(service);
    }

    /// Reduces the deviation of an endpoint that has answered nothing for some time.
    pub(super) fn fade(&mut self, now: Timestamp, elapsed: Duration) {
        if now - self.answered_at < IDLE_AFTER {
            return;
        }
        let half_lives = elapsed.as_secs_f64() / IDLE_HALF_LIFE.as_secs_f64();
        self.deviation *= 0.5_f64.powf(half_lives);
        self.set_speed(self.deviation.abs() >= RETURN_BAND && self.is_uneven());
    }

    /// Records that the endpoint failed. It may be another one after a restart.
    pub(super) fn doubt(&mut self) {
        self.samples = self.samples.min(DOUBTED_SAMPLES);
    }

    /// Records that the events of a stream are later than usual.
    pub(super) fn record_slow_stream(&mut self, now: Timestamp) {
        let time = if self.is_briefly_slow(now) { REPEATED_SLOW_TIME } else { SLOW_TIME };
        self.slow_until = self.slow_until.max(now + time);
    }

    /// Forgets the lasting speed.
    pub(super) fn reset(&mut self) {
        *self = Self { slow_until: self.slow_until, ..Self::default() };
    }

    /// Takes over a speed that another dispatcher learned.
    pub(super) fn adopt(&mut self, now: Timestamp, speed: f64) {
        if !speed.is_finite() || speed <= 0.0 {
            return;
        }
        self.deviation = -speed.clamp(MIN_SPEED, MAX_SPEED).ln();
        self.samples = ADOPTED_SAMPLES;
        self.answered_at = now;
        self.set_speed(self.deviation.abs() >= RETURN_BAND);
    }

    /// Regards the endpoint as uneven from the dead band on, and as usual again well within it.
    fn update(&mut self, service: &ServiceSpeed) {
        let error = (service.variance / self.samples).sqrt();
        let distance = self.deviation.abs();
        let is_evident = self.samples >= MIN_SAMPLES
            && distance >= DEAD_BAND
            && distance >= SIGNIFICANCE * error;
        self.set_speed(is_evident || self.is_uneven() && distance >= RETURN_BAND);
    }

    fn set_speed(&mut self, is_uneven: bool) {
        self.speed =
            if is_uneven { (-self.deviation).exp().clamp(MIN_SPEED, MAX_SPEED) } else { 1.0 };
        self.level = level_of(self.speed);
    }
}

/// Returns the logarithm of a speed in steps of the dead band.
pub(super) fn level_of(speed: f64) -> f32 {
    (speed.clamp(MIN_SPEED, MAX_SPEED).ln() / DEAD_BAND) as f32
}
