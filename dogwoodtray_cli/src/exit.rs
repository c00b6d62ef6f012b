//! Exit codes.

use std::process::ExitCode;

/// Exit code of a program of this workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The program succeeded.
    Ok = 0,
    /// The objects have errors, the publication lost a conflict, or a process rejected the request.
    Findings = 1,
    /// The arguments or settings are invalid.
    Usage = 2,
    /// The platform or a process did not respond.
    Unreachable = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
