//! Exit codes.

use std::process::ExitCode;

/// Exit code of a program of this workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done as asked.
    Ok = 0,
    /// The objects have errors, the publication lost, or a process refused.
    Findings = 1,
    /// The arguments or settings are wrong.
    Usage = 2,
    /// The platform or a process did not answer.
    Unreachable = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
