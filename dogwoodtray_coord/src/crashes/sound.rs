//! Sound runs that a process knows of.

use std::collections::HashMap;
use std::time::Duration;

use super::Block;
use super::Contents;
use super::SoundRun;
use crate::ContentHash;
use crate::Timestamp;

/// Maximum number of contents of one generation.
const MAX_CONTENTS: usize = 4_096;

/// Time after which a generation becomes the previous one.
const GENERATION_TIME: Duration = Duration::from_secs(30);

/// Send times of the newest runs of a content.
#[derive(Clone, Copy, Debug, Default)]
struct Newest {
    with_output: Option<Timestamp>,
    completed: Option<Timestamp>,
}

/// Newest sound runs by content. Kept in two generations, so that old ones are dropped without a
/// search.
#[derive(Debug)]
pub struct SoundRuns {
    current: HashMap<ContentHash, Newest>,
    previous: HashMap<ContentHash, Newest>,
    started_at: Timestamp,
}

impl Default for SoundRuns {
    fn default() -> Self {
        Self::new()
    }
}

impl SoundRuns {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self { current: HashMap::new(), previous: HashMap::new(), started_at: Timestamp::ZERO }
    }

    /// Records a run with output or a complete answer of a request that was sent at `sent_at`.
    pub fn record(
        &mut self,
        now: Timestamp,
        contents: &Contents,
        sent_at: Timestamp,
        completed: bool,
    ) {
        if self.current.len() >= MAX_CONTENTS || now - self.started_at >= GENERATION_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.started_at = now;
        }
        for content in contents.iter() {
            let newest = self.current.entry(content).or_default();
            newest.with_output = newest.with_output.max(Some(sent_at));
            if completed {
                newest.completed = newest.completed.max(Some(sent_at));
            }
        }
    }

    /// Returns those of the contents that have had a sound run lately.
    #[must_use]
    pub fn known(&self, contents: &Contents) -> Vec<ContentHash> {
        let is_known = |content: &ContentHash| {
            self.current.contains_key(content) || self.previous.contains_key(content)
        };
        contents.iter().filter(is_known).collect()
    }

    /// Returns `true` if a request with the content was sent after `time` and answered.
    #[must_use]
    pub fn has_completed_since(&self, content: ContentHash, time: Timestamp) -> bool {
        let known = [&self.current, &self.previous].into_iter().filter_map(|g| g.get(&content));
        known.filter_map(|newest| newest.completed).any(|sent_at| sent_at > time)
    }

    /// Returns a run that shows that a blocked content is innocent, if any is known.
    #[must_use]
    pub fn refutation(&self, block: &Block) -> Option<SoundRun> {
        let content = block.content;
        let known = [&self.current, &self.previous].into_iter().filter_map(|g| g.get(&content));
        let runs = known.flat_map(|newest| {
            let completed =
                newest.completed.map(|sent_at| SoundRun { content, sent_at, completed: true });
            let with_output =
                newest.with_output.map(|sent_at| SoundRun { content, sent_at, completed: false });
            completed.into_iter().chain(with_output)
        });
        runs.into_iter().find(|run| block.is_refuted_by(run))
    }

    /// Returns the number of contents on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns `true` if no run is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
