//! Event codes and severity levels.

use std::fmt;

use serde::Serialize;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Requires action by an operator.
    Error,
    /// Unexpected condition that the process handled.
    Warn,
    /// Normal change of state.
    Info,
    /// Step in the processing of one request.
    Debug,
}

impl From<Level> for log::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Kind of event. A number is never reused for another kind.
#[derive(Debug, PartialEq, Eq)]
pub struct EventCode {
    /// Number, displayed as in `DT1001`.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Fixed message text.
    pub text: &'static str,
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DT{:04}", self.number)
    }
}
