//! Prompt prefixes and items of jobs that crash endpoints.
//!
//! The quarantine recognizes an online request that comes again. Requests that have only their prompt
//! prefix in common, and items, are recognized by a [`CrashAnalyzer`]. Each entry analyzes the crashes
//! of its own requests and items, and the blocks travel with heartbeats.

use std::time::Duration;

use dogwoodtray_coord::Block;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashAnalyzer;
use dogwoodtray_coord::CrashConfig;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::SoundRun;
use dogwoodtray_coord::SoundRuns;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;

use super::OnlineCore;
use super::RequestSpec;
use super::attempt::Attempt;
use super::attempt::Owner;

/// Reason of the refusal of a request whose prompt prefix is blocked.
pub(super) const PREFIX_BLOCKED: &str = "requests with this prompt prefix crashed endpoints";

/// Time for which a request waits for the next trial of its prefix. An innocent prefix that was
/// blocked together with a guilty one is tried within this time.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// Treatment of a request by its prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrefixVerdict {
    Allowed,
    /// The request runs to find out whether its prefix still crashes endpoints.
    Trial,
    /// The request waits, because a trial is due soon.
    Undecided,
    Blocked,
}

/// What an entry knows of prompt prefixes and the crashes of endpoints.
#[derive(Debug)]
pub(super) struct PrefixBlocks {
    analyzer: CrashAnalyzer,
    sound_runs: SoundRuns,
    /// Blocks that were decided here and have not been logged.
    decided: Vec<Block>,
    changed: bool,
}

impl PrefixBlocks {
    pub(super) fn new() -> Self {
        Self {
            analyzer: CrashAnalyzer::new(CrashConfig::default()),
            sound_runs: SoundRuns::new(),
            decided: Vec::new(),
            changed: false,
        }
    }

    /// Returns how a request is to be treated that is about to run. Starts a trial of its prefix if one
    /// is due.
    pub(super) fn admit(&mut self, now: Timestamp, spec: &RequestSpec) -> PrefixVerdict {
        match self.check(now, spec) {
            ContentVerdict::Allowed => PrefixVerdict::Allowed,
            ContentVerdict::Blocked { retry_after, .. } if retry_after <= MAX_TRIAL_WAIT => {
                PrefixVerdict::Undecided
            }
            ContentVerdict::Blocked { .. } => PrefixVerdict::Blocked,
            ContentVerdict::Trial(contents) => {
                self.changed = true;
                match self.analyzer.blocks_mut().start_trial(now, &contents) {
                    Ok(_) => PrefixVerdict::Trial,
                    Err(_) => PrefixVerdict::Blocked,
                }
            }
        }
    }

    /// Returns `true` if an item may run now. Starts a trial of its blocked contents if one is due.
    pub(super) fn admit_item(&mut self, now: Timestamp, spec: &RequestSpec) -> bool {
        let blocks = self.analyzer.blocks_mut();
        match blocks.check_for(TrialSubject::Item, now, &item_contents(spec)) {
            ContentVerdict::Allowed => true,
            ContentVerdict::Blocked { .. } => false,
            ContentVerdict::Trial(contents) => {
                self.changed = true;
                blocks.start_trial_for(TrialSubject::Item, now, &contents).is_ok()
            }
        }
    }

    fn check(&self, now: Timestamp, spec: &RequestSpec) -> ContentVerdict {
        // The quarantine decides about the request itself.
        let prefix = Contents { request: ContentHash(spec.prefix), parts: Vec::new() };
        self.analyzer.blocks().check(now, &prefix)
    }

    /// Records an attempt that ended because its endpoint crashed.
    pub(super) fn record_crash(&mut self, now: Timestamp, attempt: &Attempt) {
        let Some(contents) = contents(attempt) else { return };
        let has_output = attempt.tokens > attempt.resume_from;
        let stage = match (has_output, attempt.owner) {
            (false, _) => RunStage::Starting,
            (true, Owner::Job) => RunStage::Resumable,
            (true, _) => RunStage::Running,
        };
        let run = CrashedRun {
            sound: self.sound_runs.known(&contents),
            contents,
            endpoint: Name::clone(&attempt.node),
            sent_at: attempt.sent_at,
            ended_at: now,
            stage,
        };
        self.changed |= !self.analyzer.record_crash(now, run).is_empty();
    }

    /// Records an attempt that produced output or completed its answer.
    pub(super) fn record_sound_run(&mut self, now: Timestamp, attempt: &Attempt, completed: bool) {
        let Some(contents) = contents(attempt) else { return };
        let sent_at = attempt.sent_at;
        self.sound_runs.record(now, &contents, sent_at, completed);
        for content in contents.iter() {
            let run = SoundRun { content, sent_at, completed };
            self.changed |= self.analyzer.record_sound_run(now, &run);
        }
    }

    /// Analyzes the crashes that have been recorded.
    pub(super) fn tick(&mut self, now: Timestamp) {
        for block in self.analyzer.tick(now) {
            self.changed = true;
            self.refute(now, &block);
            self.decided.push(block);
        }
    }

    fn refute(&mut self, now: Timestamp, block: &Block) {
        if let Some(run) = self.sound_runs.refutation(block) {
            self.analyzer.record_sound_run(now, &run);
        }
    }
}

/// # Exchange of blocks
impl OnlineCore {
    /// Returns up to `limit` blocked prompt prefixes to send to peers, those with the newest crashes
    /// first.
    #[must_use]
    pub fn blocked_prefixes(&self, limit: usize) -> Vec<Block> {
        let mut blocks: Vec<Block> = self.prefixes.analyzer.blocks().iter().cloned().collect();
        blocks.sort_by_key(|block| std::cmp::Reverse((block.last_crash, block.content)));
        blocks.truncate(limit);
        blocks
    }

    /// Merges blocked prompt prefixes received from a peer.
    pub fn merge_blocked_prefixes(&mut self, now: Timestamp, blocks: Vec<Block>) {
        for block in blocks {
            let is_new = self.prefixes.analyzer.blocks().get(block.content).is_none();
            let merged = self.prefixes.analyzer.blocks_mut().merge(block.clone());
            self.prefixes.changed |= is_new && merged;
            self.prefixes.refute(now, &block);
        }
    }

    /// Returns the blocks that this entry decided since the last call.
    pub fn take_decided_blocks(&mut self) -> Vec<Block> {
        std::mem::take(&mut self.prefixes.decided)
    }

    /// Returns whether the blocked prefixes have changed since the last call, and clears the flag.
    pub const fn take_blocked_prefixes_changed(&mut self) -> bool {
        std::mem::replace(&mut self.prefixes.changed, false)
    }
}

/// Returns the contents of an attempt, or `None` if it is that of a request without a prompt prefix.
fn contents(attempt: &Attempt) -> Option<Contents> {
    let spec = &attempt.spec;
    let is_item = attempt.owner == Owner::Job;
    (is_item || spec.prefix != 0).then(|| item_contents(spec))
}

fn item_contents(spec: &RequestSpec) -> Contents {
    let prefix = (spec.prefix != 0).then_some(ContentHash(spec.prefix));
    Contents { request: spec.content, parts: prefix.into_iter().collect() }
}
