//! Model version objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// A version of a model, with its own weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name, unique among the versions of all models.
    pub name: Name,
    /// Model that the version belongs to.
    pub model: Name,
    /// Identifier of the weights in the weight store.
    pub weights: Name,
    /// Number of accelerators that a replica occupies.
    pub accelerators: u32,
}
