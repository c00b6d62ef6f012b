//! Validation of a complete set.

mod batch;
mod fields;
mod finding;
mod index;
mod names;
mod reason;
mod references;
mod retirement;

pub use self::finding::Finding;
pub use self::reason::Reason;

use self::index::Index;
use crate::set::ObjectSet;

/// Returns all errors of a set, in order of kind and name.
///
/// # Examples
///
/// ```
/// let file = "[[adapter]]\nname = 'fern'\nbase_version = 'kegtalk-3'\nweights = 'w/fern'\n";
/// let set = dogwoodtray_config::parse_file("adapters.toml", file).unwrap();
/// let findings = dogwoodtray_config::check(&set);
/// assert_eq!(
///     findings[0].to_string(),
///     "adapter fern: base_version: version kegtalk-3 does not exist"
/// );
/// ```
#[must_use]
pub fn check(set: &ObjectSet) -> Vec<Finding> {
    let index = Index::new(set);
    let mut findings = Vec::new();
    names::check(set, &mut findings);
    fields::check(set, &mut findings);
    references::check(set, &index, &mut findings);
    batch::check(set, &mut findings);
    retirement::check(set, &index, &mut findings);
    findings.sort_by(|a, b| (a.kind, &a.object, a.field).cmp(&(b.kind, &b.object, b.field)));
    findings
}
