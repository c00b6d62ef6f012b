//! Faults of the engine stand-in.

use serde::Deserialize;
use serde::Serialize;

use crate::faults::FaultSettings;

/// Largest valid slow factor, so that a step does not take more than hours.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// Faults of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Text that crashes the endpoint when the body of a request contains it.
    pub crash_marker: Option<String>,
    /// Time in milliseconds after which a crashed endpoint restarts; `None` for never.
    pub restart_after_ms: Option<u64>,
    /// Factor that multiplies the duration of each step.
    pub slow_factor: f64,
    /// Whether the endpoint accepts connections but processes no requests and runs no steps.
    pub freeze: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self { crash_marker: None, restart_after_ms: None, slow_factor: 1.0, freeze: false }
    }
}

impl FaultSettings for EngineFaults {
    fn validation_error(&self) -> Option<&'static str> {
        if !(0.0..=MAX_SLOW_FACTOR).contains(&self.slow_factor) {
            return Some("slow_factor must lie between 0 and 1000000");
        }
        let empty = self.crash_marker.as_ref().is_some_and(String::is_empty);
        empty.then_some("crash_marker must not be empty")
    }
}
