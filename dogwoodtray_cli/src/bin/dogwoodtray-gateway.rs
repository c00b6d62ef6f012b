//! Daemon that serves the routes of the users' platform.

use std::process::ExitCode;

use dogwoodtray_cli::daemon::run_gateway;
use dogwoodtray_cli::settings::GatewaySettings;

fn main() -> ExitCode {
    match GatewaySettings::from_process() {
        Ok(settings) => run_gateway(settings).into(),
        Err(failure) => failure.report().into(),
    }
}
