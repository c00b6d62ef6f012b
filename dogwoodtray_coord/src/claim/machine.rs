//! The claim state machine.

use std::sync::Arc;

use crate::Backoff;
use crate::Epoch;
use crate::ObjectKey;
use crate::Precondition;
use crate::StampedWrite;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;
use crate::WriteResult;
use crate::WriteStep;
use crate::calls::CallSlot;

use super::ClaimAction;
use super::ClaimCodec;
use super::ClaimEvent;
use super::ClaimRecord;
use super::ClaimState;
use super::Holder;
use super::HolderStatus;
use super::HolderWatch;
use super::LossReason;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// `failed_epoch` is the epoch of the claim whose holder was considered failed.
    Reading {
        failed_epoch: Option<Epoch>,
    },
    Watching(HolderWatch),
    Writing {
        write: StampedWrite,
        epoch: Epoch,
        value: Arc<[u8]>,
    },
    Held {
        epoch: Epoch,
        version: Version,
    },
    Lost,
}

/// Claim on an object, made by a conditional update that stores the next epoch.
///
/// The conditional update is the fence: the next write of a holder that lost the claim without
/// noticing fails.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use dogwoodtray_coord::{Backoff, Claim, ClaimAction, ClaimCodec, ClaimEvent, ClaimRecord};
/// use dogwoodtray_coord::{ClaimState, Epoch, Holder, Incarnation, ObjectKey, StoreReply};
/// use dogwoodtray_coord::{Timestamp, Version};
///
/// /// The value holds the epoch only.
/// struct EpochOnly;
///
/// impl ClaimCodec for EpochOnly {
///     fn claim(&self, value: &[u8]) -> Option<ClaimRecord> {
///         Some(ClaimRecord { epoch: Epoch(u64::from(*value.first()?)), holder: None })
///     }
///     fn with_claim(&self, _: Option<&[u8]>, claim: &ClaimRecord) -> Option<Arc<[u8]>> {
///         Some(Arc::from([u8::try_from(claim.epoch.0).ok()?]))
///     }
/// }
///
/// let holder = Holder { address: Arc::from("10.0.0.1:70"), incarnation: Incarnation(9) };
/// let backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 9);
/// let mut claim = Claim::new(ObjectKey::new("once", "3"), holder, backoff);
/// let mut out = Vec::new();
/// let now = Timestamp::ZERO;
/// claim.handle(now, ClaimEvent::Tick, &EpochOnly, &mut out);
/// for reply in [StoreReply::Missing, StoreReply::Written { version: Version(1) }] {
///     let Some(ClaimAction::Call { call, .. }) = out.pop() else { panic!("no call") };
///     claim.handle(now, ClaimEvent::Reply { call, reply }, &EpochOnly, &mut out);
/// }
/// let held = ClaimState::Held { epoch: Epoch(1), version: Version(1) };
/// assert_eq!(claim.state(), held);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    object: ObjectKey,
    local_holder: Holder,
    slot: CallSlot,
    phase: Phase,
}

impl Claim {
    /// Creates a claim. The first [`ClaimEvent::Tick`] reads the object.
    #[must_use]
    pub const fn new(object: ObjectKey, local_holder: Holder, backoff: Backoff) -> Self {
        Self {
            object,
            local_holder,
            slot: CallSlot::due(backoff),
            phase: Phase::Reading { failed_epoch: None },
        }
    }

    /// Returns the state of the claim.
    #[must_use]
    pub const fn state(&self) -> ClaimState {
        match self.phase {
            Phase::Reading { .. } | Phase::Watching(_) | Phase::Writing { .. } => {
                ClaimState::Claiming
            }
            Phase::Held { epoch, version } => ClaimState::Held { epoch, version },
            Phase::Lost => ClaimState::Lost,
        }
    }

    /// Returns `true` if this process holds the claim with that epoch, as the reply to a probe.
    #[must_use]
    pub fn holds(&self, probed_epoch: Epoch) -> bool {
        matches!(self.phase, Phase::Held { epoch, .. } if epoch == probed_epoch)
    }

    /// Returns the other process that holds the claim, or `None` if none is known.
    #[must_use]
    pub const fn other_holder(&self) -> Option<&Holder> {
        match &self.phase {
            Phase::Watching(watch) => Some(watch.holder()),
            _ => None,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ClaimEvent,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        match event {
            ClaimEvent::Tick => self.on_tick(now, out),
            ClaimEvent::Reply { call, reply } => {
                if self.slot.accept(call) {
                    self.on_reply(now, reply, codec, out);
                }
            }
            ClaimEvent::ProbeReply { epoch, holds } => {
                if let Phase::Watching(watch) = &mut self.phase {
                    watch.on_reply(epoch, holds);
                }
                self.try_take_over(now, out);
            }
            ClaimEvent::Written { version } => self.on_written(version),
            ClaimEvent::Fenced => {
                if matches!(self.phase, Phase::Held { .. }) {
                    self.lose(LossReason::Fenced, out);
                }
            }
            ClaimEvent::Restart => {
                if self.phase == Phase::Lost {
                    self.read(None, out);
                }
            }
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<ClaimAction>) {
        self.try_take_over(now, out);
        if let Phase::Watching(watch) = &mut self.phase
            && watch.try_probe(now)
        {
            let (holder, epoch) = (watch.holder().clone(), watch.epoch());
            out.push(ClaimAction::Probe { holder, object: self.object.clone(), epoch });
        }
        if !self.slot.is_retry_due(now) {
            return;
        }
        match &self.phase {
            Phase::Reading { failed_epoch } => self.read(*failed_epoch, out),
            Phase::Writing { write, .. } => {
                let op = write.next_call();
                self.call(op, out);
            }
            Phase::Watching(_) | Phase::Held { .. } | Phase::Lost => {}
        }
    }

    fn on_written(&mut self, version: Version) {
        if let Phase::Held { version: held, .. } = &mut self.phase {
            *held = version;
        }
    }

    fn lose(&mut self, reason: LossReason, out: &mut Vec<ClaimAction>) {
        self.phase = Phase::Lost;
        out.push(ClaimAction::Lost { reason });
    }
}

/// # Reading the object
impl Claim {
    fn read(&mut self, failed_epoch: Option<Epoch>, out: &mut Vec<ClaimAction>) {
        self.phase = Phase::Reading { failed_epoch };
        self.call(StoreOp::Get { key: self.object.clone() }, out);
    }

    fn call(&mut self, op: StoreOp, out: &mut Vec<ClaimAction>) {
        out.push(ClaimAction::Call { call: self.slot.open(), op });
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        reply: StoreReply,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        match self.phase {
            Phase::Reading { failed_epoch } => self.on_read(now, reply, failed_epoch, codec, out),
            Phase::Writing { .. } => self.on_write_reply(now, reply, codec, out),
            Phase::Watching(_) | Phase::Held { .. } | Phase::Lost => {}
        }
    }

    fn on_read(
        &mut self,
        now: Timestamp,
        reply: StoreReply,
        failed_epoch: Option<Epoch>,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        match reply {
            StoreReply::Found { version, value } => {
                self.evaluate(now, Some((version, value)), failed_epoch, codec, out);
            }
            StoreReply::Missing => self.evaluate(now, None, failed_epoch, codec, out),
            reply => self.slot.retry_after(now, &reply),
        }
    }

    fn is_other_process(&self, holder: &Holder) -> bool {
        holder.incarnation != self.local_holder.incarnation
    }

    /// Writes a claim if the object has no live holder, and otherwise starts to watch the holder.
    fn evaluate(
        &mut self,
        now: Timestamp,
        current: Option<(Version, Arc<[u8]>)>,
        failed_epoch: Option<Epoch>,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        self.slot.reset();
        let Some((version, value)) = current else {
            return self.claim(Precondition::Absent, None, Epoch(0), codec, out);
        };
        let Some(record) = codec.claim(&value) else {
            return self.lose(LossReason::NotClaimable, out);
        };
        match record.holder {
            Some(holder)
                if self.is_other_process(&holder) && failed_epoch != Some(record.epoch) =>
            {
                self.phase = Phase::Watching(HolderWatch::new(now, holder, record.epoch));
            }
            _ => self.claim(Precondition::Version(version), Some(&value), record.epoch, codec, out),
        }
    }

    /// Reads the object again once its holder is considered failed, because the holder may have
    /// written it since. If the holder is still writing, its writes fence the takeover.
    fn try_take_over(&mut self, now: Timestamp, out: &mut Vec<ClaimAction>) {
        let Phase::Watching(watch) = &self.phase else {
            return;
        };
        if watch.status(now) == HolderStatus::Alive {
            return;
        }
        let failed_epoch = Some(watch.epoch());
        self.read(failed_epoch, out);
    }
}

/// # Writing the claim
impl Claim {
    fn record(&self, epoch: Epoch) -> ClaimRecord {
        ClaimRecord { epoch, holder: Some(self.local_holder.clone()) }
    }

    fn claim(
        &mut self,
        expect: Precondition,
        value: Option<&[u8]>,
        last_epoch: Epoch,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        let epoch = last_epoch.next();
        let Some(value) = codec.with_claim(value, &self.record(epoch)) else {
            return self.lose(LossReason::NotClaimable, out);
        };
        let write = StampedWrite::new(self.object.clone(), expect, Arc::clone(&value));
        let op = write.next_call();
        self.phase = Phase::Writing { write, epoch, value };
        self.call(op, out);
    }

    fn on_write_reply(
        &mut self,
        now: Timestamp,
        reply: StoreReply,
        codec: &impl ClaimCodec,
        out: &mut Vec<ClaimAction>,
    ) {
        let Phase::Writing { write, epoch, value } = &mut self.phase else {
            return;
        };
        let epoch = *epoch;
        let own_record = ClaimRecord { epoch, holder: Some(self.local_holder.clone()) };
        let step =
            write.on_reply(reply.clone(), |value| codec.claim(value).as_ref() == Some(&own_record));
        match step {
            WriteStep::Finished(WriteResult::Written { version }) => {
                // Another writer may have changed the object under this claim before it was read
                // back, so the value read back is used.
                let value = match reply {
                    StoreReply::Found { value, .. } => value,
                    _ => Arc::clone(value),
                };
                self.slot.reset();
                self.phase = Phase::Held { epoch, version };
                out.push(ClaimAction::Claimed { epoch, version, value });
            }
            WriteStep::Finished(WriteResult::Fenced { current }) => {
                self.evaluate(now, current, None, codec, out);
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                self.slot.reset();
                self.lose(LossReason::TooLarge, out);
            }
            WriteStep::Call(op) if reply != StoreReply::Ambiguous => self.call(op, out),
            WriteStep::Call(_) | WriteStep::Wait(_) => self.slot.retry_after(now, &reply),
        }
    }
}
