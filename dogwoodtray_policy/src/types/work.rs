//! Work as the policies see it.

use std::fmt;

/// Prompt tokens that an engine processes in the time of one output token of one stream.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 16;

/// Class of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A caller waits for the answer.
    Online,
    /// An item of a job; it uses idle capacity.
    Batch,
}

/// Expected size of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens expected in the answer.
    pub output_tokens: u32,
}

impl Cost {
    /// Returns the size in output tokens; prompt tokens weigh less, as engines process them at once.
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

    /// Returns the work done once `tokens` of the answer exist.
    pub(crate) const fn work_done(self, tokens: u32) -> u32 {
        Self { prompt_tokens: self.prompt_tokens, output_tokens: tokens }.work()
    }
}

/// Names a piece of work on one agent. Chosen by the shell of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w{}", self.0)
    }
}
