//! The claim that an object carries.

use std::sync::Arc;

use crate::Epoch;
use crate::Incarnation;
use crate::Name;
use crate::WriteStamp;

/// Bits of a stamp's sequence number below the epoch.
const EPOCH_SHIFT: u32 = 32;

/// Process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Address at which the process answers probes.
    pub address: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// The claim that an object carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRecord {
    /// Fencing token. Grows by one with each claim.
    pub epoch: Epoch,
    /// Process that holds the claim, if any.
    pub holder: Option<Holder>,
}

impl ClaimRecord {
    /// Returns the stamp for a write under this claim.
    ///
    /// The epoch is part of the sequence number, so that the stamps of a process stay unique when it
    /// claims the object again. Number 0 is the write of the claim itself.
    #[must_use]
    pub fn stamp(&self, number: u32) -> WriteStamp {
        let incarnation = self.holder.as_ref().map_or(Incarnation(0), |holder| holder.incarnation);
        WriteStamp { incarnation, seq: (self.epoch.0 << EPOCH_SHIFT) | u64::from(number) }
    }
}

/// Reads and replaces the claim inside the value of an object.
pub trait ClaimCodec {
    /// Returns the claim that a value carries, or `None` if the value cannot be read.
    fn claim(&self, value: &[u8]) -> Option<ClaimRecord>;

    /// Returns the value with another claim and otherwise the same content.
    ///
    /// If the value carries a write stamp, it is replaced by `claim.stamp(0)`. Otherwise the former
    /// holder would recognize its own stamp in the new version and could write on top of it.
    ///
    /// `value` is `None` when the object does not exist. The result is `None` when the claim cannot
    /// be made: the value cannot be read, or the object must not be created by a claim.
    fn with_claim(&self, value: Option<&[u8]>, claim: &ClaimRecord) -> Option<Arc<[u8]>>;
}
