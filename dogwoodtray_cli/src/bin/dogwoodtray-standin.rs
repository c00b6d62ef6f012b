//! Stand-ins for the model engine, a plain service and the platform.

use std::process::ExitCode;

use dogwoodtray_cli::daemon::run_standin;
use dogwoodtray_cli::settings::StandinSettings;

fn main() -> ExitCode {
    match StandinSettings::from_process() {
        Ok(settings) => run_standin(settings).into(),
        Err(failure) => failure.report().into(),
    }
}
