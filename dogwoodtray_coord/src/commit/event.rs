//! Input, output and settings of a group commit.

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
    /// Entries that start a write at once, and most entries in one write.
    pub max_entries: usize,
    /// Bytes of entries that start a write at once.
    pub max_bytes: usize,
    /// Longest time that an entry waits for others.
    pub max_delay: Duration,
    /// Most entries held, in the write under way and waiting.
    pub max_buffered: usize,
}

impl Default for CommitConfig {
    /// Returns settings that add at most 10 ms to an entry.
    fn default() -> Self {
        Self {
            max_entries: 1_000,
            max_bytes: 256 * 1024,
            max_delay: Duration::from_millis(10),
            max_buffered: 10_000,
        }
    }
}

/// Writes entries into the value of the object, and reads its stamp.
pub trait CommitCodec<T> {
    /// Returns the value after the entries, carrying the stamp.
    ///
    /// The entries come on top of the last value that [`CommitCodec::on_stored`] confirmed.
    fn encode(&mut self, entries: &[T], stamp: WriteStamp) -> Arc<[u8]>;

    /// Takes the last encoded value as stored.
    ///
    /// The next group may be encoded before the owner sees [`CommitAction::Durable`], so a codec
    /// must not wait for that action.
    fn on_stored(&mut self);

    /// Returns the stamp of the last write of any kind, or `None` if the value cannot be read.
    ///
    /// Each writer of the object must replace the stamp, also one that changes something else.
    /// Otherwise a fenced writer would recognize its own stamp in the version of its successor.
    fn stamp(&self, value: &[u8]) -> Option<WriteStamp>;
}

/// Input of a [`GroupCommit`](crate::GroupCommit).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitEvent<T> {
    /// Make an entry durable.
    Push {
        /// Entry.
        entry: T,
        /// Its approximate size.
        bytes: usize,
    },
    /// Reply to a [`CommitAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// What the store replied.
        reply: StoreReply,
    },
    /// Time has passed.
    Tick,
}

/// Why an entry was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommitRefusal {
    /// The buffer is full.
    Full,
    /// Another writer has changed the object.
    Fenced,
}

/// Output of a [`GroupCommit`](crate::GroupCommit).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitAction<T> {
    /// Run a store call and hand back its reply.
    Call {
        /// Id for the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// The entry was not taken; no write contains it.
    Refused {
        /// Entry.
        entry: T,
        /// Why.
        reason: CommitRefusal,
    },
    /// The entries are stored.
    Durable {
        /// Entries, in the order in which they were pushed.
        entries: Vec<T>,
        /// Version of the object after the write.
        version: Version,
    },
    /// Another writer has changed the object. This instance writes nothing more.
    Fenced {
        /// Entries of the write under way. They are not in the current value on account of this
        /// writer, but the write may have taken effect before the other one.
        in_doubt: Vec<T>,
        /// Entries that no write contained.
        unwritten: Vec<T>,
        /// The object as it is now; `None` if it does not exist.
        current: Option<(Version, Arc<[u8]>)>,
    },
    /// The value with these entries exceeds the limit of the store. They are not stored.
    TooLarge {
        /// Entries, in the order in which they were pushed.
        entries: Vec<T>,
    },
}
