//! Claimed object that contains a log of entries, and its codec.

use std::sync::Arc;

use dogwoodtray_coord::*;
use serde::Deserialize;
use serde::Serialize;

use super::holder;

/// Value of the object: its claim, the stamp of its last write and its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Doc {
    pub(crate) epoch: Epoch,
    pub(crate) holder: Option<Incarnation>,
    pub(crate) stamp: WriteStamp,
    pub(crate) log: Vec<u8>,
}

impl Doc {
    pub(crate) fn decode(value: &[u8]) -> Self {
        serde_json::from_slice(value).expect("a document")
    }

    pub(crate) fn encode(&self) -> Arc<[u8]> {
        Arc::from(serde_json::to_vec(self).expect("string keys"))
    }
}

/// Codec of the object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DocCodec {
    pub(crate) stored: Doc,
    pub(crate) staged: Doc,
    /// Defect: a takeover keeps the stamp of the previous holder.
    pub(crate) keeps_stamp: bool,
    /// Defect: values contain no stamp.
    pub(crate) has_no_stamp: bool,
}

impl ClaimCodec for DocCodec {
    fn claim(&self, value: &[u8]) -> Option<ClaimRecord> {
        let doc = Doc::decode(value);
        let holder = doc.holder.map(|incarnation| holder(incarnation.0 as usize - 1));
        Some(ClaimRecord { epoch: doc.epoch, holder })
    }

    fn with_claim(&self, value: Option<&[u8]>, claim: &ClaimRecord) -> Option<Arc<[u8]>> {
        let mut doc = value.map(Doc::decode).unwrap_or_default();
        doc.epoch = claim.epoch;
        doc.holder = claim.holder.as_ref().map(|holder| holder.incarnation);
        if !self.keeps_stamp {
            doc.stamp = claim.stamp(0);
        }
        Some(doc.encode())
    }
}

impl CommitCodec<u8> for DocCodec {
    fn encode(&mut self, entries: &[u8], stamp: WriteStamp) -> Arc<[u8]> {
        self.staged = self.stored.clone();
        self.staged.log.extend(entries);
        if !self.has_no_stamp {
            self.staged.stamp = stamp;
        }
        self.staged.encode()
    }

    fn on_stored(&mut self) {
        self.stored = self.staged.clone();
    }

    fn stamp(&self, value: &[u8]) -> Option<WriteStamp> {
        Some(Doc::decode(value).stamp)
    }
}
