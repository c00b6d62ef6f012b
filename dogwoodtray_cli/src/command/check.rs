//! The `check` subcommand.

use dogwoodtray_config::MAX_ENCODED_BYTES;
use dogwoodtray_config::Snapshot;
use dogwoodtray_coord::ContentHash;

use super::dir;
use super::options::DirectoryOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;

pub(super) fn run(options: &DirectoryOptions) -> Result<Report, Failure> {
    let (set, errors) = dir::read(&options.dir)?;
    if !errors.is_empty() {
        return Ok(errors.report());
    }
    let count = set.len();
    let encoded = Snapshot::empty()
        .next(ContentHash::default(), set)
        .encode()
        .map_err(|err| Failure { message: err.to_string(), exit: Exit::Findings })?;
    let bytes = encoded.bytes.len();
    let line = format!("{count} objects without errors, {bytes} of {MAX_ENCODED_BYTES} bytes");
    Ok(errors.report().line(line))
}
