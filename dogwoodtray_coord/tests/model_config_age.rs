//! Exhaustive model of the proven age of the configuration.
//!
//! Bounds: a driver that reads the store, a gateway that asks it, and a second gateway that asks the
//! first one; one revocation in the first half of the bound; a read that has ended and one that
//! follows; one check of each gateway; four steps of the time, of half the bound each. Reads, frames and configurations arrive after any delay or
//! never. A freeze or a suspension of a process needs no step of its own, because the time may
//! advance between any two steps of a process.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::support::*;

const BOUND: Duration = Duration::from_secs(2);
/// Step of the time.
const STEP: Duration = Duration::from_secs(1);
const END: Timestamp = Timestamp(14_000_000);
/// Clocks start long before the model, as those of machines that were not just booted.
const START: Timestamp = Timestamp(10_000_000);
const DRIVER: usize = 0;
const PROCESSES: usize = 3;

/// Defect of the owner of the state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// The driver counts the age from the end of its read.
    ReadCountsFromEnd,
    /// The driver reads a replica that may be stale.
    StaleRead,
    /// A gateway counts the age from the arrival of the answer.
    AnswerCountsFromArrival,
    /// A proof counts for the older configuration in force.
    GenerationIgnored,
    /// A configuration that arrives by a watch counts as proven at that time.
    WatchProves,
}

/// Answer on its way, or a check if `proof` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: usize,
    token: u64,
    sent_at: Timestamp,
    proof: Option<(Generation, Duration)>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    defect: Defect,
    now: Timestamp,
    /// Shared between states, of which there are many.
    ages: Vec<Rc<ConfigAge>>,
    held: [Generation; PROCESSES],
    /// Read of the driver: the generation that the store has answered with, if it has.
    read: Option<Option<Generation>>,
    messages: BTreeSet<Message>,
    /// Time at which the store acknowledged the revocation.
    revoked_at: Option<Timestamp>,
    /// Whether the driver has started its second read.
    has_read: bool,
    /// Whether a process has sent its check.
    checked: [bool; PROCESSES],
}

impl ModelState {
    fn new(defect: Defect) -> Self {
        let held = [Generation(1); PROCESSES];
        let mut age = ConfigAge::new(BOUND, 0);
        age.on_config(Timestamp::ZERO, held[DRIVER]);
        let without_proof = Rc::new(age.clone());
        let mut ages = vec![without_proof; PROCESSES];
        age.start_read(START);
        age.on_read(START, Some(held[DRIVER]));
        ages[DRIVER] = Rc::new(age);
        Self {
            defect,
            now: START,
            ages,
            held,
            read: None,
            messages: BTreeSet::new(),
            revoked_at: None,
            has_read: false,
            checked: [false; PROCESSES],
        }
    }

    fn newest(&self) -> Generation {
        Generation(if self.revoked_at.is_some() { 2 } else { 1 })
    }

    fn age_mut(&mut self, process: usize) -> &mut ConfigAge {
        Rc::make_mut(&mut self.ages[process])
    }

    /// Puts a configuration in force at a process.
    fn apply(&mut self, process: usize, generation: Generation) {
        if generation <= self.held[process] {
            return;
        }
        self.held[process] = generation;
        let now = self.now;
        self.age_mut(process).on_config(now, generation);
    }

    fn read_steps(&self, steps: &mut Vec<Self>) {
        match self.read {
            None if !self.has_read => {
                let mut next = self.clone();
                next.has_read = true;
                next.read = Some(None);
                next.age_mut(DRIVER).start_read(self.now);
                steps.push(next);
            }
            None => {}
            Some(None) => {
                let mut answered = self.clone();
                let is_stale = self.defect == Defect::StaleRead;
                answered.read = Some(Some(if is_stale { Generation(1) } else { self.newest() }));
                steps.push(answered);
            }
            Some(Some(generation)) => {
                let mut ended = self.clone();
                ended.read = None;
                ended.apply(DRIVER, generation);
                if self.defect == Defect::ReadCountsFromEnd {
                    ended.age_mut(DRIVER).on_read(self.now, None);
                    ended.age_mut(DRIVER).start_read(self.now);
                }
                ended.age_mut(DRIVER).on_read(self.now, Some(generation));
                steps.push(ended);
            }
        }
    }

    fn check_steps(&self, steps: &mut Vec<Self>) {
        for process in 1..PROCESSES {
            if self.checked[process] {
                continue;
            }
            let mut next = self.clone();
            next.checked[process] = true;
            let token = next.age_mut(process).start_check(self.now);
            let check = Message { from: process, token, sent_at: self.now, proof: None };
            next.messages.insert(check);
            steps.push(next);
        }
        for message in &self.messages {
            let process = message.from;
            let mut next = self.clone();
            next.messages.remove(message);
            let Some((generation, age)) = message.proof else {
                // Each process asks the one before it.
                let proof = self.ages[process - 1].proof_for_peer(self.now);
                if proof.is_some() {
                    next.messages.insert(Message { proof, ..*message });
                    steps.push(next);
                }
                continue;
            };
            let passed = self.now - message.sent_at;
            let age = match self.defect {
                Defect::AnswerCountsFromArrival => age.saturating_sub(passed),
                _ => age,
            };
            let generation = match self.defect {
                Defect::GenerationIgnored => generation.min(self.held[process]),
                _ => generation,
            };
            let token = match self.defect {
                Defect::AnswerCountsFromArrival => next.age_mut(process).start_check(self.now),
                _ => message.token,
            };
            next.age_mut(process).on_answer(self.now, token, generation, age);
            steps.push(next);
        }
    }

    /// Adds the steps in which the configuration reaches processes by watches.
    fn config_steps(&self, steps: &mut Vec<Self>) {
        for process in 0..PROCESSES {
            let is_watch_proof = self.defect == Defect::WatchProves;
            if self.held[process] == self.newest() && !is_watch_proof {
                continue;
            }
            let mut next = self.clone();
            if is_watch_proof {
                // The silent watch repeats what it has reported before.
                let token = next.age_mut(process).start_check(self.now);
                let held = self.held[process];
                next.age_mut(process).on_answer(self.now, token, held, Duration::ZERO);
            } else {
                next.apply(process, self.newest());
            }
            steps.push(next);
        }
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        if self.now < END {
            let mut next = self.clone();
            next.now = self.now + STEP;
            steps.push(next);
        }
        if self.revoked_at.is_none() && self.now <= START + STEP {
            let mut next = self.clone();
            next.revoked_at = Some(self.now);
            steps.push(next);
        }
        self.read_steps(&mut steps);
        self.check_steps(&mut steps);
        self.config_steps(&mut steps);
        steps
    }

    fn check(&self, _is_end: bool) -> Result<(), String> {
        let Some(revoked_at) = self.revoked_at else { return Ok(()) };
        let is_late = self.now - revoked_at > BOUND;
        for (process, age) in self.ages.iter().enumerate() {
            if is_late && self.held[process] < self.newest() && age.verify(self.now).is_ok() {
                let since = self.now - revoked_at;
                return Err(format!("process {process} accepts a key revoked {since:?} ago"));
            }
        }
        Ok(())
    }
}

/// Guards against a key that a process accepts more than the bound after its revocation, through
/// late reads, late frames, frozen processes and relayed proofs.
#[test]
fn no_process_accepts_a_key_past_the_bound() {
    assert_eq!(explore("config age", ModelState::new(Defect::None)).err(), None);
}

/// Checks that the model reaches states in which keys are accepted, so that the bound is not kept by
/// accepting none.
#[test]
fn model_reaches_accepted_keys() {
    let mut state = ModelState::new(Defect::None);
    assert!(state.ages[DRIVER].verify(START + BOUND / 2).is_ok());
    state.revoked_at = Some(START);
    state.now = START + BOUND / 2;
    assert_eq!(state.check(false), Ok(()));
}

/// Checks that the model detects an age that counts from the end of a read.
#[test]
fn model_detects_a_read_that_counts_from_its_end() {
    assert!(
        explore("config age, end of read", ModelState::new(Defect::ReadCountsFromEnd)).is_err()
    );
}

/// Checks that the model detects reads of a stale replica.
#[test]
fn model_detects_a_stale_read() {
    assert!(explore("config age, stale read", ModelState::new(Defect::StaleRead)).is_err());
}

/// Checks that the model detects an age that counts from the arrival of an answer.
#[test]
fn model_detects_an_answer_that_counts_from_its_arrival() {
    let state = ModelState::new(Defect::AnswerCountsFromArrival);
    assert!(explore("config age, arrival of answer", state).is_err());
}

/// Checks that the model detects a proof that counts without its configuration.
#[test]
fn model_detects_an_ignored_generation() {
    let state = ModelState::new(Defect::GenerationIgnored);
    assert!(explore("config age, generation ignored", state).is_err());
}

/// Checks that the model detects a watch that counts as a proof.
#[test]
fn model_detects_a_watch_that_proves() {
    assert!(explore("config age, watch", ModelState::new(Defect::WatchProves)).is_err());
}
