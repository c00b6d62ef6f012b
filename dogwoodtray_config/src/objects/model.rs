//! Model objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// A model that the fleet can serve in one or more versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: Name,
    /// Human-readable description.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub description: Name,
    /// Maximum number of tokens in prompt and answer together.
    pub context_tokens: u32,
    /// Maximum number of tokens in an answer.
    pub max_output_tokens: u32,
}
