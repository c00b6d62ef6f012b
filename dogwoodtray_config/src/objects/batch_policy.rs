//! Batch policies.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// How the batch work of some routes or models is treated.
///
/// A policy that names a route takes precedence over one that names the model of the route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchPolicy {
    /// Name, unique among batch policies.
    pub name: Name,
    /// Weight of batch throughput against the online tail: 0.0 gives all weight to the online
    /// tail, 1.0 all weight to batch throughput.
    pub batch_weight: f64,
    /// Most attempts for each item, 1 to 3.
    pub max_attempts: u8,
    /// Seconds after submission at which a job is due that names no time itself.
    pub default_due_s: u64,
    /// Routes that the policy applies to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Name>,
    /// Models that the policy applies to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
}
