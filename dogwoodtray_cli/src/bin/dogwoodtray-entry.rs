//! Daemon of the entry role.

use std::process::ExitCode;

use dogwoodtray_cli::daemon::run_entry;
use dogwoodtray_cli::settings::EntrySettings;

fn main() -> ExitCode {
    match EntrySettings::from_process() {
        Ok(settings) => run_entry(settings).into(),
        Err(failure) => failure.report().into(),
    }
}
