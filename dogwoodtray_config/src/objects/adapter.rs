//! Adapter objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// An adapter, a small set of weights that is loaded on top of a version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, unique among adapters.
    pub name: Name,
    /// Version of a model that the adapter was trained for.
    pub base_version: Name,
    /// Identifier of the weights in the weight store.
    pub weights: Name,
}
