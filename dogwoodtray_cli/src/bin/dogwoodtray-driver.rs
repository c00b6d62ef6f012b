//! Daemon that drives batch jobs on the users' platform.

use std::process::ExitCode;

use dogwoodtray_cli::daemon::run_driver;
use dogwoodtray_cli::settings::DriverSettings;

fn main() -> ExitCode {
    match DriverSettings::from_process() {
        Ok(settings) => run_driver(settings).into(),
        Err(failure) => failure.report().into(),
    }
}
