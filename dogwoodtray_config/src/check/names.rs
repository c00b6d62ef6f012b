//! Names of objects.

use std::collections::BTreeMap;

use super::Finding;
use super::Reason;
use crate::set::ObjectSet;

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn check(set: &ObjectSet, findings: &mut Vec<Finding>) {
    let mut counts = BTreeMap::new();
    for object in set.iter() {
        *counts.entry((object.kind(), object.name())).or_insert(0) += 1;
    }
    for ((kind, name), count) in counts {
        if !is_name(name) {
            findings.push(Finding::new(kind, name.clone(), "name", Reason::BadName));
        }
        if count > 1 {
            let reason = Reason::DuplicateName { count };
            findings.push(Finding::new(kind, name.clone(), "name", reason));
        }
    }
}

/// Tells whether a name needs no escape in a path, a header or a file name. Lower case alone is
/// allowed, so that no two names differ in case only.
pub(super) fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let starts_well = name.bytes().next().is_some_and(allowed);
    starts_well
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|byte| allowed(byte) || b"._-".contains(&byte))
}
