//! Numbers and levels of events.

use std::fmt;

use serde::Serialize;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Needs an operator.
    Error,
    /// Unusual, and handled.
    Warn,
    /// Change of state.
    Info,
    /// Step of one request.
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

/// One kind of event. Its number never changes its meaning.
#[derive(Debug, PartialEq, Eq)]
pub struct EventCode {
    /// Number, shown as `DT1001`.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Fixed text.
    pub text: &'static str,
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DT{:04}", self.number)
    }
}
