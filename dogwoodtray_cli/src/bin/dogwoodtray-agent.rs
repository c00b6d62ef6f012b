//! Daemon of the agent role.

use std::process::ExitCode;

use dogwoodtray_cli::daemon::run_agent;
use dogwoodtray_cli::settings::AgentSettings;

fn main() -> ExitCode {
    match AgentSettings::from_process() {
        Ok(settings) => run_agent(settings).into(),
        Err(failure) => failure.report().into(),
    }
}
