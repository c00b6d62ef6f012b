//! The publisher of one generation.

use std::sync::Arc;

use crate::Backoff;
use crate::CallId;
use crate::Expect;
use crate::Generation;
use crate::Name;
use crate::ObjectKey;
use crate::StampedWrite;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;
use crate::WriteResult;
use crate::WriteStamp;
use crate::WriteStep;
use crate::calls::CallSlot;

use super::Pointer;
use super::pointer::VersionedPointer;

/// What to publish.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publication {
    /// Pointer that the edit was made against, and its version; `None` for the first generation.
    pub base: Option<(Version, Pointer)>,
    /// Hash of the snapshot, as part of its name.
    pub hash: Name,
    /// The snapshot.
    pub snapshot: Arc<[u8]>,
    /// Stamp that no other publication has.
    pub stamp: WriteStamp,
}

/// Input of a [`Publisher`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublishEvent {
    /// Time has passed. The first one starts the publication.
    Tick,
    /// Reply to a [`PublishAction::Call`].
    Reply {
        /// Id of the call.
        call: CallId,
        /// What the store replied.
        reply: StoreReply,
    },
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublishResult {
    /// The generation came into force.
    Published {
        /// Its number.
        generation: Generation,
    },
    /// Another publication came first. Nothing changed on account of this one.
    Raced {
        /// Pointer that the edit was made against.
        base: Option<Pointer>,
        /// Pointer in force; `None` if it is missing or cannot be read.
        winner: Option<Pointer>,
    },
    /// So many publications followed that their pointer no longer tells whether this one was
    /// among them.
    Uncertain {
        /// Pointer in force.
        current: Pointer,
    },
    /// Another snapshot has the same generation and hash. Nothing changed.
    HashCollision,
    /// The snapshot or the pointer exceeds the limit of the store.
    TooLarge,
}

/// Output of a [`Publisher`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublishAction {
    /// Run a store call and hand back its reply.
    Call {
        /// Id for the reply.
        call: CallId,
        /// Call to run.
        op: StoreOp,
    },
    /// The publication ended.
    Finished(PublishResult),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Snapshot(StampedWrite),
    Pointer(StampedWrite),
    Finished,
}

/// Publishes one generation: writes the snapshot, then moves `config/current` to it.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::{Backoff, Generation, Publication, PublishAction, PublishEvent};
/// use dogwoodtray_coord::{PublishResult, Publisher, StoreReply, Timestamp, Version, WriteStamp};
///
/// let stamp = WriteStamp::default();
/// let snapshot = Arc::from(&b"routes"[..]);
/// let publication = Publication { base: None, hash: Arc::from("9f"), snapshot, stamp };
/// let backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 1);
/// let mut publisher = Publisher::new(publication, backoff);
/// let mut out = Vec::new();
/// publisher.handle(Timestamp::ZERO, PublishEvent::Tick, &mut out);
/// for _ in ["snapshot", "pointer"] {
///     let Some(PublishAction::Call { call, .. }) = out.pop() else { panic!("no call") };
///     let reply = StoreReply::Written { version: Version(1) };
///     publisher.handle(Timestamp::ZERO, PublishEvent::Reply { call, reply }, &mut out);
/// }
/// let published = PublishResult::Published { generation: Generation(1) };
/// assert_eq!(out, [PublishAction::Finished(published)]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    base: Option<VersionedPointer>,
    next: Pointer,
    stamp: WriteStamp,
    snapshot: Arc<[u8]>,
    slot: CallSlot,
    phase: Phase,
}

impl Publisher {
    /// Creates a publisher. The first [`PublishEvent::Tick`] starts it.
    #[must_use]
    pub fn new(publication: Publication, backoff: Backoff) -> Self {
        let Publication { base, hash, snapshot, stamp } = publication;
        let last = base.as_ref().map(|(_, pointer)| pointer);
        let generation = last.map_or(Generation(0), |last| last.generation).next();
        let set: Name = Name::from(format!("{}-{hash}", generation.0));
        let next = Pointer::next(last, Name::clone(&set), stamp);
        let key = ObjectKey::new("config-set", set);
        let write = StampedWrite::new(key, Expect::Absent, Arc::clone(&snapshot));
        let slot = CallSlot::due(backoff);
        Self { base, next, stamp, snapshot, slot, phase: Phase::Snapshot(write) }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Timestamp, event: PublishEvent, out: &mut Vec<PublishAction>) {
        match event {
            PublishEvent::Tick => self.on_tick(now, out),
            PublishEvent::Reply { call, reply } => {
                if self.slot.accept(call) {
                    self.on_reply(now, reply, out);
                }
            }
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<PublishAction>) {
        if !self.slot.is_retry_due(now) {
            return;
        }
        let (Phase::Snapshot(write) | Phase::Pointer(write)) = &self.phase else {
            return;
        };
        let op = write.next_call();
        self.call(op, out);
    }

    fn call(&mut self, op: StoreOp, out: &mut Vec<PublishAction>) {
        out.push(PublishAction::Call { call: self.slot.open(), op });
    }

    fn on_reply(&mut self, now: Timestamp, reply: StoreReply, out: &mut Vec<PublishAction>) {
        let step = match &mut self.phase {
            // Equal snapshots of the same generation are interchangeable, whoever wrote them.
            Phase::Snapshot(write) => {
                write.on_reply(reply.clone(), |value| *value == *self.snapshot)
            }
            Phase::Pointer(write) => {
                write.on_reply(reply.clone(), |value| contains_stamp(value, self.stamp))
            }
            Phase::Finished => return,
        };
        match step {
            WriteStep::Finished(result) => self.on_result(result, out),
            WriteStep::Call(op) if reply != StoreReply::Ambiguous => self.call(op, out),
            WriteStep::Call(_) | WriteStep::Wait(_) => self.slot.retry_after(now, &reply),
        }
    }

    fn on_result(&mut self, result: WriteResult, out: &mut Vec<PublishAction>) {
        self.slot.settle();
        match (result, &self.phase) {
            (WriteResult::Written { .. }, Phase::Snapshot(_)) => self.move_pointer(out),
            (WriteResult::Written { .. }, _) => {
                let generation = self.next.generation;
                self.finish(PublishResult::Published { generation }, out);
            }
            (WriteResult::TooLarge, _) => self.finish(PublishResult::TooLarge, out),
            (WriteResult::Fenced { current }, Phase::Pointer(_)) => self.on_race(current, out),
            (WriteResult::Fenced { .. }, _) => self.finish(PublishResult::HashCollision, out),
        }
    }

    fn move_pointer(&mut self, out: &mut Vec<PublishAction>) {
        let expect = match &self.base {
            Some((version, _)) => Expect::Version(*version),
            None => Expect::Absent,
        };
        let value = Arc::from(self.next.encode());
        let write = StampedWrite::new(Pointer::key(), expect, value);
        let op = write.next_call();
        self.phase = Phase::Pointer(write);
        self.call(op, out);
    }

    fn on_race(&mut self, current: Option<(Version, Arc<[u8]>)>, out: &mut Vec<PublishAction>) {
        let winner = current.and_then(|(_, value)| Pointer::decode(&value));
        match winner {
            Some(current) if !current.reaches_back_to(self.next.generation) => {
                self.finish(PublishResult::Uncertain { current }, out);
            }
            winner => {
                let base = self.base.as_ref().map(|(_, pointer)| pointer.clone());
                self.finish(PublishResult::Raced { base, winner }, out);
            }
        }
    }

    fn finish(&mut self, result: PublishResult, out: &mut Vec<PublishAction>) {
        self.phase = Phase::Finished;
        out.push(PublishAction::Finished(result));
    }
}

fn contains_stamp(value: &[u8], stamp: WriteStamp) -> bool {
    Pointer::decode(value).is_some_and(|pointer| pointer.recent.contains(&stamp))
}
