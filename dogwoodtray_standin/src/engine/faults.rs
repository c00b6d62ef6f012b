//! Faults.

use serde::Deserialize;
use serde::Serialize;

use crate::faults::FaultSet;

/// Largest slow factor, so that a step stays within hours.
const SLOW_FACTOR_LIMIT: f64 = 1e6;

/// Faults of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Text that kills the endpoint when the body of a request contains it.
    pub crash_marker: Option<String>,
    /// Milliseconds after which a killed endpoint serves again; `None` for never.
    pub restart_after_ms: Option<u64>,
    /// Factor on the duration of each step.
    pub slow_factor: f64,
    /// Whether the endpoint stands still: it accepts connections and answers nothing.
    pub freeze: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self { crash_marker: None, restart_after_ms: None, slow_factor: 1.0, freeze: false }
    }
}

impl FaultSet for EngineFaults {
    fn problem(&self) -> Option<&'static str> {
        if !(0.0..=SLOW_FACTOR_LIMIT).contains(&self.slow_factor) {
            return Some("slow_factor must lie between 0 and 1000000");
        }
        let empty = self.crash_marker.as_ref().is_some_and(String::is_empty);
        empty.then_some("crash_marker must not be empty")
    }
}
