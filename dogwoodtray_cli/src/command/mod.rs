//! Subcommands for operators.

mod check;
mod dir;
mod drain;
mod jobs;
mod load;
mod local;
mod merged;
mod options;
mod publish;
mod report;
mod status;
mod timeline;

pub use self::options::Command;
pub use self::options::DirectoryOptions;
pub use self::options::LoadFault;
pub use self::options::LoadOptions;
pub use self::options::LocalOptions;
pub use self::options::PlatformOptions;
pub use self::options::PolicyPair;
pub use self::options::ProcessOptions;
pub use self::options::PublishOptions;
pub use self::options::TimelineOptions;
pub use self::options::options;

use std::io::Write;

use self::report::Failure;
use self::report::Report;
use crate::Exit;

/// Runs a subcommand. Writes its result to `out`, or the reason for a failure to `err`.
pub fn run(command: &Command, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let result = match command {
        Command::Check(options) => check::run(options),
        Command::Diff(options) => publish::diff(options),
        Command::Export(options) => publish::export(options),
        Command::Publish(options) => publish::run(options),
        Command::Status(options) => status::run(options),
        Command::Jobs(options) => jobs::run(options),
        Command::Drain(options) => drain::run(options),
        Command::Timeline(options) => timeline::run(options, out),
        Command::Local(options) => local::run(options),
        Command::Load(options) => load::run(options),
    };
    write_result(result, command.json(), out, err)
}

fn write_result(
    result: Result<Report, Failure>,
    json: bool,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let (written, exit) = match result {
        Ok(report) => (report.write(json, out), report.exit),
        Err(failure) => (writeln!(err, "error: {}", failure.message), failure.exit),
    };
    // A write fails if the reader, for example `head`, closes the pipe early, which is no error.
    written.map_or(Exit::Ok, |()| exit)
}
