//! Conversion of the wire types that both roles use.

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_wire::messages;

/// Reads an attempt id; `None` if the sender left it out.
#[must_use]
pub fn attempt_from_wire(id: Option<messages::AttemptId>) -> Option<AttemptId> {
    let id = id?;
    Some(AttemptId { incarnation: Incarnation(id.incarnation), counter: id.counter })
}

/// Writes an attempt id.
#[must_use]
pub const fn attempt_to_wire(id: AttemptId) -> Option<messages::AttemptId> {
    Some(messages::AttemptId { incarnation: id.incarnation.0, counter: id.counter })
}

/// Writes a configuration snapshot, or the changes to one.
#[must_use]
pub fn config_set(generation: Generation, bytes: &[u8]) -> messages::ConfigSet {
    let snapshot = Bytes::copy_from_slice(bytes);
    messages::ConfigSet { generation: generation.0, snapshot }
}

/// Reads the suspicions of a heartbeat.
#[must_use]
pub fn suspicions_from_wire(suspects: Vec<messages::Suspect>) -> Vec<Suspicion> {
    suspects
        .into_iter()
        .map(|s| Suspicion {
            content: ContentHash(s.content),
            deaths: s.deaths,
            completed: s.cleared,
        })
        .collect()
}

/// Writes suspicions into a heartbeat.
#[must_use]
pub fn suspicions_to_wire(suspicions: Vec<Suspicion>) -> Vec<messages::Suspect> {
    suspicions
        .into_iter()
        .map(|s| messages::Suspect { content: s.content.0, deaths: s.deaths, cleared: s.completed })
        .collect()
}
