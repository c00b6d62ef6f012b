//! Log lines about entries that name no endpoint.

use std::collections::HashSet;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::LineLimit;

/// Maximum length of a field in the log; an entry may hold up to 1 MB.
const MAX_FIELD_CHARS: usize = 200;

/// Entries in the list of endpoints that name none, as far as they have been logged.
#[derive(Debug, Default)]
pub(crate) struct IgnoredEntries {
    logged: HashSet<Name>,
    limit: LineLimit,
}

impl IgnoredEntries {
    /// Returns `true` if an entry is to be logged: it has not been, since it appeared in the list, and
    /// the limit of the period is not reached.
    pub(crate) fn should_log(&mut self, name: &Name) -> bool {
        !self.logged.contains(name)
            && self.limit.allows_line()
            && self.logged.insert(Name::clone(name))
    }

    /// Forgets the entries that are no longer ignored.
    pub(crate) fn retain(&mut self, ignored: &HashSet<&Name>) {
        self.logged.retain(|name| ignored.contains(name));
    }
}

/// Returns a text of another writer as it is logged, on one line and of a limited length.
pub(crate) fn loggable(text: &str) -> String {
    text.chars().take(MAX_FIELD_CHARS).flat_map(char::escape_debug).collect()
}
