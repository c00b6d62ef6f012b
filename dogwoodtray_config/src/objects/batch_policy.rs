//! Batch policy objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// Scheduling policy for the batch jobs of some routes or models.
///
/// A policy that lists a route takes precedence over one that lists the model of the route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchPolicy {
    /// Name, unique among batch policies.
    pub name: Name,
    /// Weight of batch throughput relative to the tail latency of online requests, from 0.0 (only
    /// tail latency counts) to 1.0 (only batch throughput counts).
    pub batch_weight: f64,
    /// Maximum number of attempts per item, 1 to 3.
    pub max_attempts: u8,
    /// Seconds after submission when a job is due if it specifies no due time.
    pub default_due_s: u64,
    /// Routes that the policy applies to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Name>,
    /// Models that the policy applies to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
}
