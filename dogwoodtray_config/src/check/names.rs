//! Checks of object names.

use std::collections::BTreeMap;

use super::Finding;
use super::Reason;
use crate::set::ObjectSet;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn check(set: &ObjectSet, findings: &mut Vec<Finding>) {
    let mut counts = BTreeMap::new();
    for object in set.iter() {
        *counts.entry((object.kind(), object.name())).or_insert(0) += 1;
    }
    for ((kind, name), count) in counts {
        if !is_valid_name(name) {
            findings.push(Finding::new(kind, name.clone(), "name", Reason::InvalidName));
        }
        if count > 1 {
            let reason = Reason::DuplicateName { count };
            findings.push(Finding::new(kind, name.clone(), "name", reason));
        }
    }
}

/// Returns whether a name is valid.
///
/// A valid name needs no escaping in a path, a header or a file name. It contains no upper-case
/// letters, so that no two names differ only in case.
pub(super) fn is_valid_name(name: &str) -> bool {
    let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let has_valid_start = name.bytes().next().is_some_and(is_alphanumeric);
    has_valid_start
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|byte| is_alphanumeric(byte) || b"._-".contains(&byte))
}
