//! Blocked contents.

use std::collections::HashMap;
use std::time::Duration;

use super::Block;
use super::Contents;
use super::SoundRun;
use super::TRIAL_PAUSE;
use super::TrialEnd;
use super::TrialId;
use super::TrialLog;
use super::TrialSubject;
use crate::ContentHash;
use crate::Timestamp;

/// Treatment of a request by its contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContentVerdict {
    /// No content is blocked.
    Allowed,
    /// The request may run to find out whether these blocked contents still crash endpoints.
    Trial(Vec<ContentHash>),
    /// The request is not to be run.
    Blocked {
        /// One of its blocked contents.
        content: ContentHash,
        /// Time after which it may run as a trial.
        retry_after: Duration,
    },
}

/// Contents that are blocked, bounded in number. All processes hold a copy.
#[derive(Clone, Debug)]
pub struct Blocklist {
    capacity: usize,
    blocks: HashMap<ContentHash, Block>,
    /// Contents that were found innocent, and when. Crashes up to that time no longer accuse them.
    cleared: HashMap<ContentHash, Timestamp>,
}

impl Blocklist {
    /// Creates an empty list of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, blocks: HashMap::new(), cleared: HashMap::new() }
    }

    /// Returns `true` if no content is blocked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of blocked contents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns all blocks.
    pub fn iter(&self) -> impl Iterator<Item = &Block> {
        self.blocks.values()
    }

    /// Returns the contents that were found innocent lately, and when.
    pub fn cleared(&self) -> impl Iterator<Item = (ContentHash, Timestamp)> {
        self.cleared.iter().map(|(content, at)| (*content, *at))
    }

    /// Returns the time at which a content was found innocent.
    #[must_use]
    pub fn cleared_at(&self, content: ContentHash) -> Option<Timestamp> {
        self.cleared.get(&content).copied()
    }

    /// Returns the block of a content.
    #[must_use]
    pub fn get(&self, content: ContentHash) -> Option<&Block> {
        self.blocks.get(&content)
    }

    /// Returns how a request or item with these contents is to be treated. `id` names a trial that it
    /// may hold already.
    #[must_use]
    pub fn check(
        &self,
        subject: TrialSubject,
        now: Timestamp,
        contents: &Contents,
        id: Option<TrialId>,
    ) -> ContentVerdict {
        if self.blocks.is_empty() {
            return ContentVerdict::Allowed;
        }
        let blocks = || contents.iter().filter_map(|content| self.blocks.get(&content));
        let is_alone = blocks().count() == 1;
        let due = |block: &Block| block.trial_due(subject, now, is_alone, id);
        let Some((due, last)) =
            blocks().map(|block| (due(block), block)).max_by_key(|(due, _)| *due)
        else {
            return ContentVerdict::Allowed;
        };
        if now >= due {
            return ContentVerdict::Trial(blocks().map(|block| block.content).collect());
        }
        ContentVerdict::Blocked { content: last.content, retry_after: due - now }
    }

    /// Checks whether a trial of the contents may start, or go on if it is held already.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial if none is due.
    pub fn check_trial(
        &self,
        subject: TrialSubject,
        now: Timestamp,
        contents: &[ContentHash],
        id: TrialId,
    ) -> Result<(), Duration> {
        let is_alone = contents.len() == 1;
        let blocks = || contents.iter().filter_map(|content| self.blocks.get(content));
        if blocks().any(|block| block.trials.has_ended(id)) {
            return Err(TRIAL_PAUSE);
        }
        let due = blocks().map(|block| block.trial_due(subject, now, is_alone, Some(id))).max();
        if let Some(due) = due.filter(|due| *due > now) {
            return Err(due - now);
        }
        Ok(())
    }

    /// Starts a trial of the contents by a request or item that was granted a place, which it requested
    /// at `requested_at`, unless another one has taken it. Returns the changed blocks.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial if none is due.
    pub fn start_trial(
        &mut self,
        subject: TrialSubject,
        now: Timestamp,
        contents: &[ContentHash],
        id: TrialId,
        requested_at: Timestamp,
    ) -> Result<Vec<Block>, Duration> {
        self.check_trial(subject, now, contents, id)?;
        Ok(self.change_trials(contents, |trials, is_alone| {
            trials.start(id, now, requested_at, is_alone)
        }))
    }

    /// Extends the lease of a trial whose place was requested at `requested_at`. Returns the changed blocks.
    pub fn renew_trial(
        &mut self,
        now: Timestamp,
        contents: &[ContentHash],
        id: TrialId,
        requested_at: Timestamp,
    ) -> Vec<Block> {
        self.change_trials(contents, |trials, is_alone| {
            trials.renew(id, now, requested_at, is_alone)
        })
    }

    /// Ends a trial. Returns the changed blocks.
    pub fn end_trial(
        &mut self,
        now: Timestamp,
        contents: &[ContentHash],
        end: TrialEnd,
    ) -> Vec<Block> {
        self.change_trials(contents, |trials, is_alone| trials.end(now, end, is_alone))
    }

    /// Changes the trials of each content, which are told whether it is the only one, and returns the
    /// blocks that have changed.
    fn change_trials(
        &mut self,
        contents: &[ContentHash],
        change: impl Fn(&mut TrialLog, bool) -> bool,
    ) -> Vec<Block> {
        let is_alone = contents.len() == 1;
        let mut changed = Vec::new();
        for content in contents {
            if let Some(block) = self.blocks.get_mut(content)
                && change(&mut block.trials, is_alone)
            {
                changed.push(block.clone());
            }
        }
        changed
    }

    /// Returns the time at which the content of a block was found innocent, if the block is based on
    /// a crash before that.
    #[must_use]
    pub fn voided_at(&self, block: &Block) -> Option<Timestamp> {
        self.cleared_at(block.content).filter(|at| block.first_crash <= *at)
    }

    /// Adds a block, or merges it with the one at hand. Returns `true` if this changed the list.
    pub fn merge(&mut self, block: Block) -> bool {
        if self.voided_at(&block).is_some() {
            return false;
        }
        if let Some(known) = self.blocks.get_mut(&block.content) {
            return known.merge(&block);
        }
        self.blocks.insert(block.content, block);
        while self.blocks.len() > self.capacity {
            self.evict();
        }
        true
    }

    /// Returns `true` if the list would hold a block, with a margin for the uncertainty of its times.
    #[must_use]
    pub fn has_room_for(&self, block: &Block, margin: Duration) -> bool {
        let is_weaker = |known: &Block| {
            (known.crashes, known.last_crash + margin) < (block.crashes, block.last_crash)
        };
        self.blocks.len() < self.capacity
            || self.blocks.contains_key(&block.content)
            || self.blocks.values().any(is_weaker)
    }

    /// Records a further crash of an endpoint that ran a blocked content. Returns the changed block.
    pub(super) fn record_crash(&mut self, content: ContentHash, at: Timestamp) -> Option<Block> {
        let block = self.blocks.get_mut(&content)?;
        block.record_crash(at);
        Some(block.clone())
    }

    /// Removes the block of a content if the run shows that it is innocent.
    pub fn refute(&mut self, now: Timestamp, run: &SoundRun) -> bool {
        let is_refuted =
            self.blocks.get(&run.content).is_some_and(|block| block.is_refuted_by(run));
        is_refuted && self.clear(now, run.content)
    }

    /// Removes the block of a content that was found innocent at `at`, unless it is based on later
    /// crashes only. Returns `true` if it was removed.
    pub fn clear(&mut self, at: Timestamp, content: ContentHash) -> bool {
        if self.cleared.len() >= self.capacity {
            let oldest =
                self.cleared.iter().min_by_key(|(_, at)| **at).map(|(content, _)| *content);
            oldest.map(|content| self.cleared.remove(&content));
        }
        let cleared_at = self.cleared.entry(content).or_insert(at);
        *cleared_at = at.max(*cleared_at);
        if self.blocks.get(&content).is_none_or(|block| block.first_crash > at) {
            return false;
        }
        self.blocks.remove(&content);
        for block in self.blocks.values_mut() {
            block.remove_rival(content);
        }
        true
    }

    /// Removes the block with the fewest crashes, and of several the one with the oldest crash.
    fn evict(&mut self) {
        let victim = self
            .blocks
            .values()
            .min_by_key(|block| (block.crashes, block.last_crash, block.content))
            .map(|block| block.content);
        victim.map(|content| self.blocks.remove(&content));
    }
}
