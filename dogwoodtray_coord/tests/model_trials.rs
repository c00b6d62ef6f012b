//! Exhaustive model of the trials of a blocked content, with two processes that may start them and the
//! requests that hold them.
//!
//! Bounds: four requests, one holder that is lost, one assigner that is lost, and three steps of time of
//! the length of a pause, each as long as a lease if a holder was lost. Any earlier state of a process
//! may reach the other one at any time, any number of times.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::support::*;

const CONTENT: ContentHash = ContentHash(7);
const RIVAL: ContentHash = ContentHash(8);

/// Trials of a content that may reach endpoints.
const BUDGET: usize = 3;

/// Requests that may start trials.
const REQUESTS: u64 = 4;

/// Time at which the content is blocked and its first trial is due.
const START: Timestamp = Timestamp(100_000_000);

/// Defect of the processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// The end of a trial is kept from the processes, so that it only lapses.
    ForgetsEnds,
    /// Each request of a trial that told nothing ends as one that did not run.
    ForgetsRuns,
    /// Both processes start trials while they are in touch.
    StartsAnywhere,
}

/// What has become of a trial, in the eyes of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Truth {
    /// Its request holds a place and has not reached an endpoint.
    Out,
    /// Its request has reached an endpoint and has not ended.
    Running,
    Ended,
    /// Its holder was lost.
    Lost,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    defect: Defect,
    now: Timestamp,
    /// The block, as each process knows it.
    blocks: [Block; 2],
    /// Earlier states of the block at each process, which may reach the other one.
    sent: [BTreeSet<usize>; 2],
    history: Vec<Block>,
    /// Whether the first process, which starts the trials, is lost.
    is_first_lost: bool,
    trials: BTreeMap<u64, Truth>,
    /// Number of requests that have reached an endpoint.
    reached: usize,
    /// Whether a trial crashed its endpoint.
    has_crashed: bool,
    lost_holders: u8,
    /// Number of lost holders whose requests have not reached an endpoint, which nobody else knows.
    lost_unsent: usize,
}

fn id(number: u64) -> TrialId {
    TrialId { holder: Incarnation(number), number }
}

fn block() -> Block {
    Block {
        content: CONTENT,
        pattern: CrashPattern::AtStart,
        crashes: 2,
        first_crash: Timestamp(98_000_000),
        last_crash: Timestamp(99_000_000),
        trial_at: START + Duration::from_secs(14),
        lone_trial_at: START,
        item_trial_at: START + Duration::from_secs(11),
        trials: TrialLog::default(),
        rivals: vec![RIVAL],
    }
}

/// Applies a change to the block, as a process does with its list.
fn change<T>(block: &mut Block, change: impl FnOnce(&mut Blocklist) -> T) -> T {
    let mut list = Blocklist::new(4);
    list.merge(block.clone());
    let result = change(&mut list);
    *block = list.get(CONTENT).expect("the block").clone();
    result
}

impl ModelState {
    fn new(defect: Defect) -> Self {
        Self {
            defect,
            now: START,
            blocks: [block(), block()],
            sent: [BTreeSet::new(), BTreeSet::new()],
            history: Vec::new(),
            is_first_lost: false,
            trials: BTreeMap::new(),
            reached: 0,
            has_crashed: false,
            lost_holders: 0,
            lost_unsent: 0,
        }
    }

    /// Sends the block of a process to the other one, at some time.
    fn broadcast(&mut self, process: usize) {
        let block = &self.blocks[process];
        let known = self.history.iter().position(|known| known == block);
        let index = known.unwrap_or_else(|| {
            self.history.push(block.clone());
            self.history.len() - 1
        });
        self.sent[process].insert(index);
    }

    fn live(&self) -> impl Iterator<Item = usize> + use<> {
        usize::from(self.is_first_lost)..2
    }

    /// Returns the processes that start trials. Those in touch have exchanged what they know.
    fn assigners(&self) -> Vec<usize> {
        match self.defect {
            Defect::StartsAnywhere => self.live().collect(),
            _ => self.live().take(1).collect(),
        }
    }

    fn start_steps(&self, steps: &mut Vec<Self>) {
        let number = self.trials.len() as u64 + 1;
        if number > REQUESTS {
            return;
        }
        for process in self.assigners() {
            let mut next = self.clone();
            let started = change(&mut next.blocks[process], |list| {
                list.start_trial(TrialSubject::Request, self.now, &[CONTENT], id(number), self.now)
            });
            if started.is_ok() {
                next.trials.insert(number, Truth::Out);
                next.broadcast(process);
                steps.push(next);
            }
        }
    }

    /// Ends a trial at the processes that are reached.
    fn end(&self, number: u64, may_have_run: bool) -> Self {
        let mut next = self.clone();
        next.trials.insert(number, Truth::Ended);
        let may_have_run = may_have_run && self.defect != Defect::ForgetsRuns;
        if self.defect == Defect::ForgetsEnds {
            return next;
        }
        for process in self.live() {
            let end = TrialEnd { id: id(number), requested_at: self.now, may_have_run };
            change(&mut next.blocks[process], |list| list.end_trial(self.now, &[CONTENT], end));
            next.broadcast(process);
        }
        next
    }

    fn trial_steps(&self, steps: &mut Vec<Self>) {
        for (number, truth) in &self.trials {
            match truth {
                Truth::Out => {
                    let mut sent = self.clone();
                    sent.trials.insert(*number, Truth::Running);
                    sent.reached += 1;
                    steps.push(sent);
                    steps.push(self.end(*number, false));
                }
                Truth::Running => {
                    steps.push(self.end(*number, true));
                    let mut crashed = self.end(*number, true);
                    crashed.has_crashed = true;
                    for process in crashed.live() {
                        crashed.blocks[process].last_crash = self.now;
                        crashed.broadcast(process);
                    }
                    steps.push(crashed);
                }
                Truth::Ended | Truth::Lost => continue,
            }
            if self.lost_holders == 0 {
                let mut lost = self.clone();
                lost.lost_holders += 1;
                lost.lost_unsent += usize::from(*truth == Truth::Out);
                lost.trials.insert(*number, Truth::Lost);
                steps.push(lost);
            }
        }
    }

    fn frame_steps(&self, steps: &mut Vec<Self>) {
        for to in self.live() {
            for index in &self.sent[1 - to] {
                let mut next = self.clone();
                let frame = self.history[*index].clone();
                change(&mut next.blocks[to], |list| list.merge(frame));
                steps.push(next);
            }
        }
    }

    /// Returns the state after all trials that are out were renewed and time passed.
    fn later(&self, passed: Duration) -> Self {
        let mut next = self.clone();
        next.now = self.now + passed;
        for (number, truth) in &self.trials {
            if matches!(truth, Truth::Out | Truth::Running) {
                for process in self.live() {
                    change(&mut next.blocks[process], |list| {
                        list.renew_trial(next.now, &[CONTENT], id(*number), self.now)
                    });
                    next.broadcast(process);
                }
            }
        }
        next
    }

    fn is_out(&self) -> bool {
        self.trials.values().any(|truth| matches!(truth, Truth::Out | Truth::Running))
    }

    /// Returns the trials of which a process must assume that they reached an endpoint.
    fn spent(&self) -> usize {
        self.reached + self.lost_unsent
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        self.start_steps(&mut steps);
        self.trial_steps(&mut steps);
        self.frame_steps(&mut steps);
        if self.now < START + 3 * TRIAL_PAUSE {
            steps.push(self.later(TRIAL_PAUSE));
        }
        if self.lost_holders > 0 && self.now < START + TRIAL_LEASE {
            steps.push(self.later(TRIAL_LEASE));
        }
        // The other process has heard of what the first one did before that is lost.
        let has_heard = {
            let mut merged = self.blocks[1].clone();
            change(&mut merged, |list| list.merge(self.blocks[0].clone()));
            merged == self.blocks[1]
        };
        if !self.is_first_lost && has_heard {
            steps.push(Self { is_first_lost: true, ..self.clone() });
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, _is_end: bool) -> Result<(), String> {
        if self.reached > BUDGET {
            return Err(format!("{} requests have reached endpoints", self.reached));
        }
        let out = self.trials.values().filter(|truth| matches!(truth, Truth::Out | Truth::Running));
        if out.count() > 1 {
            return Err("two trials are out".into());
        }
        let process = self.assigners()[0];
        let delay = if self.lost_holders == 0 { TRIAL_PAUSE } else { TRIAL_LEASE + TRIAL_PAUSE };
        let later = self.now + delay;
        let mut block = self.blocks[process].clone();
        let next = change(&mut block, |list| {
            list.check_trial(TrialSubject::Request, later, &[CONTENT], id(REQUESTS + 1))
        });
        let is_owed = !self.is_out() && !self.has_crashed && self.spent() < BUDGET;
        if is_owed && let Err(left) = next {
            return Err(format!("no trial is due for {left:?} after {delay:?}"));
        }
        Ok(())
    }
}

/// Guards against more requests with a blocked content that reach endpoints than its budget, against two
/// trials at the same time, and against a trial that told nothing and keeps the next one waiting, in
/// every order of requests, frames and losses.
#[test]
fn trials_keep_both_bounds_in_every_order() {
    assert_eq!(explore("trials", ModelState::new(Defect::None)).err(), None);
}

/// Checks that the model detects trials that are not given back.
#[test]
fn model_detects_trials_that_only_lapse() {
    assert!(explore("trials, ends lost", ModelState::new(Defect::ForgetsEnds)).is_err());
}

/// Checks that the model detects runs that do not count.
#[test]
fn model_detects_runs_that_do_not_count() {
    assert!(explore("trials, runs not counted", ModelState::new(Defect::ForgetsRuns)).is_err());
}

/// Checks that the model detects two processes that both start trials.
#[test]
fn model_detects_trials_that_start_anywhere() {
    let state = ModelState::new(Defect::StartsAnywhere);
    assert!(explore("trials, two assigners", state).is_err());
}
