//! Output of subcommands.

use std::fmt::Display;
use std::io;
use std::io::Write;

use serde::Serialize;
use serde_json::Value;

use crate::Exit;
use crate::admin::AdminError;
use crate::platform::PlatformError;

/// Result of a subcommand, as text and as JSON.
#[derive(Debug)]
pub(super) struct Report {
    lines: Vec<String>,
    json: Value,
    pub(super) exit: Exit,
}

impl Report {
    pub(super) fn new(exit: Exit, json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or_default();
        Self { lines: Vec::new(), json, exit }
    }

    #[must_use]
    pub(super) fn line(mut self, line: impl Display) -> Self {
        self.lines.push(line.to_string());
        self
    }

    #[must_use]
    pub(super) fn lines<T: Display>(mut self, lines: impl IntoIterator<Item = T>) -> Self {
        self.lines.extend(lines.into_iter().map(|line| line.to_string()));
        self
    }

    pub(super) fn write(&self, json: bool, out: &mut dyn Write) -> io::Result<()> {
        if json {
            return match &self.json {
                Value::Null => Ok(()),
                json => writeln!(out, "{json}"),
            };
        }
        self.lines.iter().try_for_each(|line| writeln!(out, "{line}"))
    }
}

/// Error of a subcommand that has no result, with the exit code.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) message: String,
    pub(super) exit: Exit,
}

impl Failure {
    pub(super) fn usage(message: impl Display) -> Self {
        Self { message: message.to_string(), exit: Exit::Usage }
    }
}

impl From<AdminError> for Failure {
    fn from(err: AdminError) -> Self {
        let exit = match err {
            AdminError::Io(..) => Exit::Unreachable,
            AdminError::Status(..) | AdminError::Json(..) => Exit::Findings,
        };
        Self { message: err.to_string(), exit }
    }
}

impl From<PlatformError> for Failure {
    fn from(err: PlatformError) -> Self {
        let exit = match err {
            PlatformError::Runtime(_)
            | PlatformError::Unreachable(..)
            | PlatformError::UnknownResult(..) => Exit::Unreachable,
            PlatformError::Unreadable(..) => Exit::Findings,
            PlatformError::NoSuchSet(_) | PlatformError::AmbiguousGeneration(..) => Exit::Usage,
        };
        Self { message: err.to_string(), exit }
    }
}
