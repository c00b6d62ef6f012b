//! The group commit state machine.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::Backoff;
use crate::CallId;
use crate::ClaimRecord;
use crate::ObjectKey;
use crate::Precondition;
use crate::StampedWrite;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;
use crate::WriteResult;
use crate::WriteStamp;
use crate::WriteStep;
use crate::calls::CallSlot;

use super::CommitAction;
use super::CommitCodec;
use super::CommitConfig;
use super::CommitEvent;
use super::CommitRefusal;

/// Entry that no write contains yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingEntry<T> {
    entry: T,
    bytes: usize,
    queued_at: Timestamp,
}

/// Write in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight<T> {
    entries: Vec<T>,
    stamp: WriteStamp,
    write: StampedWrite,
    started_at: Timestamp,
}

/// Group commit that collects entries and stores each group in one conditional update.
///
/// At most one update is in flight. During an outage it is retried with backoff until the store
/// replies or another writer has changed the object.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::{Backoff, ClaimRecord, CommitAction, CommitCodec, CommitConfig};
/// use dogwoodtray_coord::{CommitEvent, Epoch, GroupCommit, ObjectKey, StoreReply, Timestamp};
/// use dogwoodtray_coord::{Version, WriteStamp};
///
/// /// Appends all entries; the value is JSON.
/// #[derive(Default)]
/// struct Log(Vec<u32>);
///
/// impl CommitCodec<u32> for Log {
///     fn encode(&mut self, entries: &[u32], stamp: WriteStamp) -> Arc<[u8]> {
///         self.0.extend(entries);
///         Arc::from(serde_json::to_vec(&(stamp, &self.0)).unwrap())
///     }
///     fn on_stored(&mut self) {}
///     fn stamp(&self, value: &[u8]) -> Option<WriteStamp> {
///         serde_json::from_slice::<(WriteStamp, Vec<u32>)>(value).ok().map(|(stamp, _)| stamp)
///     }
/// }
///
/// let claim = ClaimRecord { epoch: Epoch(1), holder: None };
/// let backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 1);
/// let config = CommitConfig { max_entries: 2, ..CommitConfig::default() };
/// let object = ObjectKey::new("log", "a");
/// let mut commit = GroupCommit::new(object, claim, Version(1), config, backoff);
/// let (mut log, mut out, now) = (Log::default(), Vec::new(), Timestamp::ZERO);
/// commit.handle(now, CommitEvent::Push { entry: 5, bytes: 4 }, &mut log, &mut out);
/// assert!(out.is_empty());
/// commit.handle(now, CommitEvent::Push { entry: 6, bytes: 4 }, &mut log, &mut out);
/// let Some(CommitAction::Call { call, .. }) = out.pop() else { panic!("no call") };
/// let reply = StoreReply::Written { version: Version(2) };
/// commit.handle(now, CommitEvent::Reply { call, reply }, &mut log, &mut out);
/// assert_eq!(out, [CommitAction::Durable { entries: vec![5, 6], version: Version(2) }]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupCommit<T> {
    object: ObjectKey,
    claim: ClaimRecord,
    version: Version,
    config: CommitConfig,
    slot: CallSlot,
    write_count: u32,
    pending: VecDeque<PendingEntry<T>>,
    pending_bytes: usize,
    in_flight: Option<InFlight<T>>,
    is_fenced: bool,
    is_paused: bool,
}

impl<T: Clone> GroupCommit<T> {
    /// Creates a group commit for an object that has `version` and is held under `claim`.
    ///
    /// A process must create at most one for each epoch of a claim, because the epoch makes the
    /// write stamps unique.
    #[must_use]
    pub const fn new(
        object: ObjectKey,
        claim: ClaimRecord,
        version: Version,
        config: CommitConfig,
        backoff: Backoff,
    ) -> Self {
        Self {
            object,
            claim,
            version,
            config,
            slot: CallSlot::idle(backoff),
            write_count: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            in_flight: None,
            is_fenced: false,
            is_paused: false,
        }
    }

    /// Returns the number of entries that are not yet durable.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |write| write.entries.len())
    }

    /// Returns when the write in flight started. During an outage it stays in flight.
    #[must_use]
    pub fn in_flight_since(&self) -> Option<Timestamp> {
        self.in_flight.as_ref().map(|write| write.started_at)
    }

    /// Returns `true` if another writer has changed the object.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Starts no further write until [`GroupCommit::resume`]. The write in flight continues.
    pub const fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Allows writes to start again. The next event starts one that is due.
    pub const fn resume(&mut self) {
        self.is_paused = false;
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: CommitEvent<T>,
        codec: &mut impl CommitCodec<T>,
        out: &mut Vec<CommitAction<T>>,
    ) {
        match event {
            CommitEvent::Push { entry, bytes } => self.push(now, entry, bytes, out),
            CommitEvent::Reply { call, reply } => {
                if self.slot.accept(call) {
                    self.on_reply(now, reply, codec, out);
                }
            }
            CommitEvent::Tick => self.retry(now, out),
        }
        self.start_write(now, codec, out);
    }

    fn push(&mut self, now: Timestamp, entry: T, bytes: usize, out: &mut Vec<CommitAction<T>>) {
        if self.is_fenced {
            return out.push(CommitAction::Refused { entry, reason: CommitRefusal::Fenced });
        }
        if self.buffered() >= self.config.max_buffered {
            return out.push(CommitAction::Refused { entry, reason: CommitRefusal::Full });
        }
        self.pending_bytes += bytes;
        self.pending.push_back(PendingEntry { entry, bytes, queued_at: now });
    }
}

/// # Writing
impl<T: Clone> GroupCommit<T> {
    fn is_write_due(&self, now: Timestamp) -> bool {
        let Some(oldest) = self.pending.front() else {
            return false;
        };
        self.pending.len() >= self.config.max_entries
            || self.pending_bytes >= self.config.max_bytes
            || now - oldest.queued_at >= self.config.max_delay
    }

    fn start_write(
        &mut self,
        now: Timestamp,
        codec: &mut impl CommitCodec<T>,
        out: &mut Vec<CommitAction<T>>,
    ) {
        let is_stopped = self.is_fenced || self.is_paused;
        if is_stopped || self.in_flight.is_some() || !self.is_write_due(now) {
            return;
        }
        let entries = self.take_group();
        self.write_count += 1;
        let stamp = self.claim.stamp(self.write_count);
        let value = codec.encode(&entries, stamp);
        let expect = Precondition::Version(self.version);
        let write = StampedWrite::new(self.object.clone(), expect, value);
        let op = write.next_call();
        self.in_flight = Some(InFlight { entries, stamp, write, started_at: now });
        self.call(op, out);
    }

    fn take_group(&mut self) -> Vec<T> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while entries.len() < self.config.max_entries.max(1)
            && (entries.is_empty() || bytes < self.config.max_bytes)
        {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            bytes += pending.bytes;
            entries.push(pending.entry);
        }
        self.pending_bytes -= bytes;
        entries
    }

    fn call(&mut self, op: StoreOp, out: &mut Vec<CommitAction<T>>) {
        let call: CallId = self.slot.open();
        out.push(CommitAction::Call { call, op });
    }

    fn retry(&mut self, now: Timestamp, out: &mut Vec<CommitAction<T>>) {
        if !self.slot.is_retry_due(now) {
            return;
        }
        if let Some(in_flight) = &self.in_flight {
            let op = in_flight.write.next_call();
            self.call(op, out);
        }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        reply: StoreReply,
        codec: &mut impl CommitCodec<T>,
        out: &mut Vec<CommitAction<T>>,
    ) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        let stamp = Some(in_flight.stamp);
        match in_flight.write.on_reply(reply.clone(), |value| codec.stamp(value) == stamp) {
            WriteStep::Finished(result) => {
                return self.finish(in_flight.entries, result, codec, out);
            }
            WriteStep::Call(op) if reply != StoreReply::Ambiguous => self.call(op, out),
            WriteStep::Call(_) | WriteStep::Wait(_) => self.slot.retry_after(now, &reply),
        }
        self.in_flight = Some(in_flight);
    }

    fn finish(
        &mut self,
        entries: Vec<T>,
        result: WriteResult,
        codec: &mut impl CommitCodec<T>,
        out: &mut Vec<CommitAction<T>>,
    ) {
        self.slot.reset();
        match result {
            WriteResult::Written { version } => {
                self.version = version;
                codec.on_stored();
                out.push(CommitAction::Durable { entries, version });
            }
            WriteResult::Fenced { current } => self.on_fenced(entries, current, out),
            WriteResult::TooLarge => out.push(CommitAction::TooLarge { entries }),
        }
    }

    fn on_fenced(
        &mut self,
        in_doubt: Vec<T>,
        current: Option<(Version, Arc<[u8]>)>,
        out: &mut Vec<CommitAction<T>>,
    ) {
        self.is_fenced = true;
        self.pending_bytes = 0;
        let unwritten = self.pending.drain(..).map(|pending| pending.entry).collect();
        out.push(CommitAction::Fenced { in_doubt, unwritten, current });
    }
}
