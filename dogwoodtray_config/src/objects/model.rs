//! Models.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// A model that the fleet can serve in one or more versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: Name,
    /// Text for people.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub description: Name,
    /// Most tokens of prompt and answer together.
    pub context_tokens: u32,
    /// Most tokens of an answer.
    pub max_output_tokens: u32,
}
