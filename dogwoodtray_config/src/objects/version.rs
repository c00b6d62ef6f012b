//! Versions of models.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// One version of a model, with its own weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name, unique among the versions of all models.
    pub name: Name,
    /// Model that this is a version of.
    pub model: Name,
    /// Identifier of the weights in the weight store.
    pub weights: Name,
    /// Accelerators that one replica occupies.
    pub accelerators: u32,
}
