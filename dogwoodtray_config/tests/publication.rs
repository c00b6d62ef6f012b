//! Tests for publications to a store that loses requests and replies and refuses calls.

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

/// A publication by an operator, run one call at a time.
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

fn published_set(result: &PublicationResult) -> Option<SetRef> {
    match result {
        PublicationResult::Published { set, .. } => Some(*set),
        _ => None,
    }
}

fn publish_set(store: &MemoryStore, id: u64, base: Option<SetRef>, edited: ObjectSet) -> SetRef {
    published_set(&Operator::new(id, base, edited).run(store)).unwrap()
}

fn read_value(store: &MemoryStore, op: StoreOp) -> Option<Arc<[u8]>> {
    match store.apply(&op) {
        StoreReply::Found { value, .. } => Some(value),
        _ => None,
    }
}

fn current_set(store: &MemoryStore) -> Option<SetRef> {
    let value = read_value(store, StoreOp::Get { key: current_key() })?;
    Some(Pointer::decode(&value).unwrap().set)
}

/// Returns all published sets, from the current one back to the first.
fn published_chain(store: &MemoryStore) -> Vec<SetRef> {
    let mut sets: Vec<SetRef> = current_set(store).into_iter().collect();
    while let Some(set) = sets.last().copied().filter(|set| set.generation > Generation(1)) {
        let value = read_value(store, StoreOp::Get { key: set.key() }).unwrap();
        let (snapshot, _) = Snapshot::decode(&value).unwrap();
        let generation = Generation(set.generation.0 - 1);
        sets.push(SetRef { generation, hash: snapshot.parent() });
    }
    sets
}

fn fault_from(byte: u8) -> Option<MemoryFault> {
    match byte % 8 {
        0 => Some(MemoryFault::Refuse),
        1 => Some(MemoryFault::LoseReply),
        2 => Some(MemoryFault::LoseRequest),
        _ => None,
    }
}

quickcheck! {
    /// Guards against a publication that reports a wrong result, for random orders of the calls of
    /// three operators and random faults.
    fn results_match_the_store(schedule: Vec<(u8, u8)>) -> bool {
        let store = MemoryStore::new();
        let base = publish_set(&store, 9, None, common::models(&[("a", 1)]));
        let mut operators: Vec<Operator> = (0..3)
            .map(|id| Operator::new(id, Some(base), common::models(&[("a", 1), (["b", "c", "d"][id as usize], 1)])))
            .collect();
        for (operator, fault) in schedule {
            let operator = &mut operators[usize::from(operator % 3)];
            if operator.result.is_none() {
                fault_from(fault).into_iter().for_each(|fault| store.inject(fault));
                operator.step(&store);
            }
        }
        let results: Vec<PublicationResult> =
            operators.into_iter().map(|operator| operator.run(&store)).collect();
        let chain = published_chain(&store);
        let is_correct = |result: &PublicationResult| match result {
            PublicationResult::Published { set, .. } => chain.contains(set),
            PublicationResult::Conflict { ours, .. } => !chain.contains(ours),
            _ => false,
        };
        let successes = results.iter().filter_map(published_set).count();
        results.iter().all(is_correct) && chain.len() == successes + 1
    }
}

/// Guards against a second generation or a false conflict after a lost or refused call. Each call
/// of a publication is tested with each fault.
#[test]
fn publication_succeeds_after_a_fault_at_any_call() {
    for fault in [MemoryFault::Refuse, MemoryFault::LoseReply, MemoryFault::LoseRequest] {
        for call in 0..4 {
            let store = MemoryStore::new();
            let base = publish_set(&store, 1, None, common::models(&[("a", 1)]));
            let mut operator = Operator::new(2, Some(base), common::models(&[("a", 2)]));
            (0..call).for_each(|_| operator.step(&store));
            store.inject(fault);
            let set = published_set(&operator.run(&store)).unwrap();
            assert_eq!(
                (set.generation, current_set(&store)),
                (Generation(2), Some(set)),
                "{fault:?}"
            );
        }
    }
}

/// Runs a publication until the reply to its pointer write is lost, then publishes twice more on
/// top of it. Returns the unfinished publication, its set and the current set.
fn publish_with_lost_reply_and_successors(store: &MemoryStore) -> (Operator, SetRef, SetRef) {
    let base = publish_set(store, 1, None, common::models(&[("a", 1)]));
    let mut operator = Operator::new(2, Some(base), common::models(&[("a", 2)]));
    (0..3).for_each(|_| operator.step(store));
    store.inject(MemoryFault::LoseReply);
    operator.step(store);
    let ours = current_set(store).unwrap();
    let later = publish_set(store, 3, Some(ours), common::models(&[("a", 3)]));
    let last = publish_set(store, 4, Some(later), common::models(&[("a", 4)]));
    (operator, ours, last)
}

/// Guards against a false conflict for a publication that succeeded. This happens if the reply to
/// the pointer write is lost and others publish on top before the pointer is read again.
#[test]
fn publication_succeeds_if_it_is_an_ancestor_of_the_current_set() {
    let store = MemoryStore::new();
    let (operator, ours, _) = publish_with_lost_reply_and_successors(&store);
    assert_eq!(published_set(&operator.run(&store)), Some(ours));
}

/// Guards against reporting a success or a conflict when the sets that determine the result are no
/// longer stored.
#[test]
fn result_is_unknown_if_the_ancestors_are_missing() {
    let store = MemoryStore::new();
    let (operator, ours, last) = publish_with_lost_reply_and_successors(&store);
    let StoreReply::Found { version, .. } = store.apply(&StoreOp::Get { key: last.key() }) else {
        panic!("the last set is stored");
    };
    store.apply(&StoreOp::Delete { key: last.key(), expect: version });
    let result = operator.run(&store);
    assert!(matches!(result, PublicationResult::Unknown { ours: set, .. } if set == ours));
}

/// Guards against an edit from an old base that reverts changes published since then.
#[test]
fn edits_of_the_same_object_conflict_and_others_are_merged() {
    let store = MemoryStore::new();
    let base = publish_set(&store, 1, None, common::models(&[("a", 1), ("b", 1)]));
    publish_set(&store, 2, Some(base), common::models(&[("a", 2), ("b", 1), ("c", 1)]));
    publish_set(&store, 3, Some(base), common::models(&[("a", 1), ("b", 2)]));
    let bytes =
        read_value(&store, StoreOp::Get { key: current_set(&store).unwrap().key() }).unwrap();
    let (snapshot, _) = Snapshot::decode(&bytes).unwrap();
    assert_eq!(snapshot.objects(), common::models(&[("a", 2), ("b", 2), ("c", 1)]));
    let result = Operator::new(4, Some(base), common::models(&[("a", 7), ("b", 1)])).run(&store);
    assert!(matches!(result, PublicationResult::ObjectConflict(_)));
}

/// Guards against overwriting a set that the operator has not read. The request has to specify a
/// known base.
#[test]
fn base_must_be_a_known_set() {
    let store = MemoryStore::new();
    let set = publish_set(&store, 1, None, common::models(&[("a", 1)]));
    let run = |base| Operator::new(2, base, common::models(&[("b", 1)])).run(&store);
    assert_eq!(run(None), PublicationResult::BaseNeeded { current: set });
    let unknown = SetRef { hash: ContentHash(0), ..set };
    assert!(matches!(run(Some(unknown)), PublicationResult::Refused(_)));
    let newer = SetRef { generation: Generation(7), ..set };
    assert!(matches!(run(Some(newer)), PublicationResult::Refused(_)));
    assert_eq!(current_set(&store), Some(set));
}

/// Guards against publishing a merged set with dangling references. Both sets are valid on their
/// own: one removes a model, the other adds a version of it.
#[test]
fn merged_set_is_checked() {
    let version = "[[version]]\nname = 'v'\nmodel = 'b'\nweights = 'w'\naccelerators = 1\n";
    let store = MemoryStore::new();
    let base = publish_set(&store, 1, None, common::models(&[("a", 1), ("b", 1)]));
    publish_set(&store, 2, Some(base), common::models(&[("a", 1)]));
    let mut edited = common::models(&[("a", 1), ("b", 1)]);
    edited.append(common::parse_set(version));
    let result = Operator::new(3, Some(base), edited).run(&store);
    assert!(matches!(result, PublicationResult::Invalid(_)));
}
