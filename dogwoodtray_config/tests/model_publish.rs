//! Exhaustive model check of concurrent publications of the same generation with lost replies.
//!
//! The model is limited to two operators, who may each publish again on top of the current set. It
//! covers either three publications in total and one lost reply, or two publications and two lost
//! replies.

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
use support::SimStore;
use support::explore;
use support::incarnation;

const OPERATORS: usize = 2;

/// Defect that is injected into the environment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Defect {
    #[default]
    None,
    /// All publications use the same stamp.
    SharedStamp,
    /// A proxy in front of the store changes the parent hash of the sets that are read.
    WrongParent,
}

/// A publication in progress. It is compared by its debug output, which contains its full state.
#[derive(Clone, Debug)]
struct Operator {
    number: u64,
    publication: Publication,
    state_text: String,
}

impl Operator {
    fn new(number: u64, publication: Publication) -> Self {
        let state_text = format!("{number} {publication:?}");
        Self { number, publication, state_text }
    }
}

impl PartialEq for Operator {
    fn eq(&self, other: &Self) -> bool {
        self.state_text == other.state_text
    }
}

impl Eq for Operator {}

impl Hash for Operator {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state_text.hash(state);
    }
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct World {
    store: SimStore,
    defect: Defect,
    operators: Vec<Option<Operator>>,
    started: u64,
    publications: u64,
    /// Number of the publication that published each generation.
    published_by: BTreeMap<Generation, u64>,
    violation: Option<String>,
}

impl World {
    fn new(publications: u64, faults: Faults, defect: Defect) -> Self {
        Self {
            store: SimStore::new(faults),
            defect,
            operators: vec![None; OPERATORS],
            publications,
            ..Self::default()
        }
    }

    /// Starts a publication on top of the current set. Each publication adds a different object.
    fn start(mut self, operator: usize) -> Self {
        let pointer = self.store.value(&current_key()).map(|value| Pointer::decode(value).unwrap());
        let base = pointer.map(|pointer| pointer.set);
        let mut edited = base.map_or_else(ObjectSet::new, |set| {
            Snapshot::decode(self.store.value(&set.key()).unwrap()).unwrap().0.objects()
        });
        let number = self.started;
        edited.append(models(&[(&format!("m{number}"), 1)]));
        let seq = if self.defect == Defect::SharedStamp { 0 } else { number };
        let stamp = WriteStamp { incarnation: incarnation(0), seq };
        let note = Arc::from(number.to_string());
        let mut publication = Publication::new(PublicationRequest { base, edited, stamp, note });
        self.started += 1;
        let step = publication.start();
        self.apply_step(operator, number, publication, step)
    }

    fn on_reply(self, operator: usize, reply: StoreReply) -> Self {
        let Some(Operator { number, mut publication, .. }) = self.operators[operator].clone()
        else {
            return self;
        };
        // From the pointer write on, the only sets that the publication reads are the current set
        // and its ancestors.
        let reads_ancestors = publication.may_have_effect();
        let reply = if reads_ancestors { self.defect.corrupt(reply) } else { reply };
        let step = publication.on_reply(reply);
        self.apply_step(operator, number, publication, step)
    }

    /// Applies a step of a publication and sends its next call.
    ///
    /// A wait has no duration, because the model checker decides when a call is executed.
    fn apply_step(
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
            self.store.send(operator, 0, CallId(0), op);
        }
        self.operators[operator] = Some(Operator::new(number, publication));
        self
    }

    fn check_result(&mut self, number: u64, result: &PublicationResult) {
        let was_published = || self.published_by.values().any(|n| *n == number);
        let is_correct = match result {
            PublicationResult::Published { set, .. } => {
                self.published_by.get(&set.generation) == Some(&number)
            }
            PublicationResult::Conflict { theirs: Some(_), .. }
            | PublicationResult::BaseNeeded { .. } => !was_published(),
            _ => false,
        };
        if !is_correct {
            self.violation =
                Some(format!("publication {number} reported a wrong result: {result:?}"));
        }
    }

    /// Checks a write of the pointer and records the publication that it belongs to.
    fn check_write(&mut self) {
        let write = self.store.last_write.take().filter(|write| write.key == current_key());
        let Some(value) = write.and_then(|write| write.after) else {
            return;
        };
        let pointer = Pointer::decode(&value).unwrap();
        let generation = pointer.set.generation;
        let last = self.published_by.keys().next_back().map_or(Generation(0), |last| *last);
        self.published_by.insert(generation, pointer.note.parse().unwrap());
        if generation != last.next() {
            self.violation = Some(format!("{generation:?} follows {last:?}"));
        }
        if self.store.value(&pointer.set.key()).is_none() {
            self.violation = Some("the pointer refers to a set that does not exist".into());
        }
    }
}

impl Defect {
    fn corrupt(self, reply: StoreReply) -> StoreReply {
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
        for store in self.store.steps() {
            let mut next = Self { store, ..self.clone() };
            next.check_write();
            steps.push(next);
        }
        for (name, reply, store) in self.store.deliveries() {
            let next = Self { store, ..self.clone() };
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
            return Err("a publication never finished".into());
        }
        Ok(())
    }
}

const FAULTS: Faults = Faults { lost: 1, refused: 0, is_unconditional: false };

/// Guards against two publications that both succeed with the same generation, and against wrong
/// results.
#[test]
fn each_generation_is_published_once() {
    assert_eq!(explore("publish", World::new(3, FAULTS, Defect::None)).err(), None);
}

/// Guards against the same failures with more lost replies and fewer publications.
#[test]
fn each_generation_is_published_once_with_more_faults() {
    let faults = Faults { lost: 2, refused: 0, is_unconditional: false };
    let world = World::new(2, faults, Defect::None);
    assert_eq!(explore("publish, more faults", world).err(), None);
}

/// Guards against a model that fails to detect a lost publication. A store that ignores the
/// conditions of writes overwrites published pointers.
#[test]
fn unconditional_store_is_detected() {
    let faults = Faults { is_unconditional: true, ..FAULTS };
    assert!(explore("publish, unconditional store", World::new(3, faults, Defect::None)).is_err());
}

/// Guards against a model that fails to detect shared stamps. A publication whose write failed then
/// treats the write of another one as its own and reports success.
#[test]
fn shared_stamp_is_detected() {
    assert!(explore("publish, shared stamp", World::new(3, FAULTS, Defect::SharedStamp)).is_err());
}

/// Guards against a model that fails to detect a false conflict. With a wrong parent hash, a
/// publication does not find its set among the ancestors of the current set.
#[test]
fn wrong_parent_is_detected() {
    let world = World::new(3, FAULTS, Defect::WrongParent);
    assert!(explore("publish, wrong parent", world).is_err());
}
