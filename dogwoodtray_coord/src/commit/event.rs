//! Events, actions and settings of a group commit.

use std::sync::Arc;
use std::time::Duration;

use crate::CallId;
use crate::StoreOp;
use crate::StoreReply;
use crate::Version;
use crate::WriteStamp;

/// Settings of a [`GroupCommit`](crate::GroupCommit).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommitConfig {
    /// Number of entries that starts a write immediately; also the maximum in one write.
    pub max_entries: usize,
    /// Total size of entries that starts a write immediately.
    pub max_bytes: usize,
    /// Maximum time that an entry waits for others.
    pub max_delay: Duration,
    /// Maximum number of entries held, both pending and in flight.
    pub max_buffered: usize,
}

impl Default for CommitConfig {
    /// Returns settings that delay an entry by at most 10 ms.
    fn default() -> Self {
        Self {
            max_entries: 1_000,
            max_bytes: 256 * 1024,
            max_delay: Duration::from_millis(10),
            max_buffered: 10_000,
        }
    }
}

/// Codec that writes entries into the value of the object and reads its stamp.
pub trait CommitCodec<T> {
    /// Returns the value with the entries and the stamp applied.
    ///
    /// The base is the last value that [`CommitCodec::on_stored`] confirmed.
    fn encode(&mut self, entries: &[T], stamp: WriteStamp) -> Arc<[u8]>;

    /// Marks the last encoded value as stored.
    ///
    /// The next group may be encoded before the owner receives [`CommitAction::Durable`], so a
    /// codec must not depend on that action.
    fn on_stored(&mut self);

    /// Returns the stamp of the last write of any kind, or `None` if the value cannot be decoded.
    ///
    /// Each write of the object must replace the stamp, even one that adds no entries. Otherwise a
    /// fenced writer would recognize its own stamp in the version of its successor.
    fn stamp(&self, value: &[u8]) -> Option<WriteStamp>;
}

/// Input event of a [`GroupCommit`](crate::GroupCommit).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitEvent<T> {
    /// Make an entry durable.
    Push {
        /// Entry.
        entry: T,
        /// Approximate size of the entry.
        bytes: usize,
    },
    /// Reply to a [`CommitAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// Time has passed.
    Tick,
}

/// Reason why an entry was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommitRefusal {
    /// The buffer is full.
    Full,
    /// Another writer has changed the object.
    Fenced,
}

/// Action requested by a [`GroupCommit`](crate::GroupCommit).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitAction<T> {
    /// Run a store call and pass back its reply.
    Call {
        /// Id to pass back with the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// The entry was refused; no write contains it.
    Refused {
        /// Entry.
        entry: T,
        /// Reason for the refusal.
        reason: CommitRefusal,
    },
    /// The entries are stored.
    Durable {
        /// Entries, in the order in which they were pushed.
        entries: Vec<T>,
        /// Version of the object after the write.
        version: Version,
    },
    /// Another writer has changed the object. This instance starts no further write.
    Fenced {
        /// Entries of the write in flight. That write may have taken effect before the other one,
        /// so the entries may or may not be stored.
        in_doubt: Vec<T>,
        /// Entries that no write contained.
        unwritten: Vec<T>,
        /// Current version and value of the object; `None` if it does not exist.
        current: Option<(Version, Arc<[u8]>)>,
    },
    /// The value with these entries exceeds the size limit of the store. They are not stored.
    TooLarge {
        /// Entries, in the order in which they were pushed.
        entries: Vec<T>,
    },
}
