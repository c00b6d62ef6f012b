//! Shapes of online requests and batch jobs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// Log-normal distribution of the number of tokens of an answer, limited to a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenDistribution {
    /// Median number of tokens.
    pub median: f64,
    /// Standard deviation of the logarithm; 0 for a constant number of tokens.
    pub sigma: f64,
    /// Maximum number of tokens.
    pub max: u64,
}

impl TokenDistribution {
    /// Creates a distribution with a constant number of tokens.
    #[must_use]
    pub const fn constant(tokens: u64) -> Self {
        Self { median: tokens as f64, sigma: 0.0, max: tokens }
    }

    pub(crate) fn sample(&self, rng: &mut StdRng) -> u64 {
        let tokens = LogNormal::new(self.median.max(1.0).ln(), self.sigma.max(0.0))
            .map_or(self.median, |tokens| tokens.sample(rng));
        // The cast from float to integer saturates.
        (tokens.round() as u64).clamp(1, self.max.max(1))
    }
}

/// Shape of online requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestShape {
    /// Name of the class in reports.
    pub name: String,
    /// Length of a prompt in characters, without its shared prefix.
    pub prompt_chars: usize,
    /// Number of tokens of an answer.
    pub tokens: TokenDistribution,
    /// Number of distinct shared prompt prefixes; 0 for none.
    pub prefix_count: u32,
    /// Length of a shared prompt prefix in characters.
    pub prefix_chars: usize,
    /// Deadline that is sent with each request.
    pub deadline: Option<Duration>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
}

impl RequestShape {
    /// Creates a shape of idempotent requests without shared prefixes and without a deadline.
    #[must_use]
    pub fn new(name: impl Into<String>, prompt_chars: usize, tokens: TokenDistribution) -> Self {
        Self {
            name: name.into(),
            prompt_chars,
            tokens,
            prefix_count: 0,
            prefix_chars: 0,
            deadline: None,
            idempotent: true,
        }
    }

    /// Makes each prompt start with one of `count` shared prefixes of `chars` characters.
    #[must_use]
    pub fn prefixes(mut self, count: u32, chars: usize) -> Self {
        self.prefix_count = count;
        self.prefix_chars = chars;
        self
    }

    /// Sets the deadline that is sent with each request.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Marks the requests as non-idempotent.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    pub(crate) fn sample_prefix(&self, rng: &mut StdRng) -> Option<u32> {
        (self.prefix_count > 0).then(|| rng.random_range(0..self.prefix_count))
    }
}

/// # Common shapes
impl RequestShape {
    /// Short return slips that a customer waits for at the counter.
    #[must_use]
    pub fn counter_slips() -> Self {
        let tokens = TokenDistribution { median: 12.0, sigma: 0.3, max: 40 };
        Self::new("counter-slips", 200, tokens)
    }

    /// Monogram previews of medium length.
    #[must_use]
    pub fn concierge_previews() -> Self {
        let tokens = TokenDistribution { median: 40.0, sigma: 0.4, max: 150 };
        Self::new("concierge-previews", 400, tokens)
    }

    /// Requests that take many times as long as the others.
    #[must_use]
    pub fn stragglers() -> Self {
        let tokens = TokenDistribution { median: 600.0, sigma: 0.3, max: 2_000 };
        Self::new("stragglers", 400, tokens)
    }

    /// Requests with short answers and long prompts that share prefixes.
    #[must_use]
    pub fn shared_prefixes() -> Self {
        let tokens = TokenDistribution { median: 16.0, sigma: 0.3, max: 60 };
        Self::new("shared-prefixes", 100, tokens).prefixes(20, 2_000)
    }
}

/// Shape of batch jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobShape {
    /// Name of the class in reports.
    pub name: String,
    /// Number of items of a job.
    pub items: usize,
    /// Length of the prompt of an item in characters.
    pub prompt_chars: usize,
    /// Number of tokens of the answer to an item.
    pub tokens: TokenDistribution,
    /// Probability that an item is a straggler.
    pub straggler_probability: f64,
    /// Factor applied to the number of tokens of a straggler.
    pub straggler_factor: u64,
    /// Deadline of a job, relative to its submission.
    pub deadline: Option<Duration>,
}

impl JobShape {
    /// Creates a shape without stragglers and without a deadline.
    #[must_use]
    pub fn new(name: impl Into<String>, items: usize, tokens: TokenDistribution) -> Self {
        Self {
            name: name.into(),
            items,
            prompt_chars: 200,
            tokens,
            straggler_probability: 0.0,
            straggler_factor: 1,
            deadline: None,
        }
    }

    /// Makes each item, with the given probability, a straggler with `factor` times as many tokens.
    #[must_use]
    pub fn stragglers(mut self, probability: f64, factor: u64) -> Self {
        self.straggler_probability = probability;
        self.straggler_factor = factor;
        self
    }

    /// Sets the deadline of a job, relative to its submission.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    pub(crate) fn sample_tokens(&self, rng: &mut StdRng) -> u64 {
        let tokens = self.tokens.sample(rng);
        let straggler = rng.random_bool(self.straggler_probability.clamp(0.0, 1.0));
        if straggler { tokens.saturating_mul(self.straggler_factor) } else { tokens }
    }
}

/// # Common shapes
impl JobShape {
    /// Return slips of one day: many short items.
    #[must_use]
    pub fn lots(items: usize) -> Self {
        Self::new("lots", items, TokenDistribution { median: 20.0, sigma: 0.4, max: 80 })
    }

    /// Design runs: longer items with a few stragglers.
    #[must_use]
    pub fn design_runs(items: usize) -> Self {
        let tokens = TokenDistribution { median: 60.0, sigma: 0.4, max: 240 };
        Self::new("design-runs", items, tokens).stragglers(0.01, 10)
    }
}
