//! Block of a content.

use std::time::Duration;

use super::SoundRun;
use super::TIME_MARGIN;
use super::Trial;
use super::TrialId;
use super::TrialLog;
use super::trial::BUDGET_RENEWAL;
use super::trial::TRIAL_BUDGET;
use crate::ContentHash;
use crate::Timestamp;

/// Delay of the first trial of a blocked content, and the unit of the later ones.
const TRIAL_DELAY: Duration = Duration::from_secs(15);

/// Delay of the first trial of a content that had sound runs before. It is either innocent or has
/// begun to crash endpoints just now.
const SOUND_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Delay of the trial of a content that was blocked together with others, by a request without
/// those. At least one of them is innocent.
const LONE_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Delays of the trials in a budget by items, which are owed until they are given up. As long as the
/// budget lasts, one is tried at least every 20 s; the first one comes soon, as it clears an innocent
/// content.
const ITEM_TRIAL_DELAYS: [Duration; TRIAL_BUDGET] =
    [Duration::from_secs(12), Duration::from_secs(18), Duration::from_secs(19)];

/// When a content crashes the endpoints that answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashPattern {
    /// Before the first output. Refuted by a run with output.
    AtStart,
    /// At any time. Refuted by a complete run.
    AnyTime,
}

/// What runs as a trial of blocked contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrialSubject {
    /// Request whose caller can be told to come back later.
    Request,
    /// Item of a job, which is owed until it is given up.
    Item,
    /// Item that is given up soon. It need not wait for the delay after a trial that failed.
    ExpiringItem,
}

/// Block of a content that crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Block {
    /// Content that is blocked.
    pub content: ContentHash,
    /// When it crashes endpoints.
    pub pattern: CrashPattern,
    /// Number of crashes that are attributed to it.
    pub crashes: u32,
    /// Time of the first of these crashes.
    pub first_crash: Timestamp,
    /// Time of the last of these crashes.
    pub last_crash: Timestamp,
    /// Time of the first trial by a request with the content.
    pub trial_at: Timestamp,
    /// Time of the first trial by a request without another blocked content.
    pub lone_trial_at: Timestamp,
    /// Time of the first trial by an item with the content.
    pub item_trial_at: Timestamp,
    /// Trials, on which the time of the next one depends.
    pub trials: TrialLog,
    /// Contents that were blocked on the same evidence and have not been cleared.
    pub rivals: Vec<ContentHash>,
}

impl Block {
    /// Creates a block after the last of several crashes.
    pub(super) fn new(
        content: ContentHash,
        pattern: CrashPattern,
        crashes: u32,
        (first_crash, last_crash): (Timestamp, Timestamp),
        had_sound_runs: bool,
        rivals: Vec<ContentHash>,
    ) -> Self {
        let trial_delay = if had_sound_runs { SOUND_TRIAL_DELAY } else { TRIAL_DELAY };
        let trial_at = last_crash + trial_delay;
        let lone_trial_at =
            if rivals.is_empty() { trial_at } else { last_crash + LONE_TRIAL_DELAY };
        Self {
            content,
            pattern,
            crashes,
            first_crash,
            last_crash,
            trial_at,
            lone_trial_at,
            item_trial_at: last_crash + ITEM_TRIAL_DELAYS[0],
            trials: TrialLog::default(),
            rivals,
        }
    }

    /// Returns `true` if the run shows that the content is innocent.
    #[must_use]
    pub fn is_refuted_by(&self, run: &SoundRun) -> bool {
        let is_late_enough = run.sent_at > self.first_crash + TIME_MARGIN;
        let is_sufficient = run.completed || self.pattern == CrashPattern::AtStart;
        run.content == self.content && is_late_enough && is_sufficient
    }

    /// Returns the time from which a request or item with this content may run as a trial. `is_alone`
    /// states that it has no other blocked content, and `id` names a trial that it may hold already.
    pub(super) fn trial_due(
        &self,
        subject: TrialSubject,
        now: Timestamp,
        is_alone: bool,
        id: Option<TrialId>,
    ) -> Timestamp {
        if id.is_some_and(|id| self.trials.is_held(id, now)) {
            return now;
        }
        self.scheduled(subject, now, is_alone).max(self.trials.free_at(now))
    }

    /// Returns the time of the next trial by what the last ones told. A trial together with contents that
    /// were blocked on the same evidence clears none of them, so it leaves the trial without those.
    fn scheduled(&self, subject: TrialSubject, now: Timestamp, is_alone: bool) -> Timestamp {
        let spent = || self.trials.spent(now);
        let count = spent().count();
        let has_failed = |trial: &&Trial| trial.requested_at <= self.last_crash;
        if is_alone && !self.rivals.is_empty() {
            let mut alone = spent().filter(|trial| trial.is_alone).peekable();
            let is_open = count < TRIAL_BUDGET || alone.peek().is_none();
            if is_open && !alone.any(|trial| has_failed(&trial)) {
                return self.lone_trial_at.min(self.trial_at);
            }
        }
        let first = match subject {
            TrialSubject::Request => self.trial_at,
            TrialSubject::Item => self.trial_at.min(self.item_trial_at),
            TrialSubject::ExpiringItem => self.last_crash,
        };
        if count >= TRIAL_BUDGET {
            let last = spent().map(|trial| trial.requested_at).max().unwrap_or_default();
            return last + BUDGET_RENEWAL;
        }
        let Some(failed) = spent().filter(has_failed).map(|trial| trial.requested_at).max() else {
            return first;
        };
        let request_due = failed + TRIAL_DELAY * (1 << count);
        match subject {
            TrialSubject::Request => request_due,
            TrialSubject::Item => request_due.min(failed + ITEM_TRIAL_DELAYS[count]),
            TrialSubject::ExpiringItem => first,
        }
    }

    /// Records a further crash.
    pub(super) fn record_crash(&mut self, at: Timestamp) {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = self.last_crash.max(at);
    }

    /// Records that a content that was blocked on the same evidence is innocent. Returns `true` if
    /// this changed the block.
    pub(super) fn remove_rival(&mut self, content: ContentHash) -> bool {
        let before = self.rivals.len();
        self.rivals.retain(|rival| *rival != content);
        before != self.rivals.len()
    }

    /// Merges the state of the same block in another process. Returns `true` if this changed.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.pattern = self.pattern.max(other.pattern);
        self.crashes = self.crashes.max(other.crashes);
        self.first_crash = self.first_crash.min(other.first_crash);
        self.last_crash = self.last_crash.max(other.last_crash);
        self.trial_at = self.trial_at.max(other.trial_at);
        self.lone_trial_at = self.lone_trial_at.max(other.lone_trial_at);
        self.item_trial_at = self.item_trial_at.max(other.item_trial_at);
        self.trials.merge(&other.trials);
        self.rivals.retain(|rival| other.rivals.contains(rival));
        *self != before
    }
}
