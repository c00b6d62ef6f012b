//! Evidence about crashes that processes exchange.

use std::time::Duration;

use super::Block;
use super::Blocklist;
use super::ContentVerdict;
use super::Contents;
use super::CrashAnalyzer;
use super::CrashConfig;
use super::CrashedRun;
use super::SoundRun;
use super::SoundRuns;
use super::TrialEnd;
use super::TrialId;
use super::TrialSubject;
use crate::ContentHash;
use crate::Timestamp;

/// Range of the delay by which the trials of different processes are apart.
const TRIAL_SPREAD_MS: u64 = 250;

/// Maximum number of crashed runs that a new peer is told; about 16 KB.
const MAX_KNOWN_RUNS: usize = 256;

/// Maximum time by which transfers shift the time of one event.
const MAX_SHIFT: Duration = Duration::from_secs(1);

/// What a process tells its peers of crashes and of blocked contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A run ended because its endpoint crashed.
    Crash(CrashedRun),
    /// A content is blocked, or a trial of it has started.
    Block(Block),
    /// A blocked content was found innocent.
    Cleared {
        /// Content that was blocked.
        content: ContentHash,
        /// Time at which it was found innocent.
        at: Timestamp,
    },
}

/// Evidence about crashes of one process and of its peers, and the contents that it blocks.
///
/// A process passes on what is new to it, so that evidence reaches all processes that are connected
/// through others. All of them analyze the same crashes. What a process receives again changes
/// nothing and is not passed on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodtray_coord::ContentHash;
/// use dogwoodtray_coord::Contents;
/// use dogwoodtray_coord::CrashedRun;
/// use dogwoodtray_coord::EvidencePool;
/// use dogwoodtray_coord::Name;
/// use dogwoodtray_coord::RunStage;
/// use dogwoodtray_coord::Timestamp;
///
/// let request = ContentHash(1);
/// let (mut first, mut second) = (EvidencePool::new(1), EvidencePool::new(2));
/// for number in 0..2 {
///     let sent_at = Timestamp::ZERO + Duration::from_secs(number);
///     let run = CrashedRun {
///         contents: Contents { request, parts: Vec::new() },
///         endpoint: Name::from(format!("e{number}")),
///         sent_at,
///         ended_at: sent_at + Duration::from_millis(50),
///         stage: RunStage::Starting,
///         sound: Vec::new(),
///     };
///     first.record_crash(run.ended_at, run);
/// }
/// let now = Timestamp::ZERO + Duration::from_secs(2);
/// second.merge(now, first.take_news());
/// second.tick(now + Duration::from_secs(1));
/// assert!(second.blocks().get(request).is_some());
/// ```
#[derive(Debug)]
pub struct EvidencePool {
    analyzer: CrashAnalyzer,
    sound_runs: SoundRuns,
    /// Delay of the trials of this process.
    trial_delay: Duration,
    /// Evidence that peers have not been told.
    news: Vec<Evidence>,
    /// Blocks that were decided here and have not been taken.
    decided: Vec<Block>,
}

/// # Runs
impl EvidencePool {
    /// Creates a pool without evidence. The seed differs between processes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            analyzer: CrashAnalyzer::new(CrashConfig {
                reports_received_runs: true,
                ..CrashConfig::default()
            }),
            sound_runs: SoundRuns::new(),
            trial_delay: Duration::from_millis(seed % TRIAL_SPREAD_MS),
            news: Vec::new(),
            decided: Vec::new(),
        }
    }

    /// Records a run that ended because its endpoint crashed, unless it adds nothing.
    pub fn record_crash(&mut self, now: Timestamp, mut run: CrashedRun) {
        if self.analyzer.knows(now, &run) {
            return;
        }
        for content in self.sound_runs.known(&run.contents) {
            if !run.sound.contains(&content) {
                run.sound.push(content);
            }
        }
        self.analyzer.record_crash(now, run.clone());
        self.news.push(Evidence::Crash(run));
    }

    /// Records a run that produced output or completed its answer.
    pub fn record_sound_run(
        &mut self,
        now: Timestamp,
        contents: &Contents,
        sent_at: Timestamp,
        completed: bool,
    ) {
        self.sound_runs.record(now, contents, sent_at, completed);
        for content in contents.iter() {
            self.refute(now, &SoundRun { content, sent_at, completed });
        }
    }

    /// Analyzes the crashes about which all reports should have arrived.
    pub fn tick(&mut self, now: Timestamp) {
        for block in self.analyzer.tick(now) {
            self.news.push(Evidence::Block(block.clone()));
            self.decided.push(block.clone());
            self.refute_by_known_runs(now, &block);
        }
    }

    fn refute(&mut self, now: Timestamp, run: &SoundRun) {
        if self.analyzer.record_sound_run(now, run) {
            self.news.push(Evidence::Cleared { content: run.content, at: now });
        }
    }

    fn refute_by_known_runs(&mut self, now: Timestamp, block: &Block) {
        if let Some(run) = self.sound_runs.refutation(block) {
            self.refute(now, &run);
        }
    }
}

/// # Verdicts
impl EvidencePool {
    /// Returns the blocked contents.
    #[must_use]
    pub const fn blocks(&self) -> &Blocklist {
        self.analyzer.blocks()
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
        self.blocks().check(subject, now.saturating_sub(self.trial_delay), contents, id)
    }

    /// Starts a trial of blocked contents, unless another request or item has taken it.
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
    ) -> Result<(), Duration> {
        let changed = self.analyzer.blocks_mut().start_trial(subject, now, contents, id, now)?;
        self.news.extend(changed.into_iter().map(Evidence::Block));
        Ok(())
    }

    /// Extends the lease of a trial that started at `requested_at`.
    pub fn renew_trial(
        &mut self,
        now: Timestamp,
        contents: &[ContentHash],
        id: TrialId,
        requested_at: Timestamp,
    ) {
        let changed = self.analyzer.blocks_mut().renew_trial(now, contents, id, requested_at);
        self.news.extend(changed.into_iter().map(Evidence::Block));
    }

    /// Ends a trial.
    pub fn end_trial(&mut self, now: Timestamp, contents: &[ContentHash], end: TrialEnd) {
        let changed = self.analyzer.blocks_mut().end_trial(now, contents, end);
        self.news.extend(changed.into_iter().map(Evidence::Block));
    }

    /// Returns `true` if a whole request was present at several crashes and the last of them has not
    /// been analyzed.
    #[must_use]
    pub fn is_undecided(&self, request: ContentHash) -> bool {
        self.analyzer.is_undecided(request)
    }

    /// Returns `true` if a whole request was present at a crash and has not been answered since.
    #[must_use]
    pub fn is_suspect(&self, request: ContentHash) -> bool {
        let last_crash = self.analyzer.last_crash(request);
        last_crash.is_some_and(|at| !self.sound_runs.has_completed_since(request, at))
    }
}

/// # Exchange
impl EvidencePool {
    /// Merges the evidence of a peer.
    pub fn merge(&mut self, now: Timestamp, evidence: impl IntoIterator<Item = Evidence>) {
        for evidence in evidence {
            match evidence {
                Evidence::Crash(run) => self.record_crash(now, run),
                Evidence::Block(block) => self.merge_block(now, block),
                Evidence::Cleared { content, at } => self.merge_cleared(content, at),
            }
        }
    }

    /// Returns the evidence that is new since the last call, for all peers.
    pub fn take_news(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.news)
    }

    /// Returns the evidence for a new peer: the cleared contents, the newest crashed runs and the blocks.
    #[must_use]
    pub fn known(&self) -> Vec<Evidence> {
        let mut known: Vec<Evidence> = self
            .analyzer
            .newest_runs()
            .take(MAX_KNOWN_RUNS)
            .cloned()
            .map(Evidence::Crash)
            .collect();
        known.reverse();
        let blocks = self.blocks();
        let cleared = blocks.cleared().map(|(content, at)| Evidence::Cleared { content, at });
        cleared.chain(known).chain(blocks.iter().cloned().map(Evidence::Block)).collect()
    }

    /// Returns the blocks that this process decided since the last call.
    pub fn take_decided(&mut self) -> Vec<Block> {
        std::mem::take(&mut self.decided)
    }

    /// Merges the block of a peer. The times of a block shift with each transfer, so only a new block
    /// and a trial that is new or got further are passed on.
    fn merge_block(&mut self, now: Timestamp, block: Block) {
        let content = block.content;
        if let Some(at) = self.blocks().voided_at(&block) {
            return self.news.push(Evidence::Cleared { content, at });
        }
        if !self.blocks().has_room_for(&block, MAX_SHIFT) {
            return;
        }
        let known = self.blocks().get(content).map(|known| known.trials.clone());
        self.analyzer.blocks_mut().merge(block.clone());
        if known.is_none_or(|mut known| known.merge(&block.trials)) {
            self.news.push(Evidence::Block(block.clone()));
        }
        self.refute_by_known_runs(now, &block);
    }

    /// Clears a content that a peer found innocent. Passes it on unless it is known, apart from the
    /// shift of its time by transfers.
    fn merge_cleared(&mut self, content: ContentHash, at: Timestamp) {
        let known = self.blocks().cleared_at(content);
        if known.is_some_and(|known| at - known < MAX_SHIFT) {
            return;
        }
        self.analyzer.clear(at, content);
        self.news.push(Evidence::Cleared { content, at });
    }
}
