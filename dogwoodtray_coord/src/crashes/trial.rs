//! Trials of a blocked content.

use std::time::Duration;

use crate::Incarnation;
use crate::Timestamp;

/// Time for which a trial stays with a holder that does not renew it.
pub const TRIAL_LEASE: Duration = Duration::from_secs(3);

/// Interval at which the holder of a trial renews it.
pub const TRIAL_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the end of a trial that told nothing until the next one.
pub const TRIAL_PAUSE: Duration = Duration::from_secs(1);

/// Number of trials of a content by requests and items together, after which it counts as guilty. Each
/// that fails costs an endpoint.
pub(super) const TRIAL_BUDGET: usize = 3;

/// Time after the last trial of a budget until the next one begins, in case endpoints have been mended.
pub(super) const BUDGET_RENEWAL: Duration = Duration::from_secs(16 * 60);

/// Maximum number of trials that are kept of a block. More than a budget and one current trial are
/// known only after partitions.
const MAX_TRIALS: usize = 32;

/// Name of a trial, given by the process of the request or item that runs as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrialId {
    /// Process that holds the trial.
    pub holder: Incarnation,
    /// Number of the trial among those of the process.
    pub number: u64,
}

/// How far a trial got. A trial is never in a lower stage than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrialStage {
    /// It was granted a place, so that it may run.
    Granted,
    /// It ended without reaching an endpoint.
    NotRun,
    /// It ended, and an endpoint may have run it.
    Ran,
}

/// Trial of a blocked content. Where processes differ, the greater of two records of a trial is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Trial {
    /// Name of the trial.
    pub id: TrialId,
    /// How far it got.
    pub stage: TrialStage,
    /// Position among the trials of the content; later ones have greater turns.
    pub turn: u32,
    /// End of the lease, or of the pause after the trial.
    pub until: Timestamp,
    /// Time at which its place was requested, from which the delay of the next trial counts.
    pub requested_at: Timestamp,
    /// Whether the request or item had no other blocked content.
    pub is_alone: bool,
}

impl Trial {
    /// Returns `true` if the trial has not ended and its holder has renewed it in time.
    #[must_use]
    pub fn is_out(&self, now: Timestamp) -> bool {
        self.stage == TrialStage::Granted && now < self.until
    }

    /// Returns `true` if an endpoint has run the trial, or may have run it and its holder is lost.
    #[must_use]
    pub fn is_spent(&self, now: Timestamp) -> bool {
        self.stage == TrialStage::Ran || (self.stage == TrialStage::Granted && now >= self.until)
    }
}

/// End of a trial, as its holder reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialEnd {
    /// Name of the trial.
    pub id: TrialId,
    /// Time at which its place was requested.
    pub requested_at: Timestamp,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
}

/// Trials of a blocked content since its budget began.
///
/// Each process changes its own copy, and merges those of others. A merge depends neither on the order
/// of the copies nor on their number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrialLog {
    /// Number of budgets that were used up before.
    budget: u32,
    /// Those that ran, and those of the last turn, ordered by name.
    trials: Vec<Trial>,
}

impl TrialLog {
    /// Creates a log from records of another process.
    #[must_use]
    pub fn new(budget: u32, trials: impl IntoIterator<Item = Trial>) -> Self {
        let mut log = Self { budget, trials: Vec::new() };
        trials.into_iter().for_each(|trial| log.insert(trial));
        log.prune();
        log
    }

    /// Returns the number of budgets that were used up before.
    #[must_use]
    pub const fn budget(&self) -> u32 {
        self.budget
    }

    /// Returns the trials that ran, and those of the last turn.
    pub fn iter(&self) -> impl Iterator<Item = &Trial> {
        self.trials.iter()
    }

    /// Returns the trials that count against the budget.
    pub fn spent(&self, now: Timestamp) -> impl Iterator<Item = &Trial> {
        self.trials.iter().filter(move |trial| trial.is_spent(now))
    }

    /// Returns `true` if the trial has not ended and still belongs to its holder.
    #[must_use]
    pub fn is_held(&self, id: TrialId, now: Timestamp) -> bool {
        self.get(id).is_some_and(|trial| trial.is_out(now))
    }

    /// Returns `true` if the trial has ended.
    #[must_use]
    pub fn has_ended(&self, id: TrialId) -> bool {
        self.get(id).is_some_and(|trial| trial.stage > TrialStage::Granted)
    }

    /// Returns the time at which a trial may follow the last ones, as far as these delay it. While one is
    /// out, this is after the shortest time in which it can end.
    pub(super) fn free_at(&self, now: Timestamp) -> Timestamp {
        let free_at = |trial: &Trial| {
            if trial.is_out(now) { trial.until.min(now + TRIAL_PAUSE) } else { trial.until }
        };
        self.trials.iter().map(free_at).max().unwrap_or_default()
    }

    /// Records that a trial starts, or that its holder was granted a further place.
    /// Returns `true` if it starts.
    pub(super) fn start(
        &mut self,
        id: TrialId,
        now: Timestamp,
        requested_at: Timestamp,
        is_alone: bool,
    ) -> bool {
        if self.get(id).is_some() {
            debug_assert!(!self.has_ended(id), "the trial has ended");
            self.renew(id, now, requested_at, is_alone);
            return false;
        }
        self.begin_turn(now);
        let (stage, until) = (TrialStage::Granted, now + TRIAL_LEASE);
        let turn = self.last_turn().saturating_add(1);
        self.insert(Trial { id, stage, turn, until, requested_at, is_alone });
        self.prune();
        true
    }

    /// Settles the trials whose holders are lost, and begins the next budget if it is due.
    fn begin_turn(&mut self, now: Timestamp) {
        for trial in &mut self.trials {
            if trial.is_spent(now) {
                trial.stage = TrialStage::Ran;
            }
        }
        let last = self.spent(now).map(|trial| trial.requested_at).max();
        if self.spent(now).count() >= TRIAL_BUDGET
            && last.is_some_and(|at| now >= at + BUDGET_RENEWAL)
        {
            self.budget = self.budget.saturating_add(1);
            self.trials.clear();
        }
    }

    /// Extends the lease of a trial, which may have started elsewhere. Returns `true` if this changed
    /// the log.
    pub(super) fn renew(
        &mut self,
        id: TrialId,
        now: Timestamp,
        requested_at: Timestamp,
        is_alone: bool,
    ) -> bool {
        let until = now + TRIAL_LEASE;
        if let Some(trial) = self.get_mut(id) {
            let is_open = trial.stage == TrialStage::Granted;
            if is_open {
                trial.until = trial.until.max(until);
            }
            return is_open;
        }
        let (stage, turn) = (TrialStage::Granted, self.last_turn());
        self.insert(Trial { id, stage, turn, until, requested_at, is_alone });
        self.prune();
        true
    }

    /// Records the end of a trial. Returns `true` if this changed the log.
    pub(super) fn end(&mut self, now: Timestamp, end: TrialEnd, is_alone: bool) -> bool {
        let stage = if end.may_have_run { TrialStage::Ran } else { TrialStage::NotRun };
        let until = now + TRIAL_PAUSE;
        let known = self.get(end.id).copied();
        if known.is_none() && !end.may_have_run {
            return false;
        }
        let turn = known.map_or_else(|| self.last_turn(), |trial| trial.turn);
        let requested_at = known.map_or(end.requested_at, |trial| trial.requested_at);
        let is_new = known.is_none_or(|trial| trial.stage < stage);
        if is_new {
            self.insert(Trial { id: end.id, stage, turn, until, requested_at, is_alone });
            self.prune();
        }
        is_new
    }

    /// Merges the log of the same block in another process. Returns `true` if a trial is new or got
    /// further.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let before = self.stages();
        if other.budget > self.budget {
            *self = other.clone();
        } else if other.budget == self.budget {
            other.trials.iter().for_each(|trial| self.insert(*trial));
            self.prune();
        }
        self.stages() != before
    }

    fn stages(&self) -> Vec<(TrialId, TrialStage)> {
        self.trials.iter().map(|trial| (trial.id, trial.stage)).collect()
    }

    fn last_turn(&self) -> u32 {
        self.trials.iter().map(|trial| trial.turn).max().unwrap_or_default()
    }

    fn get(&self, id: TrialId) -> Option<&Trial> {
        self.trials.iter().find(|trial| trial.id == id)
    }

    fn get_mut(&mut self, id: TrialId) -> Option<&mut Trial> {
        self.trials.iter_mut().find(|trial| trial.id == id)
    }

    /// Adds a trial, or keeps the greater of two records of it.
    fn insert(&mut self, trial: Trial) {
        match self.trials.binary_search_by_key(&trial.id, |known| known.id) {
            Ok(index) => self.trials[index] = self.trials[index].max(trial),
            Err(index) => self.trials.insert(index, trial),
        }
    }

    /// Drops trials that did not run, except those of the last turn. A late record of one of them
    /// changes nothing, because a later turn began only after it had ended.
    fn prune(&mut self) {
        let last = self.last_turn();
        self.trials.retain(|trial| trial.stage == TrialStage::Ran || trial.turn == last);
        while self.trials.len() > MAX_TRIALS {
            let least = self.trials.iter().min_by_key(|trial| (trial.stage, trial.id)).copied();
            self.trials.retain(|trial| Some(*trial) != least);
        }
    }
}
