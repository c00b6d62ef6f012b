//! Continuous batching, independent of the clock.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::config::EngineConfig;
use crate::runs::RunRecord;

/// Event of a sequence, sent to the reply of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceEvent {
    /// The token with this index was generated.
    Token(u64),
    /// The answer is complete.
    Finished,
    /// The answer was cancelled.
    Cancelled,
}

/// Answer that is being generated.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: Option<String>,
    pub(crate) record: Arc<RunRecord>,
    /// Number of prompt tokens that are not yet processed; initially at least one.
    pub(crate) prefill_remaining: u64,
    /// Index of the next token to generate.
    pub(crate) next_token: u64,
    /// Number of tokens of the complete answer.
    pub(crate) end_token: u64,
    /// Sender of the events. It is closed when the caller disconnects.
    pub(crate) tx: UnboundedSender<SequenceEvent>,
}

/// Sequences that the engine processes, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    sequences: Vec<Sequence>,
    tokens_total: u64,
}

impl Batch {
    /// Adds a sequence, which is processed from the next step on.
    pub(crate) fn admit(&mut self, sequence: Sequence) {
        debug_assert!(
            sequence.prefill_remaining > 0,
            "a sequence must process a prompt token before it generates one"
        );
        self.sequences.push(sequence);
    }

    /// Returns the number of sequences.
    pub(crate) fn len(&self) -> usize {
        self.sequences.len()
    }

    /// Returns the number of prompt tokens that are not yet processed.
    pub(crate) fn prefill_remaining(&self) -> u64 {
        self.sequences.iter().map(|sequence| sequence.prefill_remaining).sum()
    }

    /// Returns the number of tokens generated so far, over all sequences.
    pub(crate) const fn tokens_total(&self) -> u64 {
        self.tokens_total
    }

    /// Returns `true` if the batch contains a sequence of the attempt.
    pub(crate) fn contains(&self, attempt: &str) -> bool {
        self.sequences.iter().any(|sequence| sequence.attempt.as_deref() == Some(attempt))
    }

    /// Begins a step: assigns prompt tokens to it and returns its duration.
    pub(crate) fn begin_step(&mut self, cfg: &EngineConfig) -> Duration {
        self.remove_disconnected();
        let mut budget = cfg.prefill_chunk_tokens.max(1);
        for sequence in &mut self.sequences {
            let processed = sequence.prefill_remaining.min(budget);
            sequence.prefill_remaining -= processed;
            budget -= processed;
        }
        let processed = cfg.prefill_chunk_tokens.max(1) - budget;
        let sequences = u32::try_from(self.sequences.len()).unwrap_or(u32::MAX);
        let prefill_tokens = u32::try_from(processed).unwrap_or(u32::MAX);
        cfg.base
            .saturating_add(cfg.per_sequence.saturating_mul(sequences))
            .saturating_add(cfg.prefill_per_token.saturating_mul(prefill_tokens))
    }

    /// Ends a step: generates one token for each sequence whose prompt is processed.
    pub(crate) fn end_step(&mut self) {
        let mut tokens = 0;
        self.sequences.retain_mut(|sequence| {
            if sequence.prefill_remaining > 0 {
                return true;
            }
            if sequence.next_token < sequence.end_token {
                if sequence.tx.send(SequenceEvent::Token(sequence.next_token)).is_err() {
                    sequence.record.add_cancelled();
                    return false;
                }
                sequence.record.add_token();
                sequence.next_token += 1;
                tokens += 1;
            }
            if sequence.next_token < sequence.end_token {
                return true;
            }
            sequence.record.add_finished();
            let _ = sequence.tx.send(SequenceEvent::Finished);
            false
        });
        self.tokens_total += tokens;
    }

    /// Cancels an attempt and returns the number of tokens of its answer so far, or `None` if it is
    /// not running.
    pub(crate) fn cancel(&mut self, attempt: &str) -> Option<u64> {
        let index = self.sequences.iter().position(|s| s.attempt.as_deref() == Some(attempt))?;
        let sequence = self.sequences.remove(index);
        sequence.record.add_cancelled();
        let _ = sequence.tx.send(SequenceEvent::Cancelled);
        Some(sequence.next_token)
    }

    /// Aborts all sequences without completing their answers.
    pub(crate) fn crash(&mut self) {
        for sequence in self.sequences.drain(..) {
            sequence.record.add_crashed();
        }
    }

    fn remove_disconnected(&mut self) {
        self.sequences.retain(|sequence| {
            let disconnected = sequence.tx.is_closed();
            if disconnected {
                sequence.record.add_cancelled();
            }
            !disconnected
        });
    }
}
