//! Versioned objects.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::Version;
use serde::Serialize;

/// Result of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    Written(Version),
    Deleted,
    Missing,
    Conflict,
}

/// Name and version of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ListEntry {
    name: Name,
    version: Version,
}

/// Page of a list of objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ListPage {
    entries: Vec<ListEntry>,
    more: bool,
}

/// Objects ordered by kind and name. All objects share one version counter, so that an object that
/// is deleted and created again never gets an earlier version.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    objects: BTreeMap<ObjectKey, (Version, Bytes)>,
    last_version: u64,
}

impl Objects {
    /// Returns the version and value of an object.
    pub(crate) fn get(&self, key: &ObjectKey) -> Option<(Version, Bytes)> {
        self.objects.get(key).cloned()
    }

    /// Writes an object if it is in the expected state.
    pub(crate) fn put(
        &mut self,
        key: ObjectKey,
        expect: Precondition,
        value: Bytes,
    ) -> UpdateResult {
        let current = self.objects.get(&key).map(|(version, _)| *version);
        let expected = match expect {
            Precondition::Absent => None,
            Precondition::Version(version) => Some(version),
        };
        if current != expected {
            return UpdateResult::Conflict;
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        self.objects.insert(key, (version, value));
        UpdateResult::Written(version)
    }

    /// Deletes an object if it has the expected version.
    pub(crate) fn delete(&mut self, key: &ObjectKey, expect: Version) -> UpdateResult {
        match self.objects.get(key) {
            None => UpdateResult::Missing,
            Some((version, _)) if *version != expect => UpdateResult::Conflict,
            Some(_) => {
                self.objects.remove(key);
                UpdateResult::Deleted
            }
        }
    }

    /// Lists the objects of a kind whose names start with `prefix` and are greater than `after`.
    pub(crate) fn list(
        &self,
        kind: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> ListPage {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(ObjectKey::new(kind, after)),
            _ => Bound::Included(ObjectKey::new(kind, prefix)),
        };
        let mut matching = self
            .objects
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| &*key.kind == kind && key.name.starts_with(prefix))
            .map(|(key, (version, _))| ListEntry {
                name: Arc::clone(&key.name),
                version: *version,
            });
        let entries = matching.by_ref().take(limit).collect();
        ListPage { entries, more: matching.next().is_some() }
    }
}
