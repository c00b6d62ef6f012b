//! Exhaustive model of a shared quota with two processes that decide, and callers that submit work.
//!
//! Bounds: two pieces of work, of which one fits; either one lost reply, or a second submission of
//! the first one, one creator that fails and one time at which reservations are old. Views may lag
//! without limit. A pause needs no step of its own, because a process may take its next step at any
//! time.

mod support;

use std::collections::BTreeMap;

use dogwoodtray_coord::*;

use crate::support::*;

const LIMIT: u64 = 1;
const WORK_COUNT: usize = 2;
const START: Timestamp = Timestamp::ZERO;
const OLD: Timestamp = Timestamp(RESERVATION_TIMEOUT.as_micros() as u64);

/// Defect of the owner of the state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// Reports work that the process does not know of as ended, so that reservations do not count.
    IgnoresReservations,
    /// Reports that work is missing without reading the store.
    GuessesMissing,
}

/// Submission of a piece of work by its creator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Submission {
    /// The creator waits for the decision of a process.
    Waiting(usize),
    /// The work is admitted and is to be created.
    Admitted,
}

/// Existing work, as known to a process or to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Work {
    Open,
    Ended,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct View {
    known: BTreeMap<Name, Work>,
    ignores_reservations: bool,
}

impl WorkView for View {
    fn status(&self, work: &Name) -> WorkStatus {
        match self.known.get(work) {
            None if self.ignores_reservations => WorkStatus::Ended,
            None => WorkStatus::Unknown,
            Some(Work::Open) => WorkStatus::Open { units: 1 },
            Some(Work::Ended) => WorkStatus::Ended,
        }
    }

    fn for_each_open(&self, f: &mut dyn FnMut(&Name, u64)) {
        let open = self.known.iter().filter(|(_, work)| **work == Work::Open);
        open.for_each(|(name, _)| f(name, 1));
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    quota: SharedQuota,
    view: View,
    /// Work to verify, and whether it existed when the store was read.
    verifying: BTreeMap<Name, Option<bool>>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    defect: Defect,
    now: Timestamp,
    store: SimStore,
    nodes: Vec<Node>,
    /// Submissions in progress, by id.
    submissions: BTreeMap<u64, (Name, Submission)>,
    /// Number of submissions that may still start, for each piece of work.
    unsubmitted: [u8; WORK_COUNT],
    /// Existing work in the store.
    works: BTreeMap<Name, Work>,
    /// Number of creators that may still fail.
    failures: u8,
}

fn name(index: usize) -> Name {
    Name::from(format!("w{index}"))
}

impl ModelState {
    fn new(faults: Faults, failures: u8, resubmissions: u8, defect: Defect) -> Self {
        let unsubmitted = [1 + resubmissions, 1];
        let node = Node {
            quota: SharedQuota::new(ObjectKey::new("quotas", "q")),
            view: View {
                ignores_reservations: defect == Defect::IgnoresReservations,
                ..View::default()
            },
            verifying: BTreeMap::new(),
        };
        Self {
            defect,
            now: START,
            store: SimStore::new(faults),
            nodes: vec![node; 2],
            submissions: BTreeMap::new(),
            unsubmitted,
            works: BTreeMap::new(),
            failures,
        }
    }

    fn drive(&mut self, index: usize, event: QuotaEvent) {
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        node.quota.handle(self.now, event, &node.view, &mut out);
        for action in out {
            match action {
                QuotaAction::Call { call, op } => self.store.send(index, 0, call, op),
                QuotaAction::Decide { id, decision: QuotaDecision::Admitted } => {
                    if let Some((_, submission)) = self.submissions.get_mut(&id) {
                        *submission = Submission::Admitted;
                    }
                }
                QuotaAction::Decide { id, .. } => {
                    self.submissions.remove(&id);
                }
                QuotaAction::Verify { work } => {
                    self.nodes[index].verifying.insert(work, None);
                }
            }
        }
    }

    /// Returns the units that a process holds once it has verified all old reservations.
    fn held_in_the_end(&self) -> u64 {
        let mut state = self.clone();
        state.now = state.now + RESERVATION_TIMEOUT;
        for index in 0..state.nodes.len() {
            state.drive(index, QuotaEvent::Tick);
            for work in std::mem::take(&mut state.nodes[index].verifying).into_keys() {
                match state.works.get(&work).copied() {
                    Some(work_state) => {
                        state.nodes[index].view.known.insert(work, work_state);
                    }
                    None => state.drive(index, QuotaEvent::Missing { work }),
                }
            }
        }
        state.nodes.iter().map(|node| node.quota.held(&node.view)).sum()
    }

    fn submission_steps(&self, steps: &mut Vec<Self>) {
        for work in 0..WORK_COUNT {
            for index in 0..self.nodes.len() {
                if self.unsubmitted[work] == 0 {
                    continue;
                }
                let mut next = self.clone();
                next.unsubmitted[work] -= 1;
                let id = 10 * work as u64 + u64::from(next.unsubmitted[work]);
                next.submissions.insert(id, (name(work), Submission::Waiting(index)));
                let request = QuotaRequest { id, work: name(work), units: 1, limit: LIMIT };
                next.drive(index, QuotaEvent::Request(request));
                steps.push(next);
            }
        }
        for (id, (work, submission)) in &self.submissions {
            if *submission == Submission::Admitted {
                let mut created = self.clone();
                created.submissions.remove(id);
                created.works.entry(Name::clone(work)).or_insert(Work::Open);
                steps.push(created);
            }
            if self.failures > 0 {
                let mut failed = self.clone();
                failed.failures -= 1;
                failed.submissions.remove(id);
                steps.push(failed);
            }
        }
    }

    /// Adds the steps in which work ends, and in which processes learn of work.
    fn work_steps(&self, steps: &mut Vec<Self>) {
        for (work, state) in &self.works {
            if *state == Work::Open {
                let mut ended = self.clone();
                ended.works.insert(Name::clone(work), Work::Ended);
                steps.push(ended);
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].view.known.get(work) != Some(state) {
                    let mut learned = self.clone();
                    learned.nodes[index].view.known.insert(Name::clone(work), *state);
                    steps.push(learned);
                }
            }
        }
    }

    fn verify_steps(&self, steps: &mut Vec<Self>) {
        for (index, node) in self.nodes.iter().enumerate() {
            for (work, existed) in &node.verifying {
                let mut next = self.clone();
                let Some(existed) = existed else {
                    let exists =
                        self.works.contains_key(work) && self.defect != Defect::GuessesMissing;
                    next.nodes[index].verifying.insert(Name::clone(work), Some(exists));
                    steps.push(next);
                    continue;
                };
                next.nodes[index].verifying.remove(work);
                if *existed {
                    let state = self.works[work];
                    next.nodes[index].view.known.insert(Name::clone(work), state);
                } else {
                    next.drive(index, QuotaEvent::Missing { work: Name::clone(work) });
                }
                steps.push(next);
            }
        }
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for store in self.store.steps() {
            steps.push(Self { store, ..self.clone() });
        }
        for (call_key, reply, store) in self.store.deliveries() {
            let mut next = Self { store, ..self.clone() };
            next.drive(call_key.node, QuotaEvent::Reply { call: call_key.call, reply });
            steps.push(next);
        }
        self.submission_steps(&mut steps);
        self.work_steps(&mut steps);
        self.verify_steps(&mut steps);
        // Creators acknowledge work long before its reservation is old, and late writes of the
        // store take effect before that as well.
        if self.failures == 0
            && self.now == START
            && self.submissions.is_empty()
            && self.store.delayed_writes.is_empty()
        {
            let mut next = self.clone();
            next.now = OLD;
            for index in 0..next.nodes.len() {
                next.drive(index, QuotaEvent::Tick);
            }
            steps.push(next);
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        let open = self.works.values().filter(|work| **work == Work::Open).count();
        if open as u64 > LIMIT {
            return Err(format!("{open} pieces of work are open"));
        }
        if !is_end {
            return Ok(());
        }
        let held = self.held_in_the_end();
        if held > 0 {
            return Err(format!("{held} units are held after all work has ended"));
        }
        if !self.submissions.is_empty() {
            return Err("a submission without a decision".into());
        }
        Ok(())
    }
}

/// Guards against more open work than the limit, and reservations that are never released, with two
/// processes that decide at the same time and a write that the store applies late.
#[test]
fn open_work_stays_within_the_limit_after_a_late_write() {
    let faults = Faults { lost: 1, ..Faults::default() };
    assert_eq!(explore("quota", ModelState::new(faults, 0, 0, Defect::None)).err(), None);
}

/// As [`open_work_stays_within_the_limit_after_a_late_write`], with a creator that fails, so that
/// its reservation is released, and whose work is submitted again meanwhile.
#[test]
fn open_work_stays_within_the_limit_after_a_failed_creator() {
    let state = ModelState::new(Faults::default(), 1, 1, Defect::None);
    assert_eq!(explore("quota, failed creator", state).err(), None);
}

/// Checks that the model detects a record that is overwritten by a process that does not know its
/// current version.
#[test]
fn model_detects_unconditional_store() {
    let faults = Faults { is_unconditional: true, ..Faults::default() };
    let state = ModelState::new(faults, 0, 1, Defect::None);
    assert!(explore("quota, unconditional store", state).is_err());
}

/// Checks that the model detects reservations that do not count before their work is known.
#[test]
fn model_detects_ignored_reservations() {
    let state = ModelState::new(Faults::default(), 0, 1, Defect::IgnoresReservations);
    assert!(explore("quota, reservations ignored", state).is_err());
}

/// Checks that the model detects a reservation that is released although its work exists.
#[test]
fn model_detects_guessed_missing_work() {
    let state = ModelState::new(Faults::default(), 0, 1, Defect::GuessesMissing);
    assert!(explore("quota, missing work guessed", state).is_err());
}
