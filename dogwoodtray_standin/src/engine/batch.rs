//! Continuous batching, without a clock.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::config::EngineConfig;
use crate::runs::RunRecord;

/// Part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// The token with this index.
    Token(u64),
    /// The answer is whole.
    Finished,
    /// The answer was cancelled.
    Cancelled,
}

/// One answer that is being generated.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: Option<String>,
    pub(crate) record: Arc<RunRecord>,
    /// Prompt tokens that are not yet processed; at least one at the start.
    pub(crate) prefill_left: u64,
    /// Index of the next token.
    pub(crate) next: u64,
    /// Number of tokens of the whole answer.
    pub(crate) end: u64,
    /// Where the parts go. It closes when the caller goes away.
    pub(crate) tx: UnboundedSender<Part>,
}

/// Sequences inside the engine, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    sequences: Vec<Sequence>,
    tokens_total: u64,
}

impl Batch {
    /// Admits a sequence. It takes part from the next step on.
    pub(crate) fn admit(&mut self, sequence: Sequence) {
        debug_assert!(sequence.prefill_left > 0, "a step must process it before it gives a token");
        self.sequences.push(sequence);
    }

    /// Returns how many sequences are inside.
    pub(crate) fn len(&self) -> usize {
        self.sequences.len()
    }

    /// Returns how many prompt tokens wait for their processing.
    pub(crate) fn prefill_left(&self) -> u64 {
        self.sequences.iter().map(|sequence| sequence.prefill_left).sum()
    }

    /// Returns how many tokens were generated.
    pub(crate) const fn tokens_total(&self) -> u64 {
        self.tokens_total
    }

    /// Tells whether an attempt is inside.
    pub(crate) fn contains(&self, attempt: &str) -> bool {
        self.sequences.iter().any(|sequence| sequence.attempt.as_deref() == Some(attempt))
    }

    /// Begins a step: assigns prompt tokens to it and returns its duration.
    pub(crate) fn begin_step(&mut self, cfg: &EngineConfig) -> Duration {
        self.drop_abandoned();
        let mut budget = cfg.prefill_chunk_tokens.max(1);
        for sequence in &mut self.sequences {
            let processed = sequence.prefill_left.min(budget);
            sequence.prefill_left -= processed;
            budget -= processed;
        }
        let processed = cfg.prefill_chunk_tokens.max(1) - budget;
        let inside = u32::try_from(self.sequences.len()).unwrap_or(u32::MAX);
        let prefill = u32::try_from(processed).unwrap_or(u32::MAX);
        cfg.base
            .saturating_add(cfg.per_sequence.saturating_mul(inside))
            .saturating_add(cfg.prefill_per_token.saturating_mul(prefill))
    }

    /// Ends a step: gives one token to each sequence whose prompt is processed.
    pub(crate) fn end_step(&mut self) {
        let mut tokens = 0;
        self.sequences.retain_mut(|sequence| {
            if sequence.prefill_left > 0 {
                return true;
            }
            if sequence.next < sequence.end {
                if sequence.tx.send(Part::Token(sequence.next)).is_err() {
                    sequence.record.add_cancelled();
                    return false;
                }
                sequence.record.add_token();
                sequence.next += 1;
                tokens += 1;
            }
            if sequence.next < sequence.end {
                return true;
            }
            sequence.record.add_finished();
            let _ = sequence.tx.send(Part::Finished);
            false
        });
        self.tokens_total += tokens;
    }

    /// Cancels an attempt and returns how many tokens its answer has.
    pub(crate) fn cancel(&mut self, attempt: &str) -> Option<u64> {
        let at = self.sequences.iter().position(|s| s.attempt.as_deref() == Some(attempt))?;
        let sequence = self.sequences.remove(at);
        sequence.record.add_cancelled();
        let _ = sequence.tx.send(Part::Cancelled);
        Some(sequence.next)
    }

    /// Ends all sequences without an answer.
    pub(crate) fn crash(&mut self) {
        for sequence in self.sequences.drain(..) {
            sequence.record.add_crashed();
        }
    }

    fn drop_abandoned(&mut self) {
        self.sequences.retain(|sequence| {
            let abandoned = sequence.tx.is_closed();
            if abandoned {
                sequence.record.add_cancelled();
            }
            !abandoned
        });
    }
}
