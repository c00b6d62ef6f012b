//! Tests for merging edits.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;

use common::SmallSet;
use dogwoodtray_config::Object;
use dogwoodtray_config::ObjectId;
use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::diff;
use dogwoodtray_config::merge;
use expect_test::expect;
use quickcheck::quickcheck;

type Objects = BTreeMap<ObjectId, Object>;

fn objects(set: &ObjectSet) -> Objects {
    set.iter().map(|object| (object.id(), object.clone())).collect()
}

/// Reference implementation: applies each edited object that differs from the base to the current
/// set. `touched` contains the objects that any publication since the base changed.
fn reference_merge(
    base: &Objects,
    current: &Objects,
    ours: &Objects,
    touched: &[ObjectId],
) -> Option<Objects> {
    let mut merged = current.clone();
    for id in base.keys().chain(ours.keys()) {
        if base.get(id) == ours.get(id) || current.get(id) == ours.get(id) {
            continue;
        }
        if touched.contains(id) {
            return None;
        }
        match ours.get(id) {
            Some(object) => merged.insert(id.clone(), object.clone()),
            None => merged.remove(id),
        };
    }
    Some(merged)
}

quickcheck! {
    /// Guards against a merge that loses an edit or silently reverts the edit of another operator.
    fn merge_equals_the_reference_implementation(base: SmallSet, middle: SmallSet, last: SmallSet, ours: SmallSet) -> bool {
        let first = common::next(&Snapshot::empty(), base.0.clone());
        let second = common::next(&first, middle.0.clone());
        let third = common::next(&second, last.0.clone());
        let mut changed = diff(&base.0, &middle.0);
        changed.extend(diff(&middle.0, &last.0));
        let touched: Vec<ObjectId> = changed
            .into_iter()
            .map(|change| change.id)
            // An object that was added and removed again since the base has no version in either
            // generation.
            .filter(|id| first.versions().get(id) != third.versions().get(id))
            .collect();
        let expected = reference_merge(&objects(&base.0), &objects(&last.0), &objects(&ours.0), &touched);
        let merged = merge(&first, &third, &ours.0).ok();
        merged.as_ref().map(objects) == expected
    }
}

/// Guards against conflict messages that omit the change of the other operator.
#[test]
fn conflict_message_contains_both_sides() {
    let base = common::next(&Snapshot::empty(), common::models(&[("a", 1), ("b", 1), ("c", 1)]));
    let current = common::next(&base, common::models(&[("a", 2), ("b", 1), ("c", 9)]));
    let edited = common::models(&[("a", 3), ("b", 5)]);
    let conflict = merge(&base, &current, &edited).unwrap_err();
    let text: Vec<String> = conflict.objects.iter().map(ToString::to_string).collect();
    expect![[r#"
        ! model a
            base:   {"model":{"name":"a","context_tokens":1,"max_output_tokens":1}}
            ours:   {"model":{"name":"a","context_tokens":3,"max_output_tokens":1}}
            theirs: {"model":{"name":"a","context_tokens":2,"max_output_tokens":1}} (generation 2)
        ! model c
            base:   {"model":{"name":"c","context_tokens":1,"max_output_tokens":1}}
            ours:   absent
            theirs: {"model":{"name":"c","context_tokens":9,"max_output_tokens":1}} (generation 2)"#]].assert_eq(&text.join("\n"));
}
