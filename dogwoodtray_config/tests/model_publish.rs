//! Exhaustive model of publications that race for a generation, with lost replies.
//!
//! Bounds: two operators who may each publish again on top of what is in force; either three
//! publications in all and one lost reply, or two publications and two lost replies.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
#[path = "../../dogwoodtray_coord/tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use common::models;
use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::Pointer;
use dogwoodtray_config::Publication;
use dogwoodtray_config::PublicationRequest;
use dogwoodtray_config::PublicationResult;
use dogwoodtray_config::PublicationStep;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::current_key;
use dogwoodtray_coord::CallId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::WriteStamp;
use support::Faults;
use support::Model;
use support::Net;
use support::explore;
use support::incarnation;

const OPERATORS: usize = 2;

/// How the environment is broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// All publications carry the same stamp.
    SharedStamp,
    /// A proxy in front of the store changes the parent that a set names.
    WrongParent,
}

/// A publication under way. Its state is compared by its text, which tells all of it.
#[derive(Clone, Debug)]
struct Operator {
    number: u64,
    publication: Publication,
    text: String,
}

impl Operator {
    fn new(number: u64, publication: Publication) -> Self {
        let text = format!("{number} {publication:?}");
        Self { number, publication, text }
    }
}

impl PartialEq for Operator {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Operator {}

impl Hash for Operator {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct World {
    net: Net,
    defect: Defect,
    operators: Vec<Option<Operator>>,
    started: u64,
    publications: u64,
    /// Which publication brought each generation into force.
    in_force: BTreeMap<Generation, u64>,
    violation: Option<String>,
}

impl World {
    fn new(publications: u64, faults: Faults, defect: Defect) -> Self {
        Self {
            net: Net::new(faults),
            defect,
            operators: vec![None; OPERATORS],
            publications,
            ..Self::default()
        }
    }

    /// Starts a publication on top of what is in force. It adds an object of its own.
    fn start(mut self, operator: usize) -> Self {
        let pointer = self.net.value(&current_key()).map(|value| Pointer::decode(value).unwrap());
        let base = pointer.map(|pointer| pointer.set);
        let mut edited = base.map_or_else(ObjectSet::new, |set| {
            Snapshot::decode(self.net.value(&set.key()).unwrap()).unwrap().0.objects()
        });
        let number = self.started;
        edited.append(models(&[(&format!("m{number}"), 1)]));
        let seq = if self.defect == Defect::SharedStamp { 0 } else { number };
        let stamp = WriteStamp { incarnation: incarnation(0), seq };
        let note = Arc::from(number.to_string());
        let mut publication = Publication::new(PublicationRequest { base, edited, stamp, note });
        self.started += 1;
        let step = publication.start();
        self.take(operator, number, publication, step)
    }

    fn on_reply(self, operator: usize, reply: StoreReply) -> Self {
        let Some(Operator { number, mut publication, .. }) = self.operators[operator].clone()
        else {
            return self;
        };
        // Ancestors of the pointer that won are read once this one may have moved it.
        let is_traced = publication.may_have_effect();
        let reply = if is_traced { self.defect.distort(reply) } else { reply };
        let step = publication.on_reply(reply);
        self.take(operator, number, publication, step)
    }

    /// Runs the next call, also after a wait: the model decides when a step happens.
    fn take(
        mut self,
        operator: usize,
        number: u64,
        publication: Publication,
        step: PublicationStep,
    ) -> Self {
        if let PublicationStep::Finished(result) = step {
            self.operators[operator] = None;
            self.check_result(number, &result);
            return self;
        }
        if let Some(op) = publication.next_call() {
            self.net.send(operator, 0, CallId(0), op);
        }
        self.operators[operator] = Some(Operator::new(number, publication));
        self
    }

    fn check_result(&mut self, number: u64, result: &PublicationResult) {
        let is_in_force = || self.in_force.values().any(|n| *n == number);
        let is_true = match result {
            PublicationResult::Published { set, .. } => {
                self.in_force.get(&set.generation) == Some(&number)
            }
            PublicationResult::Conflict { theirs: Some(_), .. }
            | PublicationResult::BaseNeeded { .. } => !is_in_force(),
            _ => false,
        };
        if !is_true {
            self.violation = Some(format!("publication {number} was told {result:?}"));
        }
    }

    /// Records which publication the pointer names after a write.
    fn check_write(&mut self) {
        let write = self.net.last_write.take().filter(|write| write.key == current_key());
        let Some(value) = write.and_then(|write| write.after) else {
            return;
        };
        let pointer = Pointer::decode(&value).unwrap();
        let generation = pointer.set.generation;
        let last = self.in_force.keys().next_back().map_or(Generation(0), |last| *last);
        self.in_force.insert(generation, pointer.note.parse().unwrap());
        if generation != last.next() {
            self.violation = Some(format!("{generation:?} follows {last:?}"));
        }
        if self.net.value(&pointer.set.key()).is_none() {
            self.violation = Some("the pointer names a set that does not exist".into());
        }
    }
}

impl Defect {
    fn distort(self, reply: StoreReply) -> StoreReply {
        let StoreReply::Found { version, value } = &reply else { return reply };
        let (Self::WrongParent, Ok((snapshot, _))) = (self, Snapshot::decode(value)) else {
            return reply;
        };
        let mut parent = Snapshot::empty();
        while parent.generation().next() < snapshot.generation() {
            parent = parent.next(ContentHash(0), ObjectSet::new());
        }
        let wrong = parent.next(ContentHash(!snapshot.parent().0), snapshot.objects());
        StoreReply::Found { version: *version, value: wrong.encode().unwrap().bytes }
    }
}

impl Model for World {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for net in self.net.steps() {
            let mut next = Self { net, ..self.clone() };
            next.check_write();
            steps.push(next);
        }
        for (name, reply, net) in self.net.deliveries() {
            let next = Self { net, ..self.clone() };
            steps.push(next.on_reply(name.node, reply));
        }
        for operator in 0..OPERATORS {
            if self.operators[operator].is_none() && self.started < self.publications {
                steps.push(self.clone().start(operator));
            }
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        if is_end && self.operators.iter().any(Option::is_some) {
            return Err("an operator was never told the result".into());
        }
        Ok(())
    }
}

const FAULTS: Faults = Faults { lost: 1, refused: 0, is_unconditional: false };

/// Guards against two winners of a generation and against a wrong report to an operator.
#[test]
fn each_generation_has_one_winner() {
    assert_eq!(explore("publish", World::new(3, FAULTS, Defect::None)).err(), None);
}

/// Guards against the same with more faults and fewer publications.
#[test]
fn each_generation_has_one_winner_with_more_faults() {
    let faults = Faults { lost: 2, refused: 0, is_unconditional: false };
    let world = World::new(2, faults, Defect::None);
    assert_eq!(explore("publish, more faults", world).err(), None);
}

/// Guards against a model that cannot see a lost publication.
#[test]
fn unconditional_store_is_caught() {
    let faults = Faults { is_unconditional: true, ..FAULTS };
    assert!(explore("publish, unconditional store", World::new(3, faults, Defect::None)).is_err());
}

/// Guards against a loser that takes the stamp of the winner for its own.
#[test]
fn shared_stamp_is_caught() {
    assert!(explore("publish, shared stamp", World::new(3, FAULTS, Defect::SharedStamp)).is_err());
}

/// Guards against a winner that is told of a conflict because others published after it.
#[test]
fn wrong_parent_is_caught() {
    let world = World::new(3, FAULTS, Defect::WrongParent);
    assert!(explore("publish, wrong parent", world).is_err());
}
