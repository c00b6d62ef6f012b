//! Claim stored in an object.

use std::sync::Arc;

use crate::Epoch;
use crate::Incarnation;
use crate::Name;
use crate::WriteStamp;

/// Number of low bits of a stamp's sequence number that count the writes; the epoch is above them.
const EPOCH_SHIFT: u32 = 32;

/// Process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Address for probes to the process.
    pub address: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Claim stored in an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRecord {
    /// Fencing token, incremented by each claim.
    pub epoch: Epoch,
    /// Process that holds the claim, if any.
    pub holder: Option<Holder>,
}

impl ClaimRecord {
    /// Returns the stamp for a write under this claim.
    ///
    /// The sequence number includes the epoch, so the stamps of a process stay unique when it
    /// claims the object again. Number 0 is the write of the claim itself.
    #[must_use]
    pub fn stamp(&self, number: u32) -> WriteStamp {
        let incarnation = self.holder.as_ref().map_or(Incarnation(0), |holder| holder.incarnation);
        WriteStamp { incarnation, seq: (self.epoch.0 << EPOCH_SHIFT) | u64::from(number) }
    }
}

/// Codec that reads and replaces the claim inside the value of an object.
pub trait ClaimCodec {
    /// Returns the claim in a value, or `None` if the value cannot be decoded.
    fn claim(&self, value: &[u8]) -> Option<ClaimRecord>;

    /// Returns the value with its claim replaced and the rest of its content unchanged.
    ///
    /// A write stamp in the value must be replaced by `claim.stamp(0)`. Otherwise the previous
    /// holder would recognize its own stamp in the new version and could overwrite it.
    ///
    /// `value` is `None` if the object does not exist. Returns `None` if the value cannot be
    /// decoded, or if a claim must not create the object.
    fn with_claim(&self, value: Option<&[u8]>, claim: &ClaimRecord) -> Option<Arc<[u8]>>;
}
