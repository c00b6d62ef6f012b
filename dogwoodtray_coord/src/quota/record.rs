//! Stored record of the units that admitted work holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Units of all admitted work that is not known to have ended, by name of the work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct QuotaRecord {
    pub(super) units: BTreeMap<Name, u64>,
}

impl QuotaRecord {
    pub(super) fn encode(&self) -> Arc<[u8]> {
        // Serialization to memory fails only for maps with keys that are not strings or numbers.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        debug_assert!(!bytes.is_empty(), "the record is serializable");
        Arc::from(bytes)
    }

    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
