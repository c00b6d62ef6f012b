//! Block of a content.

use std::time::Duration;

use super::SoundRun;
use super::TIME_MARGIN;
use crate::ContentHash;
use crate::Timestamp;

/// Delay of the first trial of a blocked content, and the unit of the later ones.
const TRIAL_DELAY: Duration = Duration::from_secs(15);

/// Number of trials of a content by requests and items together, after which it counts as guilty. Each
/// that fails costs an endpoint.
const TRIAL_BUDGET: u32 = 3;

/// Time after the last trial of a budget until the next one begins, in case endpoints have been mended.
const BUDGET_RENEWAL: Duration = Duration::from_secs(16 * 60);

/// Delay of the first trial of a content that had sound runs before. It is either innocent or has
/// begun to crash endpoints just now.
const SOUND_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Delay of the trial of a content that was blocked together with others, by a request without
/// those. At least one of them is innocent.
const LONE_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Delays of the trials in a budget by items, which are owed until they are given up. As long as the
/// budget lasts, one is tried at least every 20 s; the first one comes soon, as it clears an innocent
/// content.
const ITEM_TRIAL_DELAYS: [Duration; TRIAL_BUDGET as usize] =
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
    /// Time from which one request with the content may run as a trial.
    pub trial_at: Timestamp,
    /// Time from which a request without another blocked content may run as a trial.
    pub lone_trial_at: Timestamp,
    /// Time from which one item with the content may run as a trial.
    pub item_trial_at: Timestamp,
    /// Number of trials so far.
    pub trials: u32,
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
            trials: 0,
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
    /// states that it has no other blocked content.
    pub(super) fn trial_due(&self, subject: TrialSubject, is_alone: bool) -> Timestamp {
        let due = if is_alone { self.lone_trial_at.min(self.trial_at) } else { self.trial_at };
        match subject {
            TrialSubject::Request => due,
            TrialSubject::Item => due.min(self.item_trial_at),
        }
    }

    /// Records that a trial starts. `is_alone` states that it has no other blocked content. A trial
    /// together with contents that were blocked on the same evidence clears none of them, so it leaves
    /// the trial without those.
    pub(super) fn start_trial(&mut self, now: Timestamp, is_alone: bool) {
        // A trial alone that comes after the budget does not begin the next one.
        let is_extra =
            self.trials > 0 && self.trials.is_multiple_of(TRIAL_BUDGET) && now < self.trial_at;
        self.trials = self.trials.saturating_add(if is_extra { TRIAL_BUDGET } else { 1 });
        let used = self.trials % TRIAL_BUDGET;
        let (request_delay, item_delay) = if used == 0 {
            (BUDGET_RENEWAL, BUDGET_RENEWAL)
        } else {
            (TRIAL_DELAY * (1 << used), ITEM_TRIAL_DELAYS[used as usize])
        };
        self.trial_at = now + request_delay;
        if is_alone || self.rivals.is_empty() {
            self.lone_trial_at = self.trial_at;
        }
        self.item_trial_at = now + item_delay;
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
        if before != self.rivals.len() && self.rivals.is_empty() {
            self.lone_trial_at = self.trial_at;
        }
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
        self.trials = self.trials.max(other.trials);
        self.rivals.retain(|rival| other.rivals.contains(rival));
        *self != before
    }
}
