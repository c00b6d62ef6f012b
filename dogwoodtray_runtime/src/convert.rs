//! Conversions between wire messages and coordination types, shared by all roles.

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_wire::messages;

/// Converts an attempt id from its wire message. Returns `None` if the field is not set.
#[must_use]
pub fn attempt_from_wire(id: Option<messages::AttemptId>) -> Option<AttemptId> {
    let id = id?;
    Some(AttemptId { incarnation: Incarnation(id.incarnation), counter: id.counter })
}

/// Converts an attempt id to its wire message.
#[must_use]
pub const fn attempt_to_wire(id: AttemptId) -> Option<messages::AttemptId> {
    Some(messages::AttemptId { incarnation: id.incarnation.0, counter: id.counter })
}

/// Creates the message that carries a configuration snapshot or the changes to one.
#[must_use]
pub fn config_set(generation: Generation, bytes: &[u8]) -> messages::ConfigSet {
    let snapshot = Bytes::copy_from_slice(bytes);
    messages::ConfigSet { generation: generation.0, snapshot }
}

/// Converts the suspicions of a received heartbeat.
#[must_use]
pub fn suspicions_from_wire(suspects: Vec<messages::Suspect>) -> Vec<Suspicion> {
    suspects
        .into_iter()
        .map(|suspect| Suspicion {
            content: ContentHash(suspect.content),
            crashes: suspect.deaths,
            completed: suspect.cleared,
        })
        .collect()
}

/// Converts suspicions to the messages that a heartbeat carries.
#[must_use]
pub fn suspicions_to_wire(suspicions: Vec<Suspicion>) -> Vec<messages::Suspect> {
    suspicions
        .into_iter()
        .map(|suspicion| messages::Suspect {
            content: suspicion.content.0,
            deaths: suspicion.crashes,
            cleared: suspicion.completed,
        })
        .collect()
}
