//! Publication against a store that loses replies and refuses calls.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;

use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::Pointer;
use dogwoodtray_config::Publication;
use dogwoodtray_config::PublicationRequest;
use dogwoodtray_config::PublicationResult;
use dogwoodtray_config::PublicationStep;
use dogwoodtray_config::SetRef;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::current_key;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::WriteStamp;
use dogwoodtray_platform::MemoryFault;
use dogwoodtray_platform::MemoryStore;
use quickcheck::quickcheck;

/// One operator, who takes one call at a time.
struct Operator {
    publication: Publication,
    result: Option<PublicationResult>,
}

impl Operator {
    fn new(id: u64, base: Option<SetRef>, edited: ObjectSet) -> Self {
        let stamp = WriteStamp { incarnation: Incarnation(id), seq: 1 };
        let request = PublicationRequest { base, edited, stamp, note: Arc::from("note") };
        let mut publication = Publication::new(request);
        let result = match publication.start() {
            PublicationStep::Finished(result) => Some(result),
            _ => None,
        };
        Self { publication, result }
    }

    fn step(&mut self, store: &MemoryStore) {
        let Some(op) = self.publication.next_call() else {
            return;
        };
        if let PublicationStep::Finished(result) = self.publication.on_reply(store.apply(&op)) {
            self.result = Some(result);
        }
    }

    fn run(mut self, store: &MemoryStore) -> PublicationResult {
        while self.result.is_none() {
            self.step(store);
        }
        self.result.unwrap()
    }
}

fn published(result: &PublicationResult) -> Option<SetRef> {
    match result {
        PublicationResult::Published { set, .. } => Some(*set),
        _ => None,
    }
}

fn publish(store: &MemoryStore, id: u64, base: Option<SetRef>, edited: ObjectSet) -> SetRef {
    published(&Operator::new(id, base, edited).run(store)).unwrap()
}

fn read(store: &MemoryStore, op: StoreOp) -> Option<Arc<[u8]>> {
    match store.apply(&op) {
        StoreReply::Found { value, .. } => Some(value),
        _ => None,
    }
}

fn current(store: &MemoryStore) -> Option<SetRef> {
    let value = read(store, StoreOp::Get { key: current_key() })?;
    Some(Pointer::decode(&value).unwrap().set)
}

/// Returns all generations from the current one back to the first.
fn chain(store: &MemoryStore) -> Vec<SetRef> {
    let mut sets: Vec<SetRef> = current(store).into_iter().collect();
    while let Some(set) = sets.last().copied().filter(|set| set.generation > Generation(1)) {
        let value = read(store, StoreOp::Get { key: set.key() }).unwrap();
        let (snapshot, _) = Snapshot::decode(&value).unwrap();
        let generation = Generation(set.generation.0 - 1);
        sets.push(SetRef { generation, hash: snapshot.parent() });
    }
    sets
}

fn fault_of(byte: u8) -> Option<MemoryFault> {
    match byte % 8 {
        0 => Some(MemoryFault::Refuse),
        1 => Some(MemoryFault::LoseReply),
        2 => Some(MemoryFault::LoseRequest),
        _ => None,
    }
}

quickcheck! {
    /// Guards against a publication that reports the opposite of what happened, in any order of
    /// the calls of three operators and with any faults.
    fn results_are_true(schedule: Vec<(u8, u8)>) -> bool {
        let store = MemoryStore::new();
        let base = publish(&store, 9, None, common::models(&[("a", 1)]));
        let mut operators: Vec<Operator> = (0..3)
            .map(|id| Operator::new(id, Some(base), common::models(&[("a", 1), (["b", "c", "d"][id as usize], 1)])))
            .collect();
        for (who, fault) in schedule {
            let operator = &mut operators[usize::from(who % 3)];
            if operator.result.is_none() {
                fault_of(fault).into_iter().for_each(|fault| store.inject(fault));
                operator.step(&store);
            }
        }
        let results: Vec<PublicationResult> =
            operators.into_iter().map(|operator| operator.run(&store)).collect();
        let chain = chain(&store);
        let is_true = |result: &PublicationResult| match result {
            PublicationResult::Published { set, .. } => chain.contains(set),
            PublicationResult::Conflict { ours, .. } => !chain.contains(ours),
            _ => false,
        };
        let successes = results.iter().filter_map(published).count();
        results.iter().all(is_true) && chain.len() == successes + 1
    }
}

/// Guards against a lost reply at any call that ends in a second generation or a false conflict.
#[test]
fn one_fault_at_any_call_is_resolved() {
    for fault in [MemoryFault::Refuse, MemoryFault::LoseReply, MemoryFault::LoseRequest] {
        for at in 0..4 {
            let store = MemoryStore::new();
            let base = publish(&store, 1, None, common::models(&[("a", 1)]));
            let mut operator = Operator::new(2, Some(base), common::models(&[("a", 2)]));
            (0..at).for_each(|_| operator.step(&store));
            store.inject(fault);
            let set = published(&operator.run(&store)).unwrap();
            assert_eq!((set.generation, current(&store)), (Generation(2), Some(set)), "{fault:?}");
        }
    }
}

/// Publishes with a lost reply, then twice more by others, before the reply is resolved.
fn overtaken(store: &MemoryStore) -> (Operator, SetRef, SetRef) {
    let base = publish(store, 1, None, common::models(&[("a", 1)]));
    let mut operator = Operator::new(2, Some(base), common::models(&[("a", 2)]));
    (0..3).for_each(|_| operator.step(store));
    store.inject(MemoryFault::LoseReply);
    operator.step(store);
    let ours = current(store).unwrap();
    let later = publish(store, 3, Some(ours), common::models(&[("a", 3)]));
    let last = publish(store, 4, Some(later), common::models(&[("a", 4)]));
    (operator, ours, last)
}

/// Guards against a conflict that is reported after the pointer was moved, when its reply was lost
/// and others published on top before it was read back.
#[test]
fn a_publication_finds_itself_below_later_ones() {
    let store = MemoryStore::new();
    let (operator, ours, _) = overtaken(&store);
    assert_eq!(published(&operator.run(&store)), Some(ours));
}

/// Guards against a guess when the sets that would tell are gone.
#[test]
fn a_publication_whose_trace_is_lost_is_unknown() {
    let store = MemoryStore::new();
    let (operator, ours, last) = overtaken(&store);
    let StoreReply::Found { version, .. } = store.apply(&StoreOp::Get { key: last.key() }) else {
        panic!("the last set is stored");
    };
    store.apply(&StoreOp::Delete { key: last.key(), expect: version });
    let result = operator.run(&store);
    assert!(matches!(result, PublicationResult::Unknown { ours: set, .. } if set == ours));
}

/// Guards against an edit from an old base that removes what others have added since.
#[test]
fn edits_of_different_objects_merge_and_edits_of_one_object_conflict() {
    let store = MemoryStore::new();
    let base = publish(&store, 1, None, common::models(&[("a", 1), ("b", 1)]));
    publish(&store, 2, Some(base), common::models(&[("a", 2), ("b", 1), ("c", 1)]));
    publish(&store, 3, Some(base), common::models(&[("a", 1), ("b", 2)]));
    let bytes = read(&store, StoreOp::Get { key: current(&store).unwrap().key() }).unwrap();
    let (snapshot, _) = Snapshot::decode(&bytes).unwrap();
    assert_eq!(snapshot.objects(), common::models(&[("a", 2), ("b", 2), ("c", 1)]));
    let result = Operator::new(4, Some(base), common::models(&[("a", 7), ("b", 1)])).run(&store);
    assert!(matches!(result, PublicationResult::ObjectConflict(_)));
}

/// Guards against a publication that overwrites a set that its operator has never seen.
#[test]
fn the_base_has_to_be_known() {
    let store = MemoryStore::new();
    let set = publish(&store, 1, None, common::models(&[("a", 1)]));
    let run = |base| Operator::new(2, base, common::models(&[("b", 1)])).run(&store);
    assert_eq!(run(None), PublicationResult::BaseNeeded { current: set });
    let unknown = SetRef { hash: ContentHash(0), ..set };
    assert!(matches!(run(Some(unknown)), PublicationResult::Refused(_)));
    let newer = SetRef { generation: Generation(7), ..set };
    assert!(matches!(run(Some(newer)), PublicationResult::Refused(_)));
    assert_eq!(current(&store), Some(set));
}

/// Guards against a merge of two valid sets that leaves a reference to nothing.
#[test]
fn the_set_after_the_merge_is_checked() {
    let version = "[[version]]\nname = 'v'\nmodel = 'b'\nweights = 'w'\naccelerators = 1\n";
    let store = MemoryStore::new();
    let base = publish(&store, 1, None, common::models(&[("a", 1), ("b", 1)]));
    publish(&store, 2, Some(base), common::models(&[("a", 1)]));
    let mut edited = common::models(&[("a", 1), ("b", 1)]);
    edited.append(common::set_of(version));
    let result = Operator::new(3, Some(base), edited).run(&store);
    assert!(matches!(result, PublicationResult::Invalid(_)));
}
