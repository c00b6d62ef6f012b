//! Command line for operators.

use std::io;
use std::process::ExitCode;

use bpaf::Args;
use dogwoodtray_cli::command;
use dogwoodtray_cli::settings::SettingsFailure;

fn main() -> ExitCode {
    let exit = match command::options().run_inner(Args::current_args()) {
        Ok(command) => command::run(&command, &mut io::stdout().lock(), &mut io::stderr()),
        Err(failure) => SettingsFailure::Arguments(failure).report(),
    };
    ExitCode::from(exit)
}
