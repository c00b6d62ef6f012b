//! Class, expected size and identity of work.

use std::fmt;

/// Prompt tokens that cost an engine as much as one output token of one stream.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 16;

/// Class of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A request whose caller waits for the answer.
    Online,
    /// An item of a batch job, which uses idle capacity.
    Batch,
}

/// Expected size of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cost {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the answer.
    pub output_tokens: u32,
}

impl Cost {
    /// Returns the size in output tokens. Prompt tokens count less, as engines process many of them
    /// in parallel.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodtray_policy::Cost;
    ///
    /// let cost = Cost { prompt_tokens: 320, output_tokens: 100 };
    /// assert_eq!(cost.work(), 120);
    /// ```
    #[must_use]
    pub const fn work(self) -> u32 {
        self.output_tokens.saturating_add(self.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN)
    }

    /// Returns the work done after `tokens` output tokens.
    pub(crate) const fn work_done(self, tokens: u32) -> u32 {
        Self { prompt_tokens: self.prompt_tokens, output_tokens: tokens }.work()
    }
}

/// Identifies a piece of work on one agent. Assigned by the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w{}", self.0)
    }
}
