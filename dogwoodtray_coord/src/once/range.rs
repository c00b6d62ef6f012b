//! State machine of a key range.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Backoff;
use crate::CallId;
use crate::Claim;
use crate::ClaimAction;
use crate::ClaimEvent;
use crate::ClaimState;
use crate::CommitAction;
use crate::CommitConfig;
use crate::CommitEvent;
use crate::Epoch;
use crate::GroupCommit;
use crate::Holder;
use crate::LossReason;
use crate::Name;
use crate::ObjectKey;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;

use super::KeyHash;
use super::OnceAction;
use super::OnceConfig;
use super::OnceEvent;
use super::active::ActiveKey;
use super::codec::StoredState;
use super::codec::TableClaimCodec;
use super::encoding::decode_table;
use super::seal::Deletion;
use super::seal::Sealing;
use super::table::RecordOp;

/// Maximum number of buffered changes of one key: an intent and its removal.
const MAX_OPS_PER_KEY: usize = 2;

/// Part of the range that issued a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum CallOrigin {
    Claim,
    Commit,
    Seal,
    Delete,
    Lookup(KeyHash),
}

/// State of a range that this process owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnedState {
    pub(super) epoch: Epoch,
    pub(super) commit: GroupCommit<RecordOp>,
    pub(super) stored: StoredState,
    pub(super) active_keys: BTreeMap<KeyHash, ActiveKey>,
    pub(super) sealing: Option<Sealing>,
    pub(super) deletion: Option<Deletion>,
}

/// At-most-once records of one key range.
///
/// The owner of the range stores an intent before it runs a request, and the outcome before it
/// returns the answer. A resend attaches to the run or gets the stored answer. After a takeover,
/// the outcome of each intent without one is permanently unknown.
///
/// The object `once/RANGE` holds the records and, for each sealed segment `once-log/RANGE.N`, the
/// upper halves of the key hashes in it. A lookup therefore reads a segment only when it very
/// likely contains the key, and a new owner needs only the object to start.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::{Backoff, CommitConfig, ContentHash, Epoch, Holder, Incarnation};
/// use dogwoodtray_coord::{KeyHash, OnceAction, OnceConfig, OnceEvent, OnceRange, RequestId};
/// use dogwoodtray_coord::{StoreReply, Timestamp, Version};
///
/// let holder = Holder { address: Arc::from("10.0.0.1:70"), incarnation: Incarnation(9) };
/// let backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 9);
/// let commit = CommitConfig { max_delay: Duration::ZERO, ..CommitConfig::default() };
/// let config = OnceConfig { commit, ..OnceConfig::default() };
/// let mut range = OnceRange::new("3", holder, config, backoff);
/// let (now, mut out) = (Timestamp::ZERO, Vec::new());
///
/// range.handle(now, OnceEvent::Tick, &mut out);
/// for reply in [StoreReply::Missing, StoreReply::Written { version: Version(1) }] {
///     let Some(OnceAction::Call { call, .. }) = out.pop() else { panic!("no call") };
///     range.handle(now, OnceEvent::Reply { call, reply }, &mut out);
/// }
/// assert_eq!(out.pop(), Some(OnceAction::Acquired { epoch: Epoch(1) }));
///
/// let (request, key, content) = (RequestId(1), KeyHash::of(b"slip-7"), ContentHash::of(b"{}"));
/// range.handle(now, OnceEvent::Begin { request, key, content }, &mut out);
/// let Some(OnceAction::Call { call, .. }) = out.pop() else { panic!("no call") };
/// let reply = StoreReply::Written { version: Version(2) };
/// range.handle(now, OnceEvent::Reply { call, reply }, &mut out);
/// assert_eq!(out, [OnceAction::Run { request, key, epoch: Epoch(1) }]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceRange {
    pub(super) range: Name,
    pub(super) local_holder: Holder,
    pub(super) config: OnceConfig,
    pub(super) backoff: Backoff,
    claim: Claim,
    pub(super) owned: Option<OwnedState>,
    calls: BTreeMap<CallId, (CallOrigin, CallId)>,
    next_call: u64,
}

impl OnceRange {
    /// Creates the state machine of a range. The first [`OnceEvent::Tick`] starts to claim it.
    #[must_use]
    pub fn new(
        range: impl Into<Name>,
        local_holder: Holder,
        config: OnceConfig,
        backoff: Backoff,
    ) -> Self {
        let range = range.into();
        let object = ObjectKey::new("once", Name::clone(&range));
        let claim = Claim::new(object, local_holder.clone(), backoff.clone());
        let (owned, calls, next_call) = (None, BTreeMap::new(), 0);
        Self { range, local_holder, config, backoff, claim, owned, calls, next_call }
    }

    /// Returns the state of the claim on the range.
    #[must_use]
    pub const fn state(&self) -> ClaimState {
        self.claim.state()
    }

    /// Returns `true` if this process holds the range with that epoch, as the reply to a probe.
    #[must_use]
    pub fn holds(&self, epoch: Epoch) -> bool {
        self.claim.holds(epoch)
    }

    /// Returns the other process that owns the range, or `None` if none is known.
    #[must_use]
    pub const fn other_holder(&self) -> Option<&Holder> {
        self.claim.other_holder()
    }

    /// Returns the number of keys that are starting, running or finishing.
    #[must_use]
    pub fn active_keys(&self) -> usize {
        self.owned.as_ref().map_or(0, |owned| owned.active_keys.len())
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: OnceEvent, out: &mut Vec<OnceAction>) {
        if let Some(owned) = &mut self.owned {
            owned.stored.set_clock(now);
        }
        match event {
            OnceEvent::Tick => self.on_tick(now, out),
            OnceEvent::Restart => self.drive_claim(now, ClaimEvent::Restart, out),
            OnceEvent::Reply { call, reply } => self.on_reply(now, call, reply, out),
            OnceEvent::ProbeReply { epoch, holds } => {
                self.drive_claim(now, ClaimEvent::ProbeReply { epoch, holds }, out);
            }
            OnceEvent::Begin { request, key, content } => {
                self.begin(now, request, key, content, out);
            }
            OnceEvent::Finish { key, outcome } => self.finish(now, key, outcome, out),
            OnceEvent::NotRun { key } => self.not_run(now, key, out),
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<OnceAction>) {
        self.drive_claim(now, ClaimEvent::Tick, out);
        self.drive_commit(now, CommitEvent::Tick, out);
        self.expire_waiters(now, out);
        self.answer_early(now, out);
        self.retry_lookups(now, out);
        self.drive_sealing(now, out);
        self.drive_deletion(now, out);
    }
}

/// # Store calls
impl OnceRange {
    /// Emits a store call on behalf of one part of the range.
    pub(super) fn call(
        &mut self,
        origin: CallOrigin,
        inner_call: CallId,
        op: StoreOp,
        out: &mut Vec<OnceAction>,
    ) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, (origin, inner_call));
        out.push(OnceAction::Call { call, op });
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        reply: StoreReply,
        out: &mut Vec<OnceAction>,
    ) {
        let Some((origin, call)) = self.calls.remove(&call) else {
            return;
        };
        match origin {
            CallOrigin::Claim => self.drive_claim(now, ClaimEvent::Reply { call, reply }, out),
            CallOrigin::Commit => self.drive_commit(now, CommitEvent::Reply { call, reply }, out),
            CallOrigin::Seal => self.on_seal_reply(now, call, reply, out),
            CallOrigin::Delete => self.on_deletion_reply(now, call, reply),
            CallOrigin::Lookup(key) => self.on_lookup_reply(now, key, call, reply, out),
        }
    }
}

/// # Claim
impl OnceRange {
    fn drive_claim(&mut self, now: Timestamp, event: ClaimEvent, out: &mut Vec<OnceAction>) {
        let mut actions = Vec::new();
        self.claim.handle(now, event, &TableClaimCodec, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Call { call, op } => self.call(CallOrigin::Claim, call, op, out),
                ClaimAction::Probe { holder, object, epoch } => {
                    out.push(OnceAction::Probe { holder, object, epoch });
                }
                ClaimAction::Claimed { epoch, version, value } => {
                    self.acquire(now, epoch, version, &value, out);
                }
                ClaimAction::Lost { reason } => self.lose(reason, out),
            }
        }
    }

    fn acquire(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        version: Version,
        value: &Arc<[u8]>,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(table) = decode_table(value) else {
            debug_assert!(false, "the value of a held claim is a table");
            return;
        };
        let object = ObjectKey::new("once", Name::clone(&self.range));
        let max_buffered = self.config.max_active_keys * MAX_OPS_PER_KEY;
        let config = CommitConfig { max_buffered, ..self.config.commit };
        let claim = table.claim.clone();
        let commit = GroupCommit::new(object, claim, version, config, self.backoff.clone());
        let stored = StoredState::new(now, table, value.len(), self.config.retention.as_secs());
        let (active_keys, sealing, deletion) = (BTreeMap::new(), None, None);
        self.owned = Some(OwnedState { epoch, commit, stored, active_keys, sealing, deletion });
        out.push(OnceAction::Acquired { epoch });
    }

    fn lose(&mut self, reason: LossReason, out: &mut Vec<OnceAction>) {
        self.calls.clear();
        if let Some(owned) = self.owned.take() {
            for active in owned.active_keys.into_values() {
                Self::abandon(active, out);
            }
        }
        out.push(OnceAction::Lost { reason });
    }
}

/// # Group commit
impl OnceRange {
    /// Makes a change of a record durable.
    pub(super) fn push(&mut self, now: Timestamp, op: RecordOp, out: &mut Vec<OnceAction>) {
        let bytes = op.size();
        self.drive_commit(now, CommitEvent::Push { entry: op, bytes }, out);
    }

    pub(super) fn drive_commit(
        &mut self,
        now: Timestamp,
        event: CommitEvent<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let mut actions = Vec::new();
        owned.commit.handle(now, event, &mut owned.stored, &mut actions);
        for action in actions {
            self.on_commit_action(now, action, out);
        }
    }

    fn on_commit_action(
        &mut self,
        now: Timestamp,
        action: CommitAction<RecordOp>,
        out: &mut Vec<OnceAction>,
    ) {
        match action {
            CommitAction::Call { call, op } => self.call(CallOrigin::Commit, call, op, out),
            CommitAction::Durable { entries, version } => {
                self.drive_claim(now, ClaimEvent::Written { version }, out);
                self.on_durable(now, entries, out);
            }
            CommitAction::Fenced { .. } => self.drive_claim(now, ClaimEvent::Fenced, out),
            CommitAction::TooLarge { entries } => self.on_too_large(now, entries, out),
            CommitAction::Refused { .. } => {
                debug_assert!(false, "the buffer has room for the changes of each active key");
            }
        }
    }
}
