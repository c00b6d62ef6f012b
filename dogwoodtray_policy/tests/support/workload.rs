//! Seeded random arrivals of requests.

use dogwoodtray_policy::Cost;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// An online request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: u64,
    /// Size expected by the sender.
    pub(crate) cost: Cost,
    /// Actual number of tokens of the answer.
    pub(crate) output: u32,
    pub(crate) prefix: u64,
}

/// Returns a sample of an exponential distribution.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Arrival process of one kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalProcess {
    pub(crate) per_second: f64,
    /// Share by which the rate alternates above and below the mean, every two seconds.
    pub(crate) rate_swing: f64,
    pub(crate) prompt: f64,
    pub(crate) output: f64,
    /// Share of requests whose answer is 20 times as long as expected.
    pub(crate) straggler_share: f64,
}

impl ArrivalProcess {
    /// Returns the arrivals of the given number of seconds, sorted by time.
    pub(crate) fn arrivals(&self, seconds: u64, seed: u64) -> Vec<Request> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            let sign = if ((at / 2e6) as u64).is_multiple_of(2) { 1.0 } else { -1.0 };
            at += exponential(&mut rng, 1e6 / (self.per_second * (1.0 + sign * self.rate_swing)));
            if at >= seconds as f64 * 1e6 {
                return requests;
            }
            let size =
                |mean: f64, rng: &mut StdRng| (mean / 4.0 + exponential(rng, mean * 0.75)) as u32;
            let cost = Cost {
                prompt_tokens: size(self.prompt, &mut rng),
                output_tokens: size(self.output, &mut rng).max(1),
            };
            let straggler = rng.random_bool(self.straggler_share);
            let output = if straggler { cost.output_tokens * 20 } else { cost.output_tokens };
            requests.push(Request { at: at as u64, cost, output, prefix: rng.random() });
        }
    }
}
