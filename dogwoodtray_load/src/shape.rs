//! Shapes of requests and jobs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// Distribution of the tokens of an answer: log-normal, cut off at a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenCount {
    /// Half of the answers are shorter.
    pub median: f64,
    /// Spread of the logarithm; 0 for a constant count.
    pub sigma: f64,
    /// Longest answer.
    pub max: u64,
}

impl TokenCount {
    /// Creates a constant count.
    #[must_use]
    pub const fn constant(tokens: u64) -> Self {
        Self { median: tokens as f64, sigma: 0.0, max: tokens }
    }

    pub(crate) fn draw(&self, rng: &mut StdRng) -> u64 {
        let tokens = LogNormal::new(self.median.max(1.0).ln(), self.sigma.max(0.0))
            .map_or(self.median, |tokens| tokens.sample(rng));
        // The conversion saturates.
        (tokens.round() as u64).clamp(1, self.max.max(1))
    }
}

/// Shape of online requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Name of the class in reports.
    pub name: String,
    /// Characters of a prompt without its shared prefix.
    pub prompt_chars: usize,
    /// Tokens of an answer.
    pub tokens: TokenCount,
    /// Number of different shared prefixes; 0 for none.
    pub prefixes: u32,
    /// Characters of a shared prefix.
    pub prefix_chars: usize,
    /// Deadline that callers send.
    pub deadline: Option<Duration>,
    /// Whether a request may run twice.
    pub idempotent: bool,
}

impl Shape {
    /// Creates a shape of unrelated, idempotent requests without a deadline.
    #[must_use]
    pub fn new(name: impl Into<String>, prompt_chars: usize, tokens: TokenCount) -> Self {
        Self {
            name: name.into(),
            prompt_chars,
            tokens,
            prefixes: 0,
            prefix_chars: 0,
            deadline: None,
            idempotent: true,
        }
    }

    /// Makes the prompts start with one of a few shared prefixes.
    #[must_use]
    pub fn prefixes(mut self, count: u32, chars: usize) -> Self {
        self.prefixes = count;
        self.prefix_chars = chars;
        self
    }

    /// Sets the deadline that callers send.
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

    pub(crate) fn draw_prefix(&self, rng: &mut StdRng) -> Option<u32> {
        (self.prefixes > 0).then(|| rng.random_range(0..self.prefixes))
    }
}

/// # Common shapes
impl Shape {
    /// Short return slips; a customer waits at the counter.
    #[must_use]
    pub fn counter_slips() -> Self {
        let tokens = TokenCount { median: 12.0, sigma: 0.3, max: 40 };
        Self::new("counter-slips", 200, tokens)
    }

    /// Monogram previews of medium length.
    #[must_use]
    pub fn concierge_previews() -> Self {
        let tokens = TokenCount { median: 40.0, sigma: 0.4, max: 150 };
        Self::new("concierge-previews", 400, tokens)
    }

    /// Requests that run many times longer than the others.
    #[must_use]
    pub fn stragglers() -> Self {
        let tokens = TokenCount { median: 600.0, sigma: 0.3, max: 2_000 };
        Self::new("stragglers", 400, tokens)
    }

    /// Short requests with long prompts that start alike.
    #[must_use]
    pub fn shared_prefixes() -> Self {
        let tokens = TokenCount { median: 16.0, sigma: 0.3, max: 60 };
        Self::new("shared-prefixes", 100, tokens).prefixes(20, 2_000)
    }
}

/// Shape of batch jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobShape {
    /// Name of the class in reports.
    pub name: String,
    /// Items of a job.
    pub items: usize,
    /// Characters of the prompt of an item.
    pub prompt_chars: usize,
    /// Tokens of the answer to an item.
    pub tokens: TokenCount,
    /// Probability that an item is a straggler.
    pub stragglers: f64,
    /// Factor on the tokens of a straggler.
    pub straggler_factor: u64,
    /// Time after submission by which the job must have ended.
    pub deadline: Option<Duration>,
}

impl JobShape {
    /// Creates a shape without stragglers and deadline.
    #[must_use]
    pub fn new(name: impl Into<String>, items: usize, tokens: TokenCount) -> Self {
        Self {
            name: name.into(),
            items,
            prompt_chars: 200,
            tokens,
            stragglers: 0.0,
            straggler_factor: 1,
            deadline: None,
        }
    }

    /// Makes some items many times longer than the others.
    #[must_use]
    pub fn stragglers(mut self, probability: f64, factor: u64) -> Self {
        self.stragglers = probability;
        self.straggler_factor = factor;
        self
    }

    /// Sets the time after submission by which the job must have ended.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    pub(crate) fn draw_tokens(&self, rng: &mut StdRng) -> u64 {
        let tokens = self.tokens.draw(rng);
        let straggler = rng.random_bool(self.stragglers.clamp(0.0, 1.0));
        if straggler { tokens.saturating_mul(self.straggler_factor) } else { tokens }
    }
}

/// # Common shapes
impl JobShape {
    /// The slips of a day: many short items.
    #[must_use]
    pub fn lots(items: usize) -> Self {
        Self::new("lots", items, TokenCount { median: 20.0, sigma: 0.4, max: 80 })
    }

    /// Design runs: longer items, and a few stragglers.
    #[must_use]
    pub fn design_runs(items: usize) -> Self {
        let tokens = TokenCount { median: 60.0, sigma: 0.4, max: 240 };
        Self::new("design-runs", items, tokens).stragglers(0.01, 10)
    }
}
